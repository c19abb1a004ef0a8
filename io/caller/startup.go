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

// maxSessionKey bounds a session key, in bytes.
const maxSessionKey = 200

// reported are the parameters that callers are told at startup. Upstream
// sessions are reset to the same values.
var reported = []pgproto3.ParameterStatus{
	{Name: "server_version", Value: "17.0"},
	{Name: "server_encoding", Value: "UTF8"},
	{Name: "client_encoding", Value: "UTF8"},
	{Name: "DateStyle", Value: "ISO, MDY"},
	{Name: "IntervalStyle", Value: "postgres"},
	{Name: "TimeZone", Value: "UTC"},
	{Name: "integer_datetimes", Value: "on"},
	{Name: "standard_conforming_strings", Value: "on"},
}

// ignored are startup parameters that change nothing that pooled connections
// share.
var ignored = map[string]bool{
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

func refuse(code, format string, args ...any) error {
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
	defer l.leave(s)
	defer s.conn.Close()
	s.loop()
}

// start runs startup and authentication. It returns nil after a cancel request.
func (l *Listener) start(conn net.Conn) (*session, error) {
	_ = conn.SetDeadline(time.Now().Add(l.options.StartupTimeout))
	conn, msg, err := l.startupMessage(conn)
	if err != nil || msg == nil {
		return nil, err
	}
	backend := pgproto3.NewBackend(conn, conn)
	s, err := l.authenticate(conn, backend, msg.Parameters)
	if err != nil {
		return nil, err
	}
	if !l.admit(s) {
		if l.stopped() {
			return nil, refuse(postgres.CodeAdminShutdown, "the host is shutting down")
		}
		return nil, refuse(postgres.CodeTooManyConnections, "route %q has reached its limit of %d callers", s.route.Name, s.route.MaxCallers)
	}
	if err := greet(backend, s.key); err != nil {
		l.leave(s)
		return nil, err
	}
	_ = conn.SetDeadline(time.Time{})
	return s, nil
}

// startupMessage negotiates encryption and reads the startup message. It
// returns none after a cancel request.
func (l *Listener) startupMessage(conn net.Conn) (net.Conn, *pgproto3.StartupMessage, error) {
	for {
		msg, err := pgproto3.NewBackend(conn, conn).ReceiveStartupMessage()
		if err != nil {
			return conn, nil, err
		}
		switch msg := msg.(type) {
		case *pgproto3.StartupMessage:
			return conn, msg, nil
		case *pgproto3.CancelRequest:
			l.options.Router.Cancel(keyOf(msg))
			return conn, nil, nil
		case *pgproto3.SSLRequest:
			if conn, err = l.secure(conn); err != nil {
				return conn, nil, err
			}
		default:
			if _, err := conn.Write([]byte{'N'}); err != nil {
				return conn, nil, err
			}
		}
	}
}

func (l *Listener) secure(conn net.Conn) (net.Conn, error) {
	if l.options.TLS == nil {
		_, err := conn.Write([]byte{'N'})
		return conn, err
	}
	if _, err := conn.Write([]byte{'S'}); err != nil {
		return conn, err
	}
	return tls.Server(conn, l.options.TLS), nil
}

func keyOf(msg *pgproto3.CancelRequest) statement.CancelKey {
	key := statement.CancelKey{Process: msg.ProcessID}
	if len(msg.SecretKey) == 4 {
		key.Secret = binary.BigEndian.Uint32(msg.SecretKey)
	}
	return key
}

func (l *Listener) authenticate(conn net.Conn, backend *pgproto3.Backend, params map[string]string) (*session, error) {
	if reason := l.options.Routes.Ready(); reason != "" {
		return nil, refuse(postgres.CodeCannotConnectNow, "the host is not ready: %s", reason)
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
		if errors.Is(err, postgres.ErrPassword) {
			return nil, refuse(postgres.CodeInvalidPassword, "password authentication failed for user %q on route %q", params["user"], name)
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
	if len(key) > maxSessionKey {
		return "", refuse(postgres.CodeProtocolViolation, "%s: the key is longer than %d bytes", SessionOption, maxSessionKey)
	}
	return key, nil
}

// checkParameters refuses startup parameters that would need a session of their
// own on the upstream.
func checkParameters(params map[string]string) error {
	for name, value := range params {
		if ignored[name] || strings.HasPrefix(name, "_pq_.") {
			continue
		}
		if !sameAsReported(name, value) {
			return refuse(postgres.CodeFeatureNotSupported,
				"startup parameter %s=%q is not supported: upstream connections are shared; use SET after connecting", name, value)
		}
	}
	return nil
}

func sameAsReported(name, value string) bool {
	for _, p := range reported {
		if strings.EqualFold(p.Name, name) {
			a := strings.ReplaceAll(strings.ToUpper(p.Value), "-", "")
			b := strings.ReplaceAll(strings.ToUpper(value), "-", "")
			return a == b
		}
	}
	return false
}

func greet(backend *pgproto3.Backend, key statement.CancelKey) error {
	backend.Send(&pgproto3.AuthenticationOk{})
	for i := range reported {
		backend.Send(&reported[i])
	}
	secret := binary.BigEndian.AppendUint32(nil, key.Secret)
	backend.Send(&pgproto3.BackendKeyData{ProcessID: key.Process, SecretKey: secret})
	backend.Send(&pgproto3.ReadyForQuery{TxStatus: postgres.StatusIdle})
	return backend.Flush()
}
