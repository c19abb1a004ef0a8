package caller

import (
	"crypto/rand"
	"crypto/tls"
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"pearlatch/core/statement"
	"pearlatch/io/postgres"
)

// SessionOption is the startup parameter that carries a session key.
const SessionOption = "pearlatch.session"

// maxSessionKeySize bounds a session key, in bytes.
const maxSessionKeySize = 200

// reportedParameters are the parameters that callers are told at startup. Upstream
// sessions are reset to the same values.
var reportedParameters = []pgproto3.ParameterStatus{
	{Name: "server_version", Value: "17.0"},
	{Name: "server_encoding", Value: "UTF8"},
	{Name: "client_encoding", Value: "UTF8"},
	{Name: "DateStyle", Value: "ISO, MDY"},
	{Name: "IntervalStyle", Value: "postgres"},
	{Name: "TimeZone", Value: "UTC"},
	{Name: "integer_datetimes", Value: "on"},
	{Name: "standard_conforming_strings", Value: "on"},
}

// ignoredParameters are startup parameters that change nothing that pooled connections
// share.
var ignoredParameters = map[string]bool{
	"user": true, "database": true, "application_name": true, "options": true,
	SessionOption: true, "extra_float_digits": true, "fallback_application_name": true,
}

func isClosed(err error) bool { return errors.Is(err, net.ErrClosed) }

func randomSecret() uint32 {
	var b [4]byte
	rand.Read(b[:])
	return binary.BigEndian.Uint32(b[:])
}

// refusal is a reason to end a caller's startup.
type refusal struct{ code, message string }

func (r *refusal) Error() string { return r.message }

func newRefusal(code, format string, args ...any) error {
	return &refusal{code: code, message: fmt.Sprintf(format, args...)}
}

// serve takes one caller from its first byte to its last.
func (l *Listener) serve(conn net.Conn) {
	s, err := l.start(conn)
	if err != nil {
		var r *refusal
		if errors.As(err, &r) {
			l.stats.refusals.Inc(1)
			_, _ = conn.Write(postgres.AppendFatal(nil, r.code, r.message, ""))
		}
		_ = conn.Close()
		return
	}
	if s == nil {
		_ = conn.Close()
		return
	}
	defer l.remove(s)
	defer s.conn.Close()
	s.loop()
}

// start runs startup and authentication. It returns nil after a cancel request.
func (l *Listener) start(conn net.Conn) (*session, error) {
	_ = conn.SetDeadline(time.Now().Add(l.options.StartupTimeout))
	conn, msg, err := l.receiveStartup(conn)
	if err != nil || msg == nil {
		return nil, err
	}
	backend := pgproto3.NewBackend(conn, conn)
	s, err := l.authenticate(conn, backend, msg.Parameters)
	if err != nil {
		return nil, err
	}
	if !l.admit(s) {
		if l.isDraining() {
			return nil, newRefusal(postgres.CodeAdminShutdown, "the host is shutting down")
		}
		return nil, newRefusal(postgres.CodeTooManyConnections, "route %q has reached its limit of %d callers", s.route.Name, s.route.MaxCallers)
	}
	if err := finishStartup(backend, s.cancelKey); err != nil {
		l.remove(s)
		return nil, err
	}
	_ = conn.SetDeadline(time.Time{})
	return s, nil
}

// receiveStartup negotiates encryption and reads the startup message. It
// returns none after a cancel request.
func (l *Listener) receiveStartup(conn net.Conn) (net.Conn, *pgproto3.StartupMessage, error) {
	for {
		msg, err := pgproto3.NewBackend(conn, conn).ReceiveStartupMessage()
		if err != nil {
			return conn, nil, err
		}
		switch msg := msg.(type) {
		case *pgproto3.StartupMessage:
			return conn, msg, nil
		case *pgproto3.CancelRequest:
			l.options.Router.Cancel(cancelKeyOf(msg))
			return conn, nil, nil
		case *pgproto3.SSLRequest:
			if conn, err = l.startTLS(conn); err != nil {
				return conn, nil, err
			}
		default:
			if _, err := conn.Write([]byte{'N'}); err != nil {
				return conn, nil, err
			}
		}
	}
}

