package peer

import (
	"context"
	"crypto/tls"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"

	"pearlatch/core/statement"
	"pearlatch/internal/socket"
	"pearlatch/io/postgres"
)

const (
	// dialTimeout bounds the opening of a connection to a host.
	dialTimeout = 300 * time.Millisecond
	// maxIdleStreamsPerHost is how many idle exchange streams are kept to one host.
	maxIdleStreamsPerHost = 64
	// maxIdleStreams is how many are kept over all hosts: idle streams to each of
	// a thousand hosts would take more memory than a host has for control.
	maxIdleStreams = 256
	// idleStreamTimeout is how long an idle stream is kept.
	idleStreamTimeout = 30 * time.Second
)

// Client speaks to other hosts. It keeps connections for use again: drpc runs
// one stream at a time on a connection. Use NewClient.
type Client struct {
	local     netip.Addr
	tlsConfig *tls.Config
	traffic   *Traffic

	mu          sync.Mutex
	idleStreams map[netip.AddrPort][]*stream
	idleCalls   map[netip.AddrPort][]*drpcconn.Conn
	// busy holds the streams that carry an exchange.
	busy map[netip.AddrPort]map[*stream]struct{}
	// idleStreamCount is how many streams are in streams.
	idleStreamCount int
	closed          bool
}

// stream is an exchange stream with a connection of its own.
type stream struct {
	conn      *drpcconn.Conn
	drpc      drpc.Stream
	idleSince time.Time
}

func (s *stream) close() { _ = s.conn.Close() }

func (s *stream) usable() bool { return isOpen(s.conn) && time.Since(s.idleSince) < idleStreamTimeout }

func isOpen(conn *drpcconn.Conn) bool {
	select {
	case <-conn.Closed():
		return false
	default:
		return true
	}
}

// NewClient returns a client that dials from local, if that is valid, and with
// TLS, if secure is not nil.
func NewClient(local netip.Addr, secure *tls.Config, traffic *Traffic) *Client {
	return &Client{
		local: local, tlsConfig: secure, traffic: traffic,
		idleStreams: map[netip.AddrPort][]*stream{},
		idleCalls:   map[netip.AddrPort][]*drpcconn.Conn{},
		busy:        map[netip.AddrPort]map[*stream]struct{}{},
	}
}

// Close closes all idle connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, list := range c.idleStreams {
		for _, s := range list {
			s.close()
		}
	}
	for _, list := range c.idleCalls {
		for _, conn := range list {
			_ = conn.Close()
		}
	}
	c.idleStreams, c.idleCalls = nil, nil
}

// CloseHost closes all connections to a host that is gone. Exchanges with it end
// with ErrLost, rather than wait for an answer that never comes.
func (c *Client) CloseHost(addr netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.idleStreams[addr] {
		s.close()
	}
	for _, conn := range c.idleCalls[addr] {
		_ = conn.Close()
	}
	for s := range c.busy[addr] {
		s.close()
	}
	c.idleStreamCount -= len(c.idleStreams[addr])
	delete(c.idleStreams, addr)
	delete(c.idleCalls, addr)
}

func (c *Client) dial(ctx context.Context, addr netip.AddrPort) (*drpcconn.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := socket.Dialer(c.local).DialContext(ctx, "tcp", addr.String())
	if err != nil {
		return nil, errors.Wrapf(err, "dial host %s", addr)
	}
	conn = c.traffic.meter(conn)
	if c.tlsConfig != nil {
		secured := tls.Client(conn, c.tlsConfig)
		if err := secured.HandshakeContext(ctx); err != nil {
			_ = conn.Close()
			return nil, errors.Wrapf(err, "secure the connection to host %s", addr)
		}
		conn = secured
	}
	return drpcconn.NewWithOptions(conn, drpcconn.Options{Manager: streamOptions()}), nil
}

// takeNewest removes and returns the newest usable element of a list.
func takeNewest[T any](list []T, usable func(T) bool, discard func(T)) (rest []T, got T, ok bool) {
	for len(list) > 0 {
		last := list[len(list)-1]
		list = list[:len(list)-1]
		if usable(last) {
			return list, last, true
		}
		discard(last)
	}
	return list, got, false
}

