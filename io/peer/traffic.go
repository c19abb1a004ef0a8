package peer

import (
	"net"
	"sync/atomic"
)

// Traffic counts what a host exchanges with others. The zero value is ready for
// use, and safe for concurrent use.
type Traffic struct {
	// In and Out count bytes, without the headers of TCP and IP.
	In, Out atomic.Int64
	// Calls counts the calls made and Served those answered. Streams that carry
	// exchanges do not count.
	Calls, Served atomic.Int64
	// Conns counts the connections open now, in both directions.
	Conns atomic.Int64
}

// meteredConn counts the bytes of a connection.
type meteredConn struct {
	net.Conn
	traffic *Traffic
	closed  atomic.Bool
}

func (t *Traffic) meter(conn net.Conn) net.Conn {
	t.Conns.Add(1)
	return &meteredConn{Conn: conn, traffic: t}
}

func (c *meteredConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.In.Add(int64(n))
	return n, err
}

func (c *meteredConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.traffic.Out.Add(int64(n))
	return n, err
}

func (c *meteredConn) Close() error {
	if !c.closed.Swap(true) {
		c.traffic.Conns.Add(-1)
	}
	return c.Conn.Close()
}

// meteredListener counts the bytes of accepted connections.
type meteredListener struct {
	net.Listener
	traffic *Traffic
}

func (l meteredListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.traffic.meter(conn), nil
}
