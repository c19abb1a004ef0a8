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
	// maxPrepared is how many named statements a connection keeps.
	maxPrepared = 256
)

// conn is a pooled connection to a member.
type conn struct {
	net    net.Conn
	r      *bufio.Reader
	member int
	pid    uint32
	secret []byte

	// prepared holds the named statements of the connection; order lists them
	// oldest first.
	prepared      map[string]bool
	preparedOrder []string
	out           []byte // reused for what is sent

	acquiredAt time.Time // when the present exchange took it
	// term and replica are what the member was when the exchange took the
	// connection. A promotion may follow at once: a write on what was the primary
	// then must not pass for a read of a replica, which needs no confirmation.
	term    group.Term
	replica bool
	// unusable is set, under the pool's lock, when the connection must not be
	// used again. Its exchange closes it.
	unusable bool
	// dirty is set when session state must be reset before the next exchange.
	dirty bool
}

// newConn takes a connection over from the driver.
func newConn(ctx context.Context, pg *pgconn.PgConn, member int) (*conn, error) {
	// After a slow write the driver may still read in the background: it would swallow the first answer, and a
	// look at the connection would wait for it for ever.
	if err := pg.SyncConn(ctx); err != nil {
		_ = pg.Close(ctx) // it is of no use either way
		return nil, errors.Wrap(err, "end the driver's reads")
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

// alive reports whether an idle connection can still be used. A member that
// ended it has sent the end of the stream, or an error before it: without this
// look the next write would fail with an unknown outcome.
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
	// Control, unlike Read, waits for nobody: the pool's lock is held.
	err = raw.Control(func(fd uintptr) {
		var buf [1]byte
		_, _, err := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		alive = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
	})
	return err == nil && alive
}

// send writes the unit, after the named statements that the connection lacks,
// and wrapped in a read-only transaction if asked. It returns how many
// ParseComplete and CloseComplete messages precede the answer.
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

// forgetPrepared drops what is known of the named statements. It is called after an
// error in a unit that prepared some: which of them exist is not known, and to
// prepare one twice is an error.
func (c *conn) forgetPrepared(names []statement.Prepared) {
	for _, p := range names {
		delete(c.prepared, p.Name)
	}
	c.dirty = true
}

// resetTimeout bounds the reset of a connection's session state.
const resetTimeout = time.Second

// discardAll is a simple query that resets the session.
var discardAll = encodeQuery("DISCARD ALL")

// reset brings the session back to its first state.
func (c *conn) reset() error {
	_ = c.net.SetDeadline(time.Now().Add(resetTimeout))
	if _, err := c.net.Write(discardAll); err != nil {
		return errors.Wrap(err, "reset session")
	}
	status, err := c.skipToReady()
	if err != nil {
		return errors.Wrap(err, "reset session")
	}
	if status != postgres.StatusIdle {
		return errors.New("reset session: a transaction is open")
	}
	c.prepared, c.preparedOrder, c.dirty = map[string]bool{}, nil, false
	return c.net.SetDeadline(time.Time{})
}

// skipToReady reads up to ReadyForQuery and returns its status.
func (c *conn) skipToReady() (byte, error) {
	var buf []byte
	for {
		var err error
		if buf, err = postgres.ReadFrame(c.r, buf[:0]); err != nil {
			return 0, err
		}
		if f := postgres.Frame(buf); f.Type() == postgres.TypeReadyForQuery {
			return f.Body()[0], nil
		}
	}
}

func (c *conn) close() { _ = c.net.Close() }

// markAcquired records that an exchange takes the connection, as the owner sees the
// group at that moment.
func (c *conn) markAcquired(v *view, now time.Time) {
	c.acquiredAt, c.term, c.replica = now, v.term, c.member != v.primary
}
