package peer

import (
	"net"
	"sync/atomic"
)

// Traffic counts the traffic of a host with other hosts. The zero value is ready for use. It is safe for concurrent use.
type Traffic struct {
	// In and Out count the bytes received and sent, without TCP and IP headers.
	In, Out atomic.Int64
	// Calls counts the calls made, and Served the calls answered. Streams are not counted.
	Calls, Served atomic.Int64
	// Conns is the number of open connections in both directions.
	Conns atomic.Int64
}

// meteredConn counts the bytes of a connection in traffic.
type meteredConn struct {
	net.Conn
	traffic *Traffic
	closed  atomic.Bool
}

// meter counts conn, and from now on its bytes. The returned connection replaces conn.
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

// meteredListener counts the connections that it accepts and their bytes.
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
