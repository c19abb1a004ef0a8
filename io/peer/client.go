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
	// dialTimeout bounds the dial and the TLS handshake.
	dialTimeout = 300 * time.Millisecond
	// maxIdleStreamsPerHost is the number of idle exchange streams that are kept to one host.
	maxIdleStreamsPerHost = 64
	// maxIdleStreams is the number of idle exchange streams that are kept to all hosts together. Idle streams to each of a
	// thousand hosts would take more memory than a host has for control traffic.
	maxIdleStreams = 256
	// idleStreamTimeout is how long an idle stream may be reused.
	idleStreamTimeout = 30 * time.Second
)

// Client calls other hosts. Since drpc runs one stream at a time on a connection, it keeps a pool of connections for reuse.
// Its methods may be called from several goroutines. Use NewClient.
type Client struct {
	local     netip.Addr
	tlsConfig *tls.Config
	traffic   *Traffic

	mu sync.Mutex
	// idleStreams holds the exchange streams that are not in use, the most recently used ones last.
	idleStreams map[netip.AddrPort][]*stream
	// idleCalls holds the connections for calls that are not in use.
	idleCalls map[netip.AddrPort][]*drpcconn.Conn
	// busy holds the streams that carry an exchange.
	busy map[netip.AddrPort]map[*stream]struct{}
	// idleStreamCount is the number of streams in idleStreams.
	idleStreamCount int
	closed          bool
}

// stream is a drpc stream with its own connection.
type stream struct {
	conn      *drpcconn.Conn
	drpc      drpc.Stream
	idleSince time.Time
	// units is the number of units that were sent, which is the serial of the latest.
	units uint64
}

func (s *stream) close() { _ = s.conn.Close() }

// usable reports whether an idle stream may be reused.
func (s *stream) usable() bool { return isOpen(s.conn) && time.Since(s.idleSince) < idleStreamTimeout }

func isOpen(conn *drpcconn.Conn) bool {
	select {
	case <-conn.Closed():
		return false
	default:
		return true
	}
}

// NewClient returns a client that dials from the local address, if that is valid, and with TLS, if tlsConfig is not nil.
func NewClient(local netip.Addr, tlsConfig *tls.Config, traffic *Traffic) *Client {
	return &Client{
		local: local, tlsConfig: tlsConfig, traffic: traffic,
		idleStreams: map[netip.AddrPort][]*stream{},
		idleCalls:   map[netip.AddrPort][]*drpcconn.Conn{},
		busy:        map[netip.AddrPort]map[*stream]struct{}{},
	}
}

// Close closes all idle connections. Connections in use are closed when their call or exchange ends.
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

// CloseHost closes all connections to a dead host, but for those of running calls. Exchanges with the host fail with ErrLost
// instead of waiting for an answer that never comes.
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

// dial opens a connection to a host.
func (c *Client) dial(ctx context.Context, addr netip.AddrPort) (*drpcconn.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := socket.Dialer(c.local).DialContext(ctx, "tcp", addr.String())
	if err != nil {
		return nil, errors.Wrapf(err, "dial host %s", addr)
	}
	conn = c.traffic.meter(conn)
	if c.tlsConfig != nil {
		tlsConn := tls.Client(conn, c.tlsConfig)
		if err := tlsConn.HandshakeContext(ctx); err != nil {
			_ = conn.Close()
			return nil, errors.Wrapf(err, "secure the connection to host %s", addr)
		}
		conn = tlsConn
	}
	return drpcconn.NewWithOptions(conn, drpcconn.Options{Manager: streamOptions()}), nil
}

// takeNewest removes the newest usable element from a list and returns it with the remaining list. It discards the
// unusable ones that it passes. ok is false if there is no usable element.
func takeNewest[T any](list []T, usable func(T) bool, discard func(T)) (rest []T, newest T, ok bool) {
	for len(list) > 0 {
		last := list[len(list)-1]
		list = list[:len(list)-1]
		if usable(last) {
			return list, last, true
		}
		discard(last)
	}
	return list, newest, false
}

// call sends one message to a host and waits for the answer. It keeps the connection for the next call.
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

// maxIdleCallConns is the number of hosts to which idle connections for calls are kept, one each. It exceeds the number of
// neighbours that a host probes.
const maxIdleCallConns = 10

// evictCallConn closes the idle connection to a host other than keep if there are more than maxIdleCallConns. c.mu must be
// held.
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

// Probe sends a probe and returns the one that the host answers with.
func (c *Client) Probe(ctx context.Context, addr netip.AddrPort, m *Probe) (*Probe, error) {
	return call[Probe, Probe](ctx, c, addr, probeCall, m)
}

// Relay asks a host to probe another host.
func (c *Client) Relay(ctx context.Context, addr netip.AddrPort, m *Relay) (*Verdict, error) {
	return call[Relay, Verdict](ctx, c, addr, relayCall, m)
}

