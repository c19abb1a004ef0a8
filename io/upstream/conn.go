package upstream

import (
	"bufio"
	"context"
	"net"
	"syscall"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"

	"pearlatch/core/group"
	"pearlatch/core/statement"
	"pearlatch/io/postgres"
)

const (
	// readBuffer is the size of a connection's read buffer, in bytes.
	readBuffer = 16 << 10
	// maxPrepared is the maximum number of named prepared statements on a
	// connection.
	maxPrepared = 256
)

// conn is a pooled connection to a member. An exchange that has acquired it uses it
// from one goroutine.
type conn struct {
	net    net.Conn
	r      *bufio.Reader
	member int
	pid    uint32
	secret []byte

	// prepared holds the names of the statements prepared on the connection;
	// preparedOrder lists them, oldest first.
	prepared      map[string]bool
	preparedOrder []string
	out           []byte // send buffer, reused

	acquiredAt time.Time // when the current exchange acquired it
	// term and replica describe the member at the time when the exchange acquired
	// the connection. A promotion may follow at once, and a write on the former
	// primary must then not be taken for a read on a replica, which needs no
	// confirmation.
	term    group.Term
	replica bool
	// unusable is set when the connection must not be used again. Its exchange
	// closes it. Guarded by pool.mu.
	unusable bool
	// dirty is set when the session state must be reset before the next exchange.
	dirty bool
}

// newConn takes over a connection from the driver, and closes it on failure.
func newConn(ctx context.Context, pg *pgconn.PgConn, member int) (*conn, error) {
	// After a slow write the driver may still read in the background. That read
	// would take the first answer, and alive would block on it forever.
	if err := pg.SyncConn(ctx); err != nil {
		_ = pg.Close(ctx) // the connection is unusable in any case
		return nil, errors.Wrap(err, "stop the driver's background reads")
	}
	h, err := pg.Hijack()
	if err != nil {
		return nil, errors.Wrap(err, "hijack connection")
	}
	return &conn{
		net:      h.Conn,
		r:        bufio.NewReaderSize(h.Conn, readBuffer),
		member:   member,
		pid:      h.PID,
		secret:   h.SecretKey,
		prepared: map[string]bool{},
	}, nil
}

// alive reports whether an idle connection can still be used, without blocking. A
// member that closed it has sent EOF, or an error followed by EOF. Without this
// check the next write would fail with an unknown outcome.
func (c *conn) alive() bool {
	if c.r.Buffered() > 0 {
		return false
	}
	sc, ok := c.net.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	alive := false
	// Control, unlike Read, does not wait for other readers: pool.mu is held.
	err = raw.Control(func(fd uintptr) {
		var buf [1]byte
		_, _, err := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		alive = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
	})
	return err == nil && alive
}

// send writes the unit, preceded by the Parse messages of prepared statements that
// the connection lacks, and wrapped in a read-only transaction if wrapped is set. It
// returns the number of ParseComplete and CloseComplete messages that precede the
// answer.
func (c *conn) send(u *statement.Unit, wrapped bool) (extra int, err error) {
	if len(u.Prepared) == 0 && !wrapped {
		_, err := c.net.Write(u.Data)
		return 0, err
	}
	out := c.out[:0]
	if wrapped {
		out = append(out, beginReadOnly...)
	}
	for _, p := range u.Prepared {
		if c.prepared[p.Name] {
			continue
		}
		if len(c.preparedOrder) >= maxPrepared {
			out = appendClose(out, c.preparedOrder[0])
			delete(c.prepared, c.preparedOrder[0])
			c.preparedOrder = c.preparedOrder[1:]
			extra++
		}
		out = append(out, p.Parse...)
		c.prepared[p.Name] = true
		c.preparedOrder = append(c.preparedOrder, p.Name)
		extra++
	}
	out = append(out, u.Data...)
	if wrapped {
		out = append(out, commitRead...)
	}
	c.out = out[:0]
	_, err = c.net.Write(out)
	return extra, err
}

func appendClose(out []byte, name string) []byte {
	m := pgproto3.Close{ObjectType: 'S', Name: name}
	encoded, err := m.Encode(out)
	if err != nil {
		return out
	}
	return encoded
}

// forgetPrepared removes the statements from those known to be prepared, and marks
// the session for a reset. It is called after an error in a unit that prepared
// statements: it is unknown which of them exist, and preparing one twice is an
// error.
func (c *conn) forgetPrepared(names []statement.Prepared) {
	for _, p := range names {
		delete(c.prepared, p.Name)
	}
	c.dirty = true
}

// resetTimeout is the timeout of resetting a connection's session state.
const resetTimeout = time.Second

// reset resets the session state, including prepared statements.
func (c *conn) reset() error {
	result, err := c.exec(resetTimeout, "DISCARD ALL", "DISCARD ALL")
	switch {
	case err != nil:
		return errors.Wrap(err, "reset session")
	case result.code != "":
		return errors.Errorf("reset session: member %d answered SQLSTATE %s: %s", c.member, result.code, result.message)
	case result.status != postgres.StatusIdle:
		return errors.New("reset session: a transaction is open")
	}
	c.prepared, c.preparedOrder, c.dirty = map[string]bool{}, nil, false
	return nil
}

// skipToReady discards messages up to ReadyForQuery, and returns the transaction
// status.
func (c *conn) skipToReady() (status byte, err error) {
	var buf []byte
	for {
		if buf, err = postgres.ReadFrame(c.r, buf[:0]); err != nil {
			return 0, err
		}
		if f := postgres.Frame(buf); f.Type() == postgres.TypeReadyForQuery {
			return f.ReadyStatus()
		}
	}
}

func (c *conn) close() { _ = c.net.Close() }

// markAcquired records that an exchange acquires the connection, and the member's
// term and role in v.
func (c *conn) markAcquired(v *view, now time.Time) {
	c.acquiredAt, c.term, c.replica = now, v.term, c.member != v.primary
}
