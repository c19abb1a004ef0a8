package upstream

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
)

// slowConn takes a while after each write, as on a machine that is busy: the driver then reads in the background, for
// fear that both sides write and neither reads.
type slowConn struct {
	net.Conn
	slow *atomic.Bool
}

func (c slowConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if c.slow.Load() {
		time.Sleep(100 * time.Millisecond)
	}
	return n, err
}

// serveEmptyQueries is a server that lets anybody in and answers each query with nothing.
func serveEmptyQueries(t *testing.T, nc net.Conn) {
	b := pgproto3.NewBackend(nc, nc)
	if _, err := b.ReceiveStartupMessage(); err != nil {
		t.Error(err)
		return
	}
	b.Send(&pgproto3.AuthenticationOk{})
	b.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	for b.Flush() == nil {
		if m, err := b.Receive(); err != nil {
			return
		} else if _, ok := m.(*pgproto3.Query); ok {
			b.Send(&pgproto3.EmptyQueryResponse{})
			b.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
		}
	}
}

// Callers got no answers any more from a host that owned a group, for as long as it ran. A connection to a member was taken
// from the driver while that still read from it in the background, since a write had been slow. The pool, whose lock was
// held, asked whether the connection was alive and waited for that read; all else waited for the pool. Seen in a dump of the
// goroutines: "(*conn).alive" in "(*fdMutex).rwlock", beside "bgreader.(*BGReader).bgRead". A connection that is
// taken over must be ours alone, and the look at it must not wait.
func TestNewConnStopsBackgroundRead(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer lis.Close()
	go func() {
		nc, err := lis.Accept()
		if err != nil {
			return
		}
		defer nc.Close()
		serveEmptyQueries(t, nc)
	}()
	config, err := pgconn.ParseConfig("postgres://u@" + lis.Addr().String() + "/d?sslmode=disable")
	if err != nil {
		t.Fatal(err)
	}
	var slow atomic.Bool
	slow.Store(true)
	config.DialFunc = func(ctx context.Context, network, addr string) (net.Conn, error) {
		var d net.Dialer
		nc, err := d.DialContext(ctx, network, addr)
		return slowConn{nc, &slow}, err
	}
	pg, err := pgconn.ConnectConfig(t.Context(), config)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := pg.Exec(t.Context(), "").ReadAll(); err != nil {
		t.Fatal(err)
	}
	slow.Store(false)
	c, err := newConn(t.Context(), pg, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer c.net.Close()
	if inner, ok := c.net.(slowConn); ok {
		c.net = inner.Conn
	}
	looked := make(chan bool, 1)
	go func() { looked <- c.alive() }()
	select {
	case alive := <-looked:
		if !alive {
			t.Error("the connection seems to have ended")
		}
	case <-time.After(10 * time.Second):
		t.Fatal("the look at the connection waits")
	}
}
