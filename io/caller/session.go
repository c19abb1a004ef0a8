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

// readBufferSize is the size of a caller's read buffer, in bytes. It is small since
// most callers are idle.
const readBufferSize = 2 << 10

// session is a caller's connection. One goroutine runs it.
type session struct {
	listener   *Listener
	conn       net.Conn
	reader     *bufio.Reader
	route      config.Route
	cancelKey  statement.CancelKey
	sessionKey string // session key, or one made from key
	ownSession bool   // name belongs to this connection alone
	neverWrote bool   // own, and no write was sent

	builder  unitBuilder
	exchange Exchange
	txStatus byte // of the last ReadyForQuery
	// transactionLost is true after the open transaction was transactionLost: everything but its end
	// is refused, so that later statements do not run outside of it.
	transactionLost bool

	mu              sync.Mutex
	runningExchange Exchange // what Cancel reaches; nil between units
	draining        bool
	idle            bool // waits outside of a transaction, perhaps with a pinned connection
}

func newSession(l *Listener, conn net.Conn, route config.Route, name string) *session {
	return &session{
		listener:   l,
		conn:       conn,
		reader:     bufio.NewReaderSize(conn, readBufferSize),
		route:      route,
		sessionKey: name,
		ownSession: name == "",
		neverWrote: name == "",
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

// errDrained ends a session at a transaction boundary.
var errDrained = errors.New("the host is shutting down")

// errIdleInTransaction ends a session that left its transaction open too long.
var errIdleInTransaction = errors.New("terminating connection due to idle-in-transaction timeout")

// nextUnit reads the next unit. It returns nil when the messages read need no
// answer from the upstream.
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

// beginWait prepares for the wait for a message.
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

// endWait is called when the first message of a unit has arrived.
func (s *session) endWait() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.idle = false
	if s.txStatus != postgres.StatusIdle || s.draining {
		_ = s.conn.SetReadDeadline(time.Time{})
	}
}

func (s *session) timeoutError() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining && s.idle {
		return errDrained
	}
	return errIdleInTransaction
}

// drain ends the session at the next transaction boundary.
func (s *session) drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
	if s.idle {
		_ = s.conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// reportEnd tells the caller why its connection closes, where the protocol allows.
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

func (s *session) trySend(b []byte) { _, _ = s.conn.Write(b) }

// send passes bytes of an answer to the caller.
func (s *session) send(b []byte) error {
	_, err := s.conn.Write(b)
	return err
}

// runUnit runs a unit. It returns an error when the connection must close.
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

// cancel cancels the running statement.
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

// sendFailure answers a unit that the upstream did not answer.
func (s *session) sendFailure(u *statement.Unit, err error) error {
	s.closeExchange()
	s.listener.stats.refusals.Inc(1)
	var r *statement.Refusal
	if !errors.As(err, &r) {
		return err // the caller's own connection failed
	}
	inTransaction := s.txStatus != postgres.StatusIdle
	s.builder.copying = false
	out := postgres.AppendError(nil, r.Code, r.Error(), r.Hint())
	if inTransaction && !u.ControlsTransaction {
		s.transactionLost, s.txStatus = true, postgres.StatusFailed
	} else {
		s.txStatus = postgres.StatusIdle
	}
	// A simple COPY that fails half way ends at once; the caller's remaining data
	// is dropped.
	simpleCopy := u.ReplyEnd == statement.EndsWithoutReply && !s.builder.extended
	if u.ReplyEnd == statement.EndsWithReady || simpleCopy {
		out = postgres.AppendReady(out, s.txStatus)
	}
	return s.send(out)
}

// refuseInLostTransaction answers units after the transaction was lost, until its end.
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
