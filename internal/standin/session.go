package standin

import (
	"encoding/binary"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"pearlatch/io/postgres"
)

// lockTimeout bounds the wait for a row or advisory lock.
const lockTimeout = 2 * time.Second

// session is one client connection to a member.
type session struct {
	member  *Member
	conn    aborter
	backend *pgproto3.Backend
	pid     uint32
	app     string // application_name
	cancel  atomic.Bool
	gone    chan struct{}

	// The fields below belong to the session's goroutine, but for tx.writes,
	// which is read under the member's lock.
	tx       transaction
	prepared map[string]string
	portals  map[string]portal
	skipping bool // an error was sent; everything up to Sync is skipped
}

// transaction is the state of a session's transaction.
type transaction struct {
	open, failed, readOnly bool
	writes                 []write
	rows                   []string
}

// portal is a bound statement.
type portal struct {
	sql  string
	args []string
}

func serveSession(m *Member, conn aborter) {
	s := &session{
		member:   m,
		conn:     conn,
		backend:  pgproto3.NewBackend(conn, conn),
		gone:     make(chan struct{}),
		prepared: map[string]string{},
		portals:  map[string]portal{},
	}
	defer conn.Close()
	m.awake()
	startup, err := s.startup()
	if err != nil || startup == nil {
		return
	}
	s.app = startup.Parameters["application_name"]
	if !m.register(s) {
		return
	}
	defer m.unregister(s)
	if s.greet(startup) != nil {
		return
	}
	s.serve()
}

// startup reads the startup message. It returns nil after a cancel request.
func (s *session) startup() (*pgproto3.StartupMessage, error) {
	for {
		msg, err := s.backend.ReceiveStartupMessage()
		if err != nil {
			return nil, err
		}
		switch msg := msg.(type) {
		case *pgproto3.StartupMessage:
			return msg, nil
		case *pgproto3.CancelRequest:
			s.member.cancelSession(msg.ProcessID, msg.SecretKey)
			return nil, nil
		default:
			if _, err := s.conn.Write([]byte{'N'}); err != nil {
				return nil, err
			}
		}
	}
}

func (s *session) greet(startup *pgproto3.StartupMessage) error {
	o := s.member.group.options
	time.Sleep(o.OpenDelay)
	verifier := s.member.group.verifier
	if startup.Parameters["user"] != o.User {
		verifier = nil
	}
	if err := postgres.Authenticate(s.backend, verifier); err != nil {
		s.backend.Send(&pgproto3.ErrorResponse{Severity: "FATAL", Code: postgres.CodeInvalidPassword, Message: err.Error()})
		s.backend.Flush()
		return err
	}
	s.backend.Send(&pgproto3.AuthenticationOk{})
	for _, p := range [][2]string{
		{"server_version", "17.0"}, {"server_encoding", "UTF8"}, {"client_encoding", "UTF8"},
		{"DateStyle", "ISO, MDY"}, {"integer_datetimes", "on"}, {"standard_conforming_strings", "on"}, {"TimeZone", "UTC"},
	} {
		s.backend.Send(&pgproto3.ParameterStatus{Name: p[0], Value: p[1]})
	}
	s.backend.Send(&pgproto3.BackendKeyData{ProcessID: s.pid, SecretKey: secretOf(s.pid)})
	return s.ready()
}

// secretOf returns the cancel secret of a session. A stand-in needs no more
// than a value that differs from the process number.
func secretOf(pid uint32) []byte { return binary.BigEndian.AppendUint32(nil, ^pid) }

func (m *Member) register(s *session) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.running {
		return false
	}
	m.nextPID++
	s.pid = m.nextPID
	m.sessions[s.pid] = s
	m.group.count(1)
	return true
}

func (m *Member) unregister(s *session) {
	close(s.gone)
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.sessions, s.pid)
	m.group.count(-1)
	m.releaseRows(s)
	for key, holder := range m.advisory {
		if holder == s {
			delete(m.advisory, key)
		}
	}
	m.released.Broadcast()
}

func (m *Member) releaseRows(s *session) {
	for _, key := range s.tx.rows {
		delete(m.rows, key)
	}
	s.tx.rows = nil
	m.released.Broadcast()
}

func (m *Member) cancelSession(pid uint32, secret []byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if s := m.sessions[pid]; s != nil && string(secretOf(pid)) == string(secret) {
		s.cancel.Store(true)
		m.released.Broadcast()
	}
}

// abort resets the connection.
func (s *session) abort() { s.conn.abort() }

func (s *session) ready() error {
	status := byte(postgres.StatusIdle)
	if s.tx.failed {
		status = postgres.StatusFailed
	} else if s.tx.open {
		status = postgres.StatusInTransaction
	}
	s.backend.Send(&pgproto3.ReadyForQuery{TxStatus: status})
	return s.flush()
}