// call sends one message and waits for the answer.
func call[In, Out any, P interface {
	*In
	message
}, Q interface {
	*Out
	message
}](ctx context.Context, c *Client, addr netip.AddrPort, name string, in *In) (*Out, error) {
	c.traffic.Calls.Add(1)
	c.mu.Lock()
	rest, conn, ok := takeNewest(c.idleCalls[addr], isOpen, func(conn *drpcconn.Conn) { _ = conn.Close() })
	if len(rest) == 0 {
		delete(c.idleCalls, addr)
	} else {
		c.idleCalls[addr] = rest
	}
	c.mu.Unlock()
	if !ok {
		var err error
		if conn, err = c.dial(ctx, addr); err != nil {
			return nil, err
		}
	}
	var out Out
	if err := conn.Invoke(ctx, name, encoding{}, P(in), Q(&out)); err != nil {
		_ = conn.Close()
		return nil, errors.Wrapf(err, "call %s on host %s", name, addr)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || len(c.idleCalls[addr]) > 0 {
		_ = conn.Close()
		return &out, nil
	}
	c.idleCalls[addr] = append(c.idleCalls[addr], conn)
	c.evictCallConn(addr)
	return &out, nil
}

// maxIdleCallConns is how many idle connections for calls are kept over all hosts. It
// exceeds the number of neighbours that a host probes.
const maxIdleCallConns = 10

// evictCallConn closes an idle connection of another host if there are too many.
// c.mu is held.
func (c *Client) evictCallConn(keep netip.AddrPort) {
	if len(c.idleCalls) <= maxIdleCallConns {
		return
	}
	for addr, list := range c.idleCalls {
		if addr == keep {
			continue
		}
		for _, conn := range list {
			_ = conn.Close()
		}
		delete(c.idleCalls, addr)
		return
	}
}

// Probe sends a probe and returns the host's own.
func (c *Client) Probe(ctx context.Context, addr netip.AddrPort, m *Probe) (*Probe, error) {
	return call[Probe, Probe](ctx, c, addr, probeCall, m)
}

// Relay asks a host to probe another one.
func (c *Client) Relay(ctx context.Context, addr netip.AddrPort, m *Relay) (*Verdict, error) {
	return call[Relay, Verdict](ctx, c, addr, relayCall, m)
}

// Reach asks a host whether it can reach a member.
func (c *Client) Reach(ctx context.Context, addr netip.AddrPort, m *Reach) (*Verdict, error) {
	return call[Reach, Verdict](ctx, c, addr, reachCall, m)
}

// Cancel passes a cancel request on.
func (c *Client) Cancel(ctx context.Context, addr netip.AddrPort, m *Cancel) (*Verdict, error) {
	return call[Cancel, Verdict](ctx, c, addr, cancelCall, m)
}

// Pull asks for a newer configuration.
func (c *Client) Pull(ctx context.Context, addr netip.AddrPort, m *Pull) (*Pulled, error) {
	return call[Pull, Pulled](ctx, c, addr, pullCall, m)
}

// Confirm asks the next owner of a group to confirm.
func (c *Client) Confirm(ctx context.Context, addr netip.AddrPort, m *Confirm) (*Verdict, error) {
	return call[Confirm, Verdict](ctx, c, addr, confirmCall, m)
}

// Released tells the next owner of a group that it is free.
func (c *Client) Released(ctx context.Context, addr netip.AddrPort, m *Released) (*Verdict, error) {
	return call[Released, Verdict](ctx, c, addr, releasedCall, m)
}

// Assume asks a host to own a group for a while.
func (c *Client) Assume(ctx context.Context, addr netip.AddrPort, m *Assume) (*Verdict, error) {
	return call[Assume, Verdict](ctx, c, addr, assumeCall, m)
}

// Begin opens an exchange with the owner at addr. Nothing is sent until its
// first unit.
func (c *Client) Begin(addr netip.AddrPort, r *statement.Request) *RemoteExchange {
	return &RemoteExchange{client: c, addr: addr, request: r}
}

// ErrNotSent means that a unit certainly did not reach the owner.
var ErrNotSent = errors.New("the unit was not sent")

// ErrLost means that the owner was lost after a unit was sent.
var ErrLost = errors.New("the owner was lost")

// RemoteExchange is an exchange with another host. See upstream.Exchange.
type RemoteExchange struct {
	client  *Client
	addr    netip.AddrPort
	request *statement.Request
	stream  *stream
	// AnswerStarted is true once a part of the present answer was passed on.
	AnswerStarted bool
}

// Do runs a unit. The error is a *statement.Refusal of the owner, ErrNotSent,
// ErrLost, or an error of sink.
func (x *RemoteExchange) Do(ctx context.Context, u *statement.Unit, sink func([]byte) error) (statement.Outcome, error) {
	x.AnswerStarted = false
	first := x.stream == nil
	if first {
		s, err := x.client.acquireStream(ctx, x.addr)
		if err != nil {
			return statement.Outcome{}, errors.Wrap(ErrNotSent, err.Error())
		}
		x.stream = s
	}
	m := &unitMessage{version: Version, first: first, unit: *u, timeLeft: time.Until(u.Deadline)}
	if first {
		m.request = *x.request
	}
	if err := x.stream.drpc.MsgSend(m, encoding{}); err != nil {
		x.Close()
		// The owner acts on whole messages only, and this one was not whole.
		return statement.Outcome{}, errors.Wrap(ErrNotSent, err.Error())
	}
	return x.receive(ctx, u, sink)
}

// receive reads the answer to a unit.
func (x *RemoteExchange) receive(ctx context.Context, u *statement.Unit, sink func([]byte) error) (statement.Outcome, error) {
	s := x.stream
	stop := context.AfterFunc(ctx, s.close)
	defer stop()
	late := time.AfterFunc(time.Until(u.Deadline)+lateAnswerTimeout, s.close)
	defer late.Stop()
	for {
		var in answerMessage
		if err := s.drpc.MsgRecv(&in, encoding{}); err != nil {
			x.Close()
			return statement.Outcome{}, errors.Wrap(ErrLost, err.Error())
		}
		if len(in.data) > 0 {
			x.AnswerStarted = true
			if err := sink(in.data); err != nil {
				x.Close()
				return statement.Outcome{}, err
			}
		}
		if !in.end {
			continue
		}
		if in.refused {
			x.releaseStream()
			refusal := in.refusal
			return statement.Outcome{}, &refusal
		}
		if !in.outcome.Continues() {
			x.releaseStream()
		}
		return in.outcome, nil
	}
}

// lateAnswerTimeout is how long after a unit's deadline the owner may still answer.
// It is longer than the owner's own grace towards the member.
const lateAnswerTimeout = time.Second

// openStream opens a stream of the call with a connection of its own.
func (c *Client) openStream(ctx context.Context, addr netip.AddrPort, call string) (*stream, error) {
	conn, err := c.dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	opened, err := conn.NewStream(context.Background(), call, encoding{})
	if err != nil {
		_ = conn.Close()
		return nil, errors.Wrapf(err, "open %s to host %s", call, addr)
	}
	return &stream{conn: conn, drpc: opened}, nil
}

// acquireStream returns a stream for an exchange.
func (c *Client) acquireStream(ctx context.Context, addr netip.AddrPort) (*stream, error) {
	c.mu.Lock()
	rest, s, ok := takeNewest(c.idleStreams[addr], (*stream).usable, (*stream).close)
	c.idleStreamCount -= len(c.idleStreams[addr]) - len(rest)
	if len(rest) == 0 {
		delete(c.idleStreams, addr)
	} else {
		c.idleStreams[addr] = rest
	}
	if ok {
		c.markBusy(addr, s)
	}
	c.mu.Unlock()
	if ok {
		return s, nil
	}
	s, err := c.openStream(ctx, addr, exchangeCall)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.markBusy(addr, s)
	return s, nil
}

// markBusy records that a stream carries an exchange. c.mu is held.
func (c *Client) markBusy(addr netip.AddrPort, s *stream) {
	if c.busy[addr] == nil {
		c.busy[addr] = map[*stream]struct{}{}
	}
	c.busy[addr][s] = struct{}{}
}

// releaseStream keeps the stream for the next exchange.
func (x *RemoteExchange) releaseStream() {
	s := x.stream
	x.stream = nil
	x.client.putIdleStream(x.addr, s)
}

// putIdleStream keeps a stream for use again.
func (c *Client) putIdleStream(addr netip.AddrPort, s *stream) {
	s.idleSince = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.busy[addr], s)
	if c.closed || len(c.idleStreams[addr]) >= maxIdleStreamsPerHost || !isOpen(s.conn) {
		s.close()
		return
	}
	c.idleStreams[addr] = append(c.idleStreams[addr], s)
	c.idleStreamCount++
	if c.idleStreamCount > maxIdleStreams {
		c.evictIdleStream(addr)
	}
}

