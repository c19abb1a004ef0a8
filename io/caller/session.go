package caller

import (
	"bufio"
	"context"
	"errors"
	"net"
	"os"
	"strconv"
	"sync"
	"time"

	"pearlatch/core/config"
	"pearlatch/core/statement"
	"pearlatch/io/postgres"
)

// readBufferSize is the size of a caller's read buffer, in bytes. It is small
// because most callers are idle.
const readBufferSize = 2 << 10

// session is a caller's connection. One goroutine runs it; cancel and drain may
// be called from others.
type session struct {
	listener   *Listener
	conn       net.Conn
	reader     *bufio.Reader
	route      config.Route
	cancelKey  statement.CancelKey
	sessionKey string // as given by the caller, or derived from cancelKey
	ownSession bool   // sessionKey is derived, so no other connection uses it
	neverWrote bool   // ownSession, and no write was sent

	builder  unitBuilder
	exchange Exchange
	txStatus byte // of the last ReadyForQuery
	// transactionLost is true after the open transaction was lost. Until the
	// caller ends the transaction, all other statements are refused, so that
	// they do not run outside of it.
	transactionLost bool

	mu              sync.Mutex
	runningExchange Exchange // exchange that cancel cancels; nil between units
	draining        bool
	idle            bool // waiting for a unit outside a transaction, perhaps with a pinned connection
}

func newSession(l *Listener, conn net.Conn, route config.Route, sessionKey string) *session {
	return &session{
		listener:   l,
		conn:       conn,
		reader:     bufio.NewReaderSize(conn, readBufferSize),
		route:      route,
		sessionKey: sessionKey,
		ownSession: sessionKey == "",
		neverWrote: sessionKey == "",
		txStatus:   postgres.StatusIdle,
	}
}

// loop serves the caller until either side ends the connection.
func (s *session) loop() {
	defer s.closeExchange()
	if s.sessionKey == "" {
		s.sessionKey = s.listener.options.Host + "/" + strconv.FormatUint(uint64(s.cancelKey.Process), 16) +
			strconv.FormatUint(uint64(s.cancelKey.Secret), 16)
	}
	for {
		u, err := s.nextUnit()
		if err != nil {
			s.reportEnd(err)
			return
		}
		if u == nil {
			continue
		}
		s.listener.stats.statements.Inc(1)
		if err := s.runUnit(u); err != nil {
			return
		}
	}
}

// errDrained ends a session at a transaction boundary when the host drains.
var errDrained = errors.New("the host is shutting down")

// errIdleInTransaction ends a session that was idle in a transaction for longer
// than the route allows.
var errIdleInTransaction = errors.New("terminating connection due to idle-in-transaction timeout")

// nextUnit reads the next unit. It returns nil if the messages read need no
// reply from the upstream.
func (s *session) nextUnit() (*statement.Unit, error) {
	if err := s.beginWait(); err != nil {
		return nil, err
	}
	u, err := s.builder.readUnit(s.reader, s.endWait)
	if err != nil && errors.Is(err, os.ErrDeadlineExceeded) {
		return nil, s.timeoutError()
	}
	return u, err
}

// beginWait sets the read deadline and the idle flag before a unit is read. It
// returns errDrained if the session is draining and outside a transaction.
func (s *session) beginWait() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.idle = s.txStatus == postgres.StatusIdle
	if s.idle && s.draining {
		return errDrained
	}
	if s.txStatus != postgres.StatusIdle {
		return s.conn.SetReadDeadline(time.Now().Add(s.route.IdleInTransaction))
	}
	return nil
}

// endWait clears the idle flag and the read deadline. It is called when the
// first message of a unit has arrived.
func (s *session) endWait() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.idle = false
	if s.txStatus != postgres.StatusIdle || s.draining {
		_ = s.conn.SetReadDeadline(time.Time{})
	}
}

// timeoutError returns the reason why the read deadline was exceeded.
func (s *session) timeoutError() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining && s.idle {
		return errDrained
	}
	return errIdleInTransaction
}

