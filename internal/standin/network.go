package standin

import (
	"io"
	"net"
	"net/netip"
	"os"
	"sync"
	"time"
)

// Network gives the links between addresses latencies and faults. A link is
// directed, from the sender's IP to the receiver's. It acts on accepted
// connections only, so that dialers stay ordinary.
//
// The zero value is not usable; call NewNetwork.
type Network struct {
	mu      sync.Mutex
	changed chan struct{} // closed and replaced when a rule changes
	cut     map[link]bool
	latency func(from, to netip.Addr) time.Duration
	// plain is true for a network without rules, whose connections cost nothing.
	plain bool
}

type link struct{ from, to netip.Addr }

// NewNetwork returns a network whose links have the one-way latency that the
// given function returns. A nil function means no latency.
func NewNetwork(latency func(from, to netip.Addr) time.Duration) *Network {
	if latency == nil {
		latency = func(_, _ netip.Addr) time.Duration { return 0 }
	}
	return &Network{
		changed: make(chan struct{}),
		cut:     map[link]bool{},
		latency: latency,
	}
}

// NewPlainNetwork returns a network whose links can be neither cut nor slowed,
// for measurements that it must not distort.
func NewPlainNetwork() *Network {
	n := NewNetwork(nil)
	n.plain = true
	return n
}

// SetCut cuts or heals the link from one address to another. While a link is
// cut its bytes wait, as on a network that drops packets and retransmits them.
func (n *Network) SetCut(from, to netip.Addr, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if cut {
		n.cut[link{from, to}] = true
	} else {
		delete(n.cut, link{from, to})
	}
	close(n.changed)
	n.changed = make(chan struct{})
}

// HealAll heals all links.
func (n *Network) HealAll() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.cut)
	close(n.changed)
	n.changed = make(chan struct{})
}

// Reachable reports whether the link from one address to another is whole.
func (n *Network) Reachable(from, to netip.Addr) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.cut[link{from, to}]
}

// await blocks while the link is cut. It returns false when done closes first.
func (n *Network) await(from, to netip.Addr, done <-chan struct{}) bool {
	for {
		n.mu.Lock()
		cut, changed := n.cut[link{from, to}], n.changed
		n.mu.Unlock()
		if !cut {
			return true
		}
		select {
		case <-changed:
		case <-done:
			return false
		}
	}
}

// Listen opens a TCP listener whose accepted connections follow the rules of n.
func (n *Network) Listen(addr netip.AddrPort) (net.Listener, error) {
	l, err := net.Listen("tcp", addr.String())
	if err != nil {
		return nil, err
	}
	if n.plain {
		return plainListener{l}, nil
	}
	return &linkListener{Listener: l, network: n}, nil
}

// aborter is a connection that can be reset.
type aborter interface {
	net.Conn
	abort()
}

type plainListener struct{ net.Listener }

func (l plainListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return plainConn{conn.(*net.TCPConn)}, nil
}

// plainConn is a connection that only lacks a way to reset it.
type plainConn struct{ *net.TCPConn }

func (c plainConn) abort() {
	_ = c.SetLinger(0)
	_ = c.Close()
}

type linkListener struct {
	net.Listener
	network *Network
}

func (l *linkListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newLinkConn(conn, l.network), nil
}

// packet is a run of bytes on a link, or its end.
type packet struct {
	data []byte
	err  error
	at   time.Time // when it was sent
}

const (
	linkQueue  = 64
	linkBuffer = 16 << 10
)

// linkConn delays and holds back what passes over an accepted connection.
type linkConn struct {
	net.Conn
	network       *Network
	remote, local netip.Addr

	in   chan packet
	rest packet
	out  chan packet
	done chan struct{} // closed by Close
	once sync.Once

	aborted   chan struct{} // closed by abort
	abortOnce sync.Once
	writeMu   sync.Mutex // guards out against being closed while written

	deadlineMu sync.Mutex
	deadline   time.Time
}

