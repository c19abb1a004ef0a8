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

// links keeps one link to each host that requests are sent to. Many streams share a link, so that a host under load needs no
// connection and handshake for each statement. The methods may be called from several goroutines. The zero value with a client
// is ready for use.
type links struct {
	client *Client

	mu   sync.Mutex
	open map[netip.AddrPort]*link
	// dials holds the links that are being opened.
	dials map[netip.AddrPort]*linkDial
}

// linkDial is a link that is being opened.
type linkDial struct {
	// done is closed when link or err is set.
	done chan struct{}
	link *link
	err  error
}

// get returns the link to a host, and opens it if there is none. Callers that come while it is being opened share the result.
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

// existing returns the open link to a host, or nil.
func (l *links) existing(addr netip.AddrPort) *link {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.open[addr]
	if k == nil || k.broken() {
		return nil
	}
	return k
}

// dial opens the link to a host and tells those who wait for d.
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
	k := &link{addr: addr, stream: s, pending: map[uint64]pendingReply{}, lastReceived: time.Now()}
	k.writer = newLinkWriter(s.drpc, k.shutdown)
	go k.read()
	return k, nil
}

// link is a connection to a host that many streams share. Its methods may be called from several goroutines.
type link struct {
	addr   netip.AddrPort
	stream *stream
	writer *linkWriter

	mu sync.Mutex
	// pending holds the expected replies by the identifier of the stream.
	pending map[uint64]pendingReply
	// lastID is the identifier of the latest stream.
	lastID uint64
	// lastReceived is when the latest message arrived, or when the link was opened if there is none.
	lastReceived time.Time
}

// pendingReply is an expected reply. serial is that of the forwarded request, or zero.
type pendingReply struct {
	serial  uint64
	channel chan *linkReply
}

// read delivers replies to those who wait for them until the link fails.
func (k *link) read() {
	defer k.shutdown()
	for {
		in := new(linkReply)
		if err := k.stream.drpc.MsgRecv(in, encoding{}); err != nil {
			return
		}
		if waiter := k.take(in); waiter != nil {
			waiter <- in
		}
	}
}

// take returns the channel of the request that the reply belongs to, or nil. A stream carries several requests in turn, so
// that a reply which comes twice must not be taken for the reply to the next one.
func (k *link) take(in *linkReply) chan<- *linkReply {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.lastReceived = time.Now()
	waiter := k.pending[in.lane]
	if in.serial != 0 && in.serial != waiter.serial {
		return nil
	}
	delete(k.pending, in.lane)
	return waiter.channel
}

// shutdown closes the link. Requests that wait for a reply fail.
func (k *link) shutdown() {
	k.writer.close()
	k.stream.close()
}

// broken reports whether the link is closed.
func (k *link) broken() bool {
	select {
	case <-k.writer.closed:
		return true
	default:
		return !isOpen(k.stream.conn)
	}
}

// send queues a message. It closes the link if the queue is full.
func (k *link) send(m queuedMessage) error {
	err := k.writer.enqueue(m)
	if errors.Is(err, errLinkFull) {
		k.shutdown()
	}
	return err
}

// linkStream is a stream on a link. It carries one request at a time.
type linkStream struct {
	link *link
	id   uint64
}

var _ gateway.Stream = (*linkStream)(nil)

// newStream returns a stream with a new identifier. Nothing is sent.
func (k *link) newStream() *linkStream {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.lastID++
	return &linkStream{link: k, id: k.lastID}
}

// Do implements gateway.Stream.
func (s *linkStream) Do(ctx context.Context, r *gateway.PeerRequest) (*gateway.PeerReply, error) {
	reply, err := s.link.ask(ctx, &linkRequest{lane: s.id, peerRequestMessage: peerRequestMessage{version: peerRequestVersion, PeerRequest: *r}})
	if err != nil {
		return nil, err
	}
	return (*gateway.PeerReply)(&reply.peerReplyMessage), nil
}

// ask sends a request and waits for the reply. gateway.ErrNotSent means that the request was not sent.
func (k *link) ask(ctx context.Context, m *linkRequest) (*linkReply, error) {
	replies := make(chan *linkReply, 1)
	k.mu.Lock()
	k.pending[m.lane] = pendingReply{m.Serial, replies}
	k.mu.Unlock()
	unsent := make(chan error, 1)
	refuse := func(err error) drpc.Message {
		unsent <- err
		return nil
	}
	if err := k.send(queuedMessage{Message: m, replace: refuse}); err != nil {
		k.removePending(m.lane)
		return nil, errors.Wrap(gateway.ErrNotSent, err.Error())
	}
	select {
	case err := <-unsent:
		k.removePending(m.lane)
		return nil, errors.Wrap(gateway.ErrNotSent, err.Error())
	case reply := <-replies:
		return reply, nil
	case <-k.writer.closed:
		k.removePending(m.lane)
		return nil, errors.Errorf("the link to host %s has ended", k.addr)
	case <-ctx.Done():
		k.removePending(m.lane)
		return nil, errors.Wrapf(ctx.Err(), "answer of host %s", k.addr)
	}
}

// removePending drops the reply on the stream if it still arrives.
func (k *link) removePending(id uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.pending, id)
}

// queryOutcome asks for the outcome of a request on the link. It returns nil if no answer arrives within linkOutcomeTimeout.
func (k *link) queryOutcome(ctx context.Context, in *recallRequest) *recallReply {
	ctx, cancel := context.WithTimeout(ctx, linkOutcomeTimeout)
	defer cancel()
	reply, err := k.ask(ctx, &linkRequest{lane: k.newStream().id, recall: in})
	if err != nil {
		return nil
	}
	return reply.recalled
}

// Close implements gateway.Stream.
func (s *linkStream) Close() {
	// An error is ignored: the other host closes all streams of a link that has failed.
	_ = s.link.send(queuedMessage{Message: &linkRequest{lane: s.id, closes: true}})
}

// ReplaceIfSilent implements gateway.Stream.
func (s *linkStream) ReplaceIfSilent(age time.Duration) {
	s.link.mu.Lock()
	silent := time.Since(s.link.lastReceived) > age
	s.link.mu.Unlock()
	if silent {
		s.link.shutdown()
	}
}
