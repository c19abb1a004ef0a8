// Package postgres holds the parts of the PostgreSQL v3 protocol that both the
// client side and the server side of the proxy use: message frames, error
// responses, SQLSTATE codes and password authentication. The message types are
// those of pgproto3.
package postgres