// flush sends what is buffered, unless the member was stopped meanwhile.
func (s *session) flush() error {
	s.member.awake()
	return s.backend.Flush()
}

func (s *session) serve() {
	for {
		msg, err := s.backend.Receive()
		if err != nil {
			return
		}
		s.member.awake()
		if err := s.handle(msg); err != nil {
			return
		}
	}
}

var errTerminated = fmt.Errorf("terminated by the client")

func (s *session) handle(msg pgproto3.FrontendMessage) error {
	switch msg := msg.(type) {
	case *pgproto3.Query:
		return s.query(msg.String)
	case *pgproto3.Sync:
		s.skipping = false
		return s.ready()
	case *pgproto3.Flush:
		return s.flush()
	case *pgproto3.Terminate:
		return errTerminated
	case *pgproto3.CopyData, *pgproto3.CopyDone, *pgproto3.CopyFail:
		return nil // the rest of a COPY that failed
	}
	if s.skipping {
		return nil
	}
	if err := s.extended(msg); err != nil {
		s.fail(err)
		s.skipping = true
	}
	return nil
}

// extended handles the messages of the extended query protocol.
func (s *session) extended(msg pgproto3.FrontendMessage) *sqlError {
	switch msg := msg.(type) {
	case *pgproto3.Parse:
		return s.parse(msg)
	case *pgproto3.Bind:
		return s.bind(msg)
	case *pgproto3.Describe:
		return s.describe(msg)
	case *pgproto3.Execute:
		p, ok := s.portals[msg.Portal]
		if !ok {
			return newError("34000", "portal %q does not exist", msg.Portal)
		}
		return s.execute(p.sql, p.args, false)
	case *pgproto3.Close:
		if msg.ObjectType == 'S' {
			delete(s.prepared, msg.Name)
		} else {
			delete(s.portals, msg.Name)
		}
		s.backend.Send(&pgproto3.CloseComplete{})
		return nil
	}
	return newError(postgres.CodeProtocolViolation, "unexpected message %T", msg)
}

func (s *session) parse(msg *pgproto3.Parse) *sqlError {
	if _, ok := s.prepared[msg.Name]; ok && msg.Name != "" {
		return newError("42P05", "prepared statement %q already exists", msg.Name)
	}
	if _, err := shapeOf(msg.Query); err != nil {
		return err
	}
	s.prepared[msg.Name] = msg.Query
	s.backend.Send(&pgproto3.ParseComplete{})
	return nil
}

func (s *session) bind(msg *pgproto3.Bind) *sqlError {
	sql, ok := s.prepared[msg.PreparedStatement]
	if !ok {
		return newError("26000", "prepared statement %q does not exist", msg.PreparedStatement)
	}
	args := make([]string, len(msg.Parameters))
	for i, p := range msg.Parameters {
		args[i] = string(p)
	}
	s.portals[msg.DestinationPortal] = portal{sql: sql, args: args}
	s.backend.Send(&pgproto3.BindComplete{})
	return nil
}

func (s *session) describe(msg *pgproto3.Describe) *sqlError {
	sql := s.portals[msg.Name].sql
	if msg.ObjectType == 'S' {
		var ok bool
		if sql, ok = s.prepared[msg.Name]; !ok {
			return newError("26000", "prepared statement %q does not exist", msg.Name)
		}
		s.backend.Send(&pgproto3.ParameterDescription{ParameterOIDs: textOIDs(parameterCount(sql))})
	}
	sh, err := shapeOf(sql)
	if err != nil {
		return err
	}
	if len(sh.columns) == 0 {
		s.backend.Send(&pgproto3.NoData{})
		return nil
	}
	s.sendColumns(sh.columns)
	return nil
}

func textOIDs(n int) []uint32 {
	oids := make([]uint32, n)
	for i := range oids {
		oids[i] = textOID
	}
	return oids
}

// textOID is the object identifier of the type text.
const textOID = 25

func (s *session) sendColumns(columns []string) {
	fields := make([]pgproto3.FieldDescription, len(columns))
	for i, c := range columns {
		fields[i] = pgproto3.FieldDescription{Name: []byte(c), DataTypeOID: textOID, DataTypeSize: -1, TypeModifier: -1}
	}
	s.backend.Send(&pgproto3.RowDescription{Fields: fields})
}

// query handles a simple query, which may hold several statements.
func (s *session) query(sql string) error {
	statements := splitStatements(sql)
	if len(statements) == 0 {
		s.backend.Send(&pgproto3.EmptyQueryResponse{})
	}
	for _, one := range statements {
		if err := s.execute(one, nil, true); err != nil {
			s.fail(err)
			break
		}
	}
	return s.ready()
}

func (s *session) fail(err *sqlError) {
	if s.tx.open {
		s.tx.failed = true
	}
	s.backend.Send(&pgproto3.ErrorResponse{
		Severity: "ERROR", SeverityUnlocalized: "ERROR", Code: err.code, Message: err.message,
	})
}
