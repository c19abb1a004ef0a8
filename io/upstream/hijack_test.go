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

// slowConn delays each write, as on a busy machine. The driver then starts to read in the background, to avoid a
// deadlock in which both sides write and neither reads.
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

// serveEmptyQueries serves one connection: it accepts any user and returns EmptyQueryResponse to each query.
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

// Guards against a permanent hang of a group's owner. After a slow write the driver still read from a connection in the
// background when the pool took the connection over. conn.alive, called with the pool's lock held, then blocked on that
// read, and all requests blocked on the pool. A goroutine dump showed "(*conn).alive" in "(*fdMutex).rwlock", beside
// "bgreader.(*BGReader).bgRead". A connection that was taken over must have no other reader, and alive must not block.
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
	result := make(chan bool, 1)
	go func() { result <- c.alive() }()
	select {
	case alive := <-result:
		if !alive {
			t.Error("alive reports an open connection as closed")
		}
	case <-time.After(10 * time.Second):
		t.Fatal("alive blocks")
	}
}
