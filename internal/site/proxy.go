package site

import (
	"context"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Rule says what happens to bytes between one caller of a proxy and what lies behind it. The zero Rule
// passes everything on.
type Rule struct {
	// Delay is how much later bytes arrive.
	Delay time.Duration
	// Forth and Back keep bytes from arriving, on the way to what lies behind and on the way back.
	// They are held until the way is free again.
	Forth, Back bool
}

// Proxy stands before a listener of the model or of a host. Use NewProxy.
type Proxy struct {
	listener net.Listener
	target   netip.AddrPort

	mu sync.Mutex
	// rules holds a rule for each caller's address that has one.
	rules map[netip.Addr]Rule
	// refusing resets whoever comes, and silent keeps everything from everybody.
	refusing, silent bool
	conns            map[*proxied]bool
	// changed is closed and replaced when rules change.
	changed chan struct{}
	closed  bool
}

// proxied is a connection that passes through.
type proxied struct {
	from         netip.Addr
	near, beyond *net.TCPConn
}

// NewProxy listens on an address for what listens on the target.
func NewProxy(addr, target netip.AddrPort) (*Proxy, error) {
	lis, err := net.Listen("tcp", addr.String())
	if err != nil {
		return nil, errors.Wrapf(err, "proxy of %s", target)
	}
	p := &Proxy{listener: lis, target: target, rules: map[netip.Addr]Rule{}, conns: map[*proxied]bool{}, changed: make(chan struct{})}
	go p.accept()
	return p, nil
}

// Addr returns the address that the proxy listens on.
func (p *Proxy) Addr() netip.AddrPort { return netip.MustParseAddrPort(p.listener.Addr().String()) }

// Set sets the rule for a caller.
func (p *Proxy) Set(from netip.Addr, r Rule) {
	p.change(func() { p.rules[from] = r })
}

// Silence keeps everything from everybody, or ends that.
func (p *Proxy) Silence(on bool) { p.change(func() { p.silent = on }) }

// Refuse resets all connections and whoever comes, or ends that.
func (p *Proxy) Refuse(on bool) {
	p.change(func() { p.refusing = on })
	if on {
		p.Reset(nil)
	}
}

// Reset resets the connections that which chooses, or all.
func (p *Proxy) Reset(which func(from netip.Addr) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if which == nil || which(c.from) {
			c.abort()
		}
	}
}

// Close ends the proxy with its connections.
func (p *Proxy) Close() {
	p.change(func() { p.closed = true })
	_ = p.listener.Close()
	p.Reset(nil)
}

func (p *Proxy) change(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f()
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *Proxy) accept() {
	for {
		nc, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.pass(nc.(*net.TCPConn))
	}
}

// pass carries a connection until either side ends it.
func (p *Proxy) pass(near *net.TCPConn) {
	c := &proxied{from: netip.MustParseAddrPort(near.RemoteAddr().String()).Addr(), near: near}
	defer c.abort()
	if p.refuses() || !p.await(c.from, func(r Rule) bool { return !r.Forth }) {
		return
	}
	// What lies behind sees the caller's own address.
	d := net.Dialer{Timeout: proxyDial, LocalAddr: net.TCPAddrFromAddrPort(netip.AddrPortFrom(c.from, 0))}
	beyond, err := d.DialContext(context.Background(), "tcp", p.target.String())
	if err != nil {
		return
	}
	c.beyond = beyond.(*net.TCPConn)
	p.mu.Lock()
	p.conns[c] = true
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		delete(p.conns, c)
		p.mu.Unlock()
	}()
	done := make(chan struct{}, 2)
	go p.copy(c, c.beyond, c.near, func(r Rule) bool { return !r.Forth }, done)
	go p.copy(c, c.near, c.beyond, func(r Rule) bool { return !r.Back }, done)
	<-done
	<-done
}

// proxyDial bounds the opening of the connection beyond.
const proxyDial = time.Second

func (p *Proxy) refuses() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.refusing
}

// await waits until the way is free. It returns false when the proxy was closed.
func (p *Proxy) await(from netip.Addr, free func(Rule) bool) bool {
	for {
		p.mu.Lock()
		open, closed, changed := !p.silent && free(p.rules[from]), p.closed, p.changed
		p.mu.Unlock()
		if closed {
			return false
		}
		if open {
			return true
		}
		<-changed
	}
}

func (p *Proxy) delay(from netip.Addr) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rules[from].Delay
}

// copy carries bytes one way, and the end of the stream.
func (p *Proxy) copy(c *proxied, to, from *net.TCPConn, free func(Rule) bool, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buf := make([]byte, copyBuffer)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			time.Sleep(p.delay(c.from))
		}
		if !p.await(c.from, free) {
			return
		}
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				c.abort()
				return
			}
		}
		switch {
		case err == nil:
		case errors.Is(err, io.EOF):
			_ = to.CloseWrite()
			return
		default:
			c.abort()
			return
		}
	}
}

// copyBuffer holds a message of ordinary size.
const copyBuffer = 8 << 10

// abort resets both sides.
func (c *proxied) abort() {
	for _, nc := range []*net.TCPConn{c.near, c.beyond} {
		if nc != nil {
			_ = nc.SetLinger(0)
			_ = nc.Close()
		}
	}
}
