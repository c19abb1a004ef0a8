package peer

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"storj.io/drpc"

	"pearlatch/internal/gateway"
	"pearlatch/internal/quotas"
)

// servedLink answers the requests that come on one link.
type servedLink struct {
	host   *gateway.Host
	writer *linkWriter

	mu      sync.Mutex
	streams map[uint64]*servedStream
}

// servedStream is a lane with a request under way or a transaction open.
type servedStream struct {
	session *gateway.ForwardedSession
	// running is true while a request is under way, and closed once the other side has
	// given the lane up.
	running, closed bool
	// idleTimer ends a transaction that rests for too long.
	idleTimer *time.Timer
}

// serveLink serves a link until it ends. What was begun on it is ended too, also when the
// other host goes: it may ask for the outcome.
func serveLink(stream drpc.Stream, h *gateway.Host) error {
	l := &servedLink{host: h, streams: map[uint64]*servedStream{}}
	l.writer = newLinkWriter(stream, func() { _ = stream.Close() })
	defer l.closeAll()
	for {
		in := new(linkRequest)
		if err := stream.MsgRecv(in, encoding{}); err != nil {
			return err
		}
		switch {
		case in.closes:
			l.closeStream(in.lane)
		case in.recall != nil:
			l.send(&linkReply{lane: in.lane, recalled: outcomeReply(h, in.recall)})
		case in.lease != nil:
			granted := h.GrantLease(gateway.LeaseRequest(*in.lease))
			l.send(&linkReply{lane: in.lane, lease: (*leaseReply)(&granted)})
		case in.revokeLease != nil:
			h.RevokeLease(in.revokeLease.group, in.revokeLease.member, in.revokeLease.planned)
			l.send(&linkReply{lane: in.lane, leaseRevoked: true})
		case in.quota != nil:
			reply := h.Quotas().HandleRequest(quotas.Request(*in.quota))
			l.send(&linkReply{lane: in.lane, quota: (*quotaReply)(&reply)})
		case in.tell != nil:
			reply := h.Quotas().HandleReportRequest(quotas.ReportRequest(*in.tell))
			l.send(&linkReply{lane: in.lane, told: (*tellReply)(&reply)})
		case in.version != peerRequestVersion:
			return errors.Errorf("a request of version %d", in.version)
		default:
			l.start(in)
		}
	}
}

// start starts a request on its lane.
func (l *servedLink) start(in *linkRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.streams[in.lane]
	if k == nil {
		k = &servedStream{session: l.host.NewForwardedSession()}
		l.streams[in.lane] = k
	}
	if k.idleTimer != nil {
		k.idleTimer.Stop()
	}
	if k.running {
		return // a lane carries one request at a time: its answer is still to come
	}
	if declined := k.session.Accept(&in.PeerRequest); declined != nil {
		l.closeStreamLocked(in.lane, k)
		l.send(&linkReply{lane: in.lane, peerReplyMessage: peerReplyMessage(*declined)})
		return
	}
	k.running = true
	go l.run(in, k)
}

// send queues an answer, and ends a link that doesn't take it.
func (l *servedLink) send(m *linkReply) {
	if err := l.writer.send(m); errors.Is(err, errLinkFull) {
		l.writer.close()
		_ = l.writer.stream.Close()
	}
}

func (l *servedLink) run(in *linkRequest, k *servedStream) {
	reply := k.session.Run(context.Background(), &in.PeerRequest)
	l.mu.Lock()
	k.running = false
	open := k.session.HasOpenTransaction()
	switch {
	case k.closed:
		go k.session.Close()
	case open:
		k.idleTimer = time.AfterFunc(k.session.IdleTimeout(), func() { l.expire(in.lane, k) })
	default:
		delete(l.streams, in.lane)
	}
	l.mu.Unlock()
	l.send(&linkReply{lane: in.lane, peerReplyMessage: peerReplyMessage(*reply)})
}

// expire rolls back a transaction that rested for too long.
func (l *servedLink) expire(id uint64, k *servedStream) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if k.running || k.closed {
		return
	}
	k.closed = true
	delete(l.streams, id)
	go k.session.Expire()
}

// closeStream ends a lane that the other side has given up.
func (l *servedLink) closeStream(id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.streams[id]
	if k == nil {
		return
	}
	l.closeStreamLocked(id, k)
}

// closeStreamLocked ends a lane, or marks it while a request is under way. l.mu is held.
func (l *servedLink) closeStreamLocked(id uint64, k *servedStream) {
	k.closed = true
	delete(l.streams, id)
	if k.idleTimer != nil {
		k.idleTimer.Stop()
	}
	if !k.running {
		go k.session.Close()
	}
}

// closeAll ends all lanes.
func (l *servedLink) closeAll() {
	l.writer.close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, k := range l.streams {
		l.closeStreamLocked(id, k)
	}
}