func newLinkConn(conn net.Conn, network *Network) *linkConn {
	c := &linkConn{
		Conn:    conn,
		network: network,
		remote:  addrOf(conn.RemoteAddr()),
		local:   addrOf(conn.LocalAddr()),
		in:      make(chan packet, linkQueue),
		out:     make(chan packet, linkQueue),
		done:    make(chan struct{}),
		aborted: make(chan struct{}),
	}
	go c.receive()
	go c.send()
	return c
}

func addrOf(a net.Addr) netip.Addr {
	return a.(*net.TCPAddr).AddrPort().Addr().Unmap()
}

// receive moves bytes from the connection to c.in.
func (c *linkConn) receive() {
	defer close(c.in)
	buf := make([]byte, linkBuffer)
	for {
		n, err := c.Conn.Read(buf)
		p := packet{data: append([]byte(nil), buf[:n]...), err: err, at: time.Now()}
		select {
		case c.in <- p:
		case <-c.done:
			return
		}
		if err != nil {
			return
		}
	}
}

// send moves bytes from c.out to the connection when their delay has passed.
func (c *linkConn) send() {
	defer c.Conn.Close()
	for p := range c.out {
		if !c.pass(c.local, c.remote, p.at, c.aborted) {
			return
		}
		if _, err := c.Conn.Write(p.data); err != nil {
			c.Close()
			return
		}
	}
}

// pass waits until a packet sent at the given time may leave the link.
func (c *linkConn) pass(from, to netip.Addr, at time.Time, done <-chan struct{}) bool {
	if wait := time.Until(at.Add(c.network.latency(from, to))); wait > 0 {
		t := time.NewTimer(wait)
		defer t.Stop()
		select {
		case <-t.C:
		case <-done:
			return false
		}
	}
	return c.network.await(from, to, done)
}

// Read implements net.Conn.
func (c *linkConn) Read(b []byte) (int, error) {
	if len(c.rest.data) == 0 && c.rest.err == nil {
		if err := c.next(); err != nil {
			return 0, err
		}
	}
	n := copy(b, c.rest.data)
	c.rest.data = c.rest.data[n:]
	if n == 0 && c.rest.err != nil {
		return 0, c.rest.err
	}
	return n, nil
}

func (c *linkConn) next() error {
	var timeout <-chan time.Time
	c.deadlineMu.Lock()
	deadline := c.deadline
	c.deadlineMu.Unlock()
	if !deadline.IsZero() {
		t := time.NewTimer(time.Until(deadline))
		defer t.Stop()
		timeout = t.C
	}
	select {
	case p, ok := <-c.in:
		if !ok {
			return io.EOF
		}
		if !c.pass(c.remote, c.local, p.at, c.done) {
			return net.ErrClosed
		}
		c.rest = p
		return nil
	case <-c.done:
		return net.ErrClosed
	case <-timeout:
		return os.ErrDeadlineExceeded
	}
}

// Write implements net.Conn. It blocks while the link's queue is full.
func (c *linkConn) Write(b []byte) (int, error) {
	p := packet{data: append([]byte(nil), b...), at: time.Now()}
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	select {
	case <-c.done:
		return 0, net.ErrClosed
	default:
	}
	select {
	case c.out <- p:
		return len(b), nil
	case <-c.done:
		return 0, net.ErrClosed
	}
}

// SetReadDeadline implements net.Conn.
func (c *linkConn) SetReadDeadline(t time.Time) error {
	c.deadlineMu.Lock()
	defer c.deadlineMu.Unlock()
	c.deadline = t
	return nil
}

// SetDeadline implements net.Conn.
func (c *linkConn) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }

// Close implements net.Conn. Bytes already written still arrive.
func (c *linkConn) Close() error {
	c.once.Do(func() {
		close(c.done)
		c.writeMu.Lock()
		close(c.out)
		c.writeMu.Unlock()
	})
	return nil
}

// abort closes the connection with a reset, as a host that crashes does.
func (c *linkConn) abort() {
	c.abortOnce.Do(func() { close(c.aborted) })
	if t, ok := c.Conn.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Conn.Close()
	_ = c.Close()
}