// drain ends the session at the next transaction boundary, and at once if it is
// idle.
func (s *session) drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
	if s.idle {
		_ = s.conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// reportEnd sends the caller the reason for closing its connection as a FATAL
// error, unless err is a failure of the connection itself.
func (s *session) reportEnd(err error) {
	var p *protocolError
	switch {
	case errors.Is(err, errDrained):
		s.trySend(postgres.AppendFatal(nil, postgres.CodeAdminShutdown, "terminating connection: the host is shutting down", ""))
	case errors.Is(err, errIdleInTransaction):
		s.trySend(postgres.AppendFatal(nil, postgres.CodeIdleInTransaction, err.Error(), ""))
	case errors.As(err, &p):
		s.trySend(postgres.AppendFatal(nil, postgres.CodeProtocolViolation, p.Error(), ""))
	}
}

// trySend writes b to the caller and ignores errors.
func (s *session) trySend(b []byte) { _, _ = s.conn.Write(b) }

// send writes bytes of a reply to the caller.
func (s *session) send(b []byte) error {
	_, err := s.conn.Write(b)
	return err
}

// runUnit runs a unit. It returns an error if the connection must be closed.
func (s *session) runUnit(u *statement.Unit) error {
	if s.transactionLost {
		return s.refuseInLostTransaction(u)
	}
	u.Deadline = time.Now().Add(s.route.Deadline)
	if s.exchange == nil {
		s.beginExchange(u)
	}
	s.setRunning(s.exchange)
	out, err := s.exchange.Do(context.Background(), u, s.send)
	s.setRunning(nil)
	if err != nil {
		return s.sendFailure(u, err)
	}
	if out.Wrote {
		s.neverWrote = false
	}
	if out.Status != 0 {
		s.txStatus = out.Status
	}
	if out.CopyIn {
		s.builder.copying = true
	}
	if !out.Continues() {
		s.exchange = nil
	}
	return nil
}

// beginExchange opens the exchange for a transaction whose first unit is u.
func (s *session) beginExchange(u *statement.Unit) {
	if u.Kind == statement.Write {
		s.neverWrote = false
	}
	s.exchange = s.listener.options.Router.Begin(&statement.Request{
		Route:       s.route.Name,
		Group:       s.route.Group,
		Session:     s.sessionKey,
		NeverWrote:  s.neverWrote,
		Class:       s.route.Reads,
		Priority:    s.route.Priority,
		Idempotent:  s.route.Idempotent,
		ReplicaWait: s.route.Patience,
		CancelKey:   s.cancelKey,
	})
}

func (s *session) setRunning(x Exchange) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runningExchange = x
}

// cancel cancels the running statement, if any.
func (s *session) cancel(ctx context.Context) {
	s.mu.Lock()
	x := s.runningExchange
	s.mu.Unlock()
	if x != nil {
		_ = x.Cancel(ctx)
	}
}

func (s *session) closeExchange() {
	if s.exchange != nil {
		s.exchange.Close()
		s.exchange = nil
	}
}

// sendFailure replies to a unit for which the exchange returned err. It returns
// err if the caller's own connection failed.
func (s *session) sendFailure(u *statement.Unit, err error) error {
	s.closeExchange()
	s.listener.stats.refusals.Inc(1)
	var r *statement.Refusal
	if !errors.As(err, &r) {
		return err // the caller's connection failed
	}
	inTransaction := s.txStatus != postgres.StatusIdle
	s.builder.copying = false
	out := postgres.AppendError(nil, r.Code, r.Error(), r.Hint())
	if inTransaction && !u.ControlsTransaction {
		s.transactionLost, s.txStatus = true, postgres.StatusFailed
	} else {
		s.txStatus = postgres.StatusIdle
	}
	// In the simple query protocol, a failed COPY ends at once; the caller's
	// remaining data is discarded.
	simpleCopy := u.ReplyEnd == statement.EndsWithoutReply && !s.builder.extended
	if u.ReplyEnd == statement.EndsWithReady || simpleCopy {
		out = postgres.AppendReady(out, s.txStatus)
	}
	return s.send(out)
}

// refuseInLostTransaction replies to a unit after the transaction was lost. A
// unit that ends the transaction is answered with ROLLBACK, others with an error.
func (s *session) refuseInLostTransaction(u *statement.Unit) error {
	if u.ReplyEnd != statement.EndsWithReady {
		return nil
	}
	var out []byte
	if u.ControlsTransaction {
		s.transactionLost, s.txStatus = false, postgres.StatusIdle
		out = appendRollbackReply(out, u)
	} else {
		out = postgres.AppendError(out, postgres.CodeInFailedTransaction,
			"current transaction is aborted: its connection was lost", "")
	}
	return s.send(postgres.AppendReady(out, s.txStatus))
}
