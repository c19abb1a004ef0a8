package peer

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
	"storj.io/drpc"

	"pearlatch/internal/gateway"
)

// links keeps one link to each host that requests are sent to: many lanes share it, so
// that a host under load needs neither a connection nor a handshake for each statement.
// The zero value with a client is ready for use.
type links struct {
	client *Client
	mu     sync.Mutex
	open   map[netip.AddrPort]*link
	// dials holds what waits for a link that is being opened.
	dials map[netip.AddrPort]*linkDial
}

// linkDial is a link that is being opened. done is closed when the others are set.
type linkDial struct {
	done chan struct{}
	link *link
	err  error
}

// get returns the link to a host, opening it if there is none.
func (l *links) get(ctx context.Context, addr netip.AddrPort) (*link, error) {
	l.mu.Lock()
	if k := l.open[addr]; k != nil && !k.broken() {
		l.mu.Unlock()
		return k, nil
	}
	d := l.dials[addr]
	if d == nil {
		d = &linkDial{done: make(chan struct{})}
		if l.dials == nil {
			l.dials, l.open = map[netip.AddrPort]*linkDial{}, map[netip.AddrPort]*link{}
		}
		l.dials[addr] = d
		go l.dial(addr, d)
	}
	l.mu.Unlock()
	select {
	case <-d.done:
		return d.link, d.err
	case <-ctx.Done():
		return nil, errors.Wrapf(ctx.Err(), "open a link to host %s", addr)
	}
}

// existing returns the link to a host if there is one.
func (l *links) existing(addr netip.AddrPort) *link {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.open[addr]
	if k == nil || k.broken() {
		return nil
	}
	return k
}

func (l *links) dial(addr netip.AddrPort, d *linkDial) {
	d.link, d.err = l.client.openLink(addr)
	l.mu.Lock()
	delete(l.dials, addr)
	if d.err == nil {
		l.open[addr] = d.link
	}
	l.mu.Unlock()
	close(d.done)
}

// openLink opens a link to a host.
func (c *Client) openLink(addr netip.AddrPort) (*link, error) {
	s, err := c.openStream(context.Background(), addr, linkCall)
	if err != nil {
		return nil, err
	}
	k := &link{addr: addr, stream: s, pending: map[uint64]chan *linkReply{}, lastReceived: time.Now()}
	k.writer = newLinkWriter(s.drpc, k.shutdown)
	go k.read()
	return k, nil
}

// link carries the requests of many lanes to one host.
type link struct {
	addr   netip.AddrPort
	stream *stream
	writer *linkWriter

	mu sync.Mutex
	// pending holds who waits for an answer, by lane.
	pending map[uint64]chan *linkReply
	lastID  uint64
	// lastReceived is when the host last sent anything, or the link was opened.
	lastReceived time.Time
}

// read passes answers on until the link ends.
func (k *link) read() {
	defer k.shutdown()
	for {
		in := new(linkReply)
		if err := k.stream.drpc.MsgRecv(in, encoding{}); err != nil {
			return
		}
		k.mu.Lock()
		k.lastReceived = time.Now()
		waiting := k.pending[in.lane]
		delete(k.pending, in.lane)
		k.mu.Unlock()
		if waiting != nil {
			waiting <- in
		}
	}
}

// shutdown closes the link. Whoever waits for an answer is told.
func (k *link) shutdown() {
	k.writer.close()
	k.stream.close()
}

func (k *link) broken() bool {
	select {
	case <-k.writer.closed:
		return true
	default:
		return !isOpen(k.stream.conn)
	}
}

// send queues a message, and ends a link that doesn't take it.
func (k *link) send(m drpc.Message) error {
	err := k.writer.send(m)
	if errors.Is(err, errLinkFull) {
		k.shutdown()
	}
	return err
}

// linkStream carries the work of one session at a time.
type linkStream struct {
	link *link
	id   uint64
}

var _ gateway.Stream = (*linkStream)(nil)

func (k *link) newStream() *linkStream {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.lastID++
	return &linkStream{link: k, id: k.lastID}
}

// Do implements gateway.Lane.
func (l *linkStream) Do(ctx context.Context, r *gateway.PeerRequest) (*gateway.PeerReply, error) {
	reply, err := l.link.ask(ctx, &linkRequest{lane: l.id, peerRequestMessage: peerRequestMessage{version: peerRequestVersion, PeerRequest: *r}})
	if err != nil {
		return nil, err
	}
	return (*gateway.PeerReply)(&reply.peerReplyMessage), nil
}

// ask sends a message and waits for its answer. ErrNotSent means that it was not sent.
func (k *link) ask(ctx context.Context, m *linkRequest) (*linkReply, error) {
	answer := make(chan *linkReply, 1)
	k.mu.Lock()
	k.pending[m.lane] = answer
	k.mu.Unlock()
	if err := k.send(m); err != nil {
		k.removePending(m.lane)
		return nil, errors.Wrap(gateway.ErrNotSent, err.Error())
	}
	select {
	case reply := <-answer:
		return reply, nil
	case <-k.writer.closed:
		k.removePending(m.lane)
		return nil, errors.Errorf("the link to host %s has ended", k.addr)
	case <-ctx.Done():
		k.removePending(m.lane)
		return nil, errors.Wrapf(ctx.Err(), "answer of host %s", k.addr)
	}
}

func (k *link) removePending(lane uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.pending, lane)
}

// queryOutcome asks on the link what became of a request. It returns nil if there is no answer
// soon.
func (k *link) queryOutcome(ctx context.Context, in *recallRequest) *recallReply {
	ctx, cancel := context.WithTimeout(ctx, linkOutcomeTimeout)
	defer cancel()
	reply, err := k.ask(ctx, &linkRequest{lane: k.newStream().id, recall: in})
	if err != nil {
		return nil
	}
	return reply.recalled
}

// Close implements gateway.Lane.
func (l *linkStream) Close() {
	// A link that has ended takes its lanes along.
	_ = l.link.send(&linkRequest{lane: l.id, closes: true})
}

// ReplaceIfSilent implements gateway.Lane.
func (l *linkStream) ReplaceIfSilent(age time.Duration) {
	l.link.mu.Lock()
	silent := time.Since(l.link.lastReceived) > age
	l.link.mu.Unlock()
	if silent {
		l.link.shutdown()
	}
}
