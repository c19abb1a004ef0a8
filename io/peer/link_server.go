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

	mu    sync.Mutex
	lanes map[uint64]*servedLane
}

// servedLane is a lane with a request under way or a transaction open.
type servedLane struct {
	guest *gateway.ForwardedSession
	// running is true while a request is under way, and closed once the other side has
	// given the lane up.
	running, closed bool
	// rest ends a transaction that rests for too long.
	rest *time.Timer
}

// serveLink serves a link until it ends. What was begun on it is ended too, also when the
// other host goes: it may ask for the outcome.
func serveLink(stream drpc.Stream, h *gateway.Host) error {
	l := &servedLink{host: h, lanes: map[uint64]*servedLane{}}
	l.writer = newLinkWriter(stream, func() { _ = stream.Close() })
	defer l.end()
	for {
		in := new(linkRequest)
		if err := stream.MsgRecv(in, encoding{}); err != nil {
			return err
		}
		switch {
		case in.closes:
			l.close(in.lane)
		case in.recall != nil:
			l.send(&linkReply{lane: in.lane, recalled: answerRecall(h, in.recall)})
		case in.lease != nil:
			granted := h.GrantLease(gateway.LeaseRequest(*in.lease))
			l.send(&linkReply{lane: in.lane, lease: (*leaseReply)(&granted)})
		case in.ends != nil:
			h.RevokeLease(in.ends.group, in.ends.member, in.ends.planned)
			l.send(&linkReply{lane: in.lane, ended: true})
		case in.quota != nil:
			reply := h.Quotas().HandleRequest(quotas.Request(*in.quota))
			l.send(&linkReply{lane: in.lane, quota: (*quotaReply)(&reply)})
		case in.tell != nil:
			reply := h.Quotas().HandleReportRequest(quotas.ReportRequest(*in.tell))
			l.send(&linkReply{lane: in.lane, told: (*tellReply)(&reply)})
		case in.version != laneVersion:
			return errors.Errorf("a request of version %d", in.version)
		default:
			l.take(in)
		}
	}
}

// take starts a request on its lane.
func (l *servedLink) take(in *linkRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.lanes[in.lane]
	if k == nil {
		k = &servedLane{guest: l.host.NewForwardedSession()}
		l.lanes[in.lane] = k
	}
	if k.rest != nil {
		k.rest.Stop()
	}
	if k.running {
		return // a lane carries one request at a time: its answer is still to come
	}
	if declined := k.guest.Accept(&in.PeerRequest); declined != nil {
		l.closeLane(in.lane, k)
		l.send(&linkReply{lane: in.lane, laneReply: laneReply(*declined)})
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

func (l *servedLink) run(in *linkRequest, k *servedLane) {
	reply := k.guest.Run(context.Background(), &in.PeerRequest)
	l.mu.Lock()
	k.running = false
	open := k.guest.HasOpenTransaction()
	switch {
	case k.closed:
		go k.guest.Close()
	case open:
		k.rest = time.AfterFunc(k.guest.IdleTimeout(), func() { l.expire(in.lane, k) })
	default:
		delete(l.lanes, in.lane)
	}
	l.mu.Unlock()
	l.send(&linkReply{lane: in.lane, laneReply: laneReply(*reply)})
}

// expire rolls back a transaction that rested for too long.
func (l *servedLink) expire(id uint64, k *servedLane) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if k.running || k.closed {
		return
	}
	k.closed = true
	delete(l.lanes, id)
	go k.guest.Expire()
}

// close ends a lane that the other side has given up.
func (l *servedLink) close(id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.lanes[id]
	if k == nil {
		return
	}
	l.closeLane(id, k)
}

// closeLane ends a lane, or marks it while a request is under way. l.mu is held.
func (l *servedLink) closeLane(id uint64, k *servedLane) {
	k.closed = true
	delete(l.lanes, id)
	if k.rest != nil {
		k.rest.Stop()
	}
	if !k.running {
		go k.guest.Close()
	}
}

// end ends all lanes.
func (l *servedLink) end() {
	l.writer.close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, k := range l.lanes {
		l.closeLane(id, k)
	}
}