// closeBusyStream closes a stream that is in use.
func (c *Client) closeBusyStream(addr netip.AddrPort, s *stream) {
	s.close()
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.busy[addr], s)
}

// evictIdleStream closes an idle stream to another host than keep. c.mu is held.
func (c *Client) evictIdleStream(keep netip.AddrPort) {
	for addr, list := range c.idleStreams {
		if addr == keep || len(list) == 0 {
			continue
		}
		list[0].close()
		c.idleStreamCount--
		if c.idleStreams[addr] = list[1:]; len(list) == 1 {
			delete(c.idleStreams, addr)
		}
		return
	}
}

// Cancel asks the owner to cancel the running statement.
func (x *RemoteExchange) Cancel(ctx context.Context) error {
	_, err := x.client.Cancel(ctx, x.addr, &Cancel{Key: x.request.CancelKey, Owner: true})
	return err
}

// Close ends the exchange. The owner rolls an open transaction back.
func (x *RemoteExchange) Close() {
	if x.stream == nil {
		return
	}
	x.client.closeBusyStream(x.addr, x.stream)
	x.stream = nil
}

// UnknownOutcome returns the refusal of a unit whose owner was lost.
func UnknownOutcome(err error) *statement.Refusal {
	return &statement.Refusal{Code: postgres.CodeTransactionUnknown, Reason: "the outcome of the request is unknown: " + err.Error()}
}