// Reach asks a host whether it can reach a member.
func (c *Client) Reach(ctx context.Context, addr netip.AddrPort, m *Reach) (*Verdict, error) {
	return call[Reach, Verdict](ctx, c, addr, reachCall, m)
}

// Cancel forwards a cancel request to a host.
func (c *Client) Cancel(ctx context.Context, addr netip.AddrPort, m *Cancel) (*Verdict, error) {
	return call[Cancel, Verdict](ctx, c, addr, cancelCall, m)
}

// Pull asks a host for a newer configuration.
func (c *Client) Pull(ctx context.Context, addr netip.AddrPort, m *Pull) (*Pulled, error) {
	return call[Pull, Pulled](ctx, c, addr, pullCall, m)
}

// Confirm asks the next owner of a group to confirm the position that the primary has now.
func (c *Client) Confirm(ctx context.Context, addr netip.AddrPort, m *Confirm) (*Verdict, error) {
	return call[Confirm, Verdict](ctx, c, addr, confirmCall, m)
}

// Released tells the next owner of a group that this host has released it.
func (c *Client) Released(ctx context.Context, addr netip.AddrPort, m *Released) (*Verdict, error) {
	return call[Released, Verdict](ctx, c, addr, releasedCall, m)
}

// Assume asks a host to own a group for a limited time.
func (c *Client) Assume(ctx context.Context, addr netip.AddrPort, m *Assume) (*Verdict, error) {
	return call[Assume, Verdict](ctx, c, addr, assumeCall, m)
}

// Begin returns an exchange with the owner of a group at addr. Nothing is sent before the first unit.
func (c *Client) Begin(addr netip.AddrPort, r *statement.Request) *RemoteExchange {
	return &RemoteExchange{client: c, addr: addr, request: r}
}

// ErrNotSent means that a unit was not sent completely, so that the owner does not run it.
var ErrNotSent = errors.New("the unit was not sent")

// ErrLost means that the connection to the owner failed after a unit was sent. The unit may have run.
var ErrLost = errors.New("the owner was lost")

// RemoteExchange is an exchange with the owner of a group on another host. It is an Exchange. Only Cancel may be called while
// another method runs.
type RemoteExchange struct {
	client  *Client
	addr    netip.AddrPort
	request *statement.Request
	// stream is nil before the first unit and after the exchange has ended.
	stream *stream
	// AnswerStarted is true once the sink was given a part of the answer to the present unit.
	AnswerStarted bool
}

// Do runs a unit on the owner and passes the parts of the answer to sink. The error is a *statement.Refusal of the owner,
// ErrNotSent, ErrLost, or an error of sink.
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
	x.stream.units++
	m := &unitMessage{version: Version, serial: x.stream.units, first: first, unit: *u, timeLeft: time.Until(u.Deadline)}
	if first {
		m.request = *x.request
	}
	if err := x.stream.drpc.MsgSend(m, encoding{}); err != nil {
		x.Close()
		// The owner runs a unit only once the whole message has arrived.
		return statement.Outcome{}, errors.Wrap(ErrNotSent, err.Error())
	}
	return x.receive(ctx, u, sink)
}

// receive reads the answer to a unit. It closes the stream when ctx ends or the answer is late.
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
		if in.serial != 0 && in.serial != s.units {
			continue // the answer to an earlier unit, once more
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

// lateAnswerTimeout is how long after a unit's deadline the owner may still answer. It is longer than the time that the
// owner itself gives the member after the deadline.
const lateAnswerTimeout = time.Second

// openStream opens a stream of the given call on a new connection.
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

// acquireStream returns an idle or new stream for an exchange, and records it as busy.
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

// markBusy records that a stream carries an exchange. c.mu must be held.
func (c *Client) markBusy(addr netip.AddrPort, s *stream) {
	if c.busy[addr] == nil {
		c.busy[addr] = map[*stream]struct{}{}
	}
	c.busy[addr][s] = struct{}{}
}

// releaseStream keeps the stream for a later exchange.
func (x *RemoteExchange) releaseStream() {
	s := x.stream
	x.stream = nil
	x.client.putIdleStream(x.addr, s)
}

// putIdleStream keeps a stream for reuse, or closes it if it is broken or enough streams are kept. Above maxIdleStreams it
// closes an idle stream to another host.
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

// closeBusyStream closes a stream that carries an exchange.
func (c *Client) closeBusyStream(addr netip.AddrPort, s *stream) {
	s.close()
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.busy[addr], s)
}

// evictIdleStream closes an idle stream to a host other than keep. c.mu must be held.
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

// Close ends the exchange. The owner rolls back an open transaction.
func (x *RemoteExchange) Close() {
	if x.stream == nil {
		return
	}
	x.client.closeBusyStream(x.addr, x.stream)
	x.stream = nil
}

// UnknownOutcome returns the refusal of a unit whose outcome is unknown because of err.
func UnknownOutcome(err error) *statement.Refusal {
	return &statement.Refusal{Code: postgres.CodeTransactionUnknown, Reason: "the outcome of the request is unknown: " + err.Error()}
}