func (l *Listener) startTLS(conn net.Conn) (net.Conn, error) {
	if l.options.TLS == nil {
		_, err := conn.Write([]byte{'N'})
		return conn, err
	}
	if _, err := conn.Write([]byte{'S'}); err != nil {
		return conn, err
	}
	return tls.Server(conn, l.options.TLS), nil
}

func cancelKeyOf(msg *pgproto3.CancelRequest) statement.CancelKey {
	key := statement.CancelKey{Process: msg.ProcessID}
	if len(msg.SecretKey) == 4 {
		key.Secret = binary.BigEndian.Uint32(msg.SecretKey)
	}
	return key
}

func (l *Listener) authenticate(conn net.Conn, backend *pgproto3.Backend, params map[string]string) (*session, error) {
	if reason := l.options.Routes.Ready(); reason != "" {
		return nil, newRefusal(postgres.CodeCannotConnectNow, "the host is not ready: %s", reason)
	}
	name := params["database"]
	if name == "" {
		name = params["user"]
	}
	route, known := l.options.Routes.Route(name)
	// The password is asked for before an unknown route is refused, so that
	// routes cannot be probed without one; the refusal then names the route.
	var verifier *postgres.Verifier
	if known {
		verifier = l.options.Routes.Verifier(route.Credential, params["user"])
	}
	if err := postgres.Authenticate(backend, verifier); err != nil {
		if errors.Is(err, postgres.ErrInvalidPassword) {
			return nil, newRefusal(postgres.CodeInvalidPassword, "password authentication failed for user %q on route %q", params["user"], name)
		}
		return nil, err
	}
	session, err := sessionKey(params)
	if err != nil {
		return nil, err
	}
	if err := checkParameters(params); err != nil {
		return nil, err
	}
	return newSession(l, conn, route, session), nil
}

// sessionKey returns the caller's session key, from the startup parameter or
// from "-c pearlatch.session=KEY" among the options, or the empty string.
func sessionKey(params map[string]string) (string, error) {
	key := params[SessionOption]
	if key == "" {
		_, rest, found := strings.Cut(params["options"], SessionOption+"=")
		if found {
			key, _, _ = strings.Cut(rest, " ")
		}
	}
	if len(key) > maxSessionKeySize {
		return "", newRefusal(postgres.CodeProtocolViolation, "%s: the key is longer than %d bytes", SessionOption, maxSessionKeySize)
	}
	return key, nil
}

// checkParameters refuses startup parameters that would need a session of their
// own on the upstream.
func checkParameters(params map[string]string) error {
	for name, value := range params {
		if ignoredParameters[name] || strings.HasPrefix(name, "_pq_.") {
			continue
		}
		if !matchesReported(name, value) {
			return newRefusal(postgres.CodeFeatureNotSupported,
				"startup parameter %s=%q is not supported: upstream connections are shared; use SET after connecting", name, value)
		}
	}
	return nil
}

func matchesReported(name, value string) bool {
	for _, p := range reportedParameters {
		if strings.EqualFold(p.Name, name) {
			a := strings.ReplaceAll(strings.ToUpper(p.Value), "-", "")
			b := strings.ReplaceAll(strings.ToUpper(value), "-", "")
			return a == b
		}
	}
	return false
}

func finishStartup(backend *pgproto3.Backend, key statement.CancelKey) error {
	backend.Send(&pgproto3.AuthenticationOk{})
	for i := range reportedParameters {
		backend.Send(&reportedParameters[i])
	}
	secret := binary.BigEndian.AppendUint32(nil, key.Secret)
	backend.Send(&pgproto3.BackendKeyData{ProcessID: key.Process, SecretKey: secret})
	backend.Send(&pgproto3.ReadyForQuery{TxStatus: postgres.StatusIdle})
	return backend.Flush()
}
