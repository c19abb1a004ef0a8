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

// servedLink serves the requests that another host sends on one link.
type servedLink struct {
	host   *gateway.Host
	writer *linkWriter

	mu      sync.Mutex
	streams map[uint64]*servedStream
}

// servedStream is a stream with a running request or an open transaction.
type servedStream struct {
	session *gateway.ForwardedSession
	// request is the running request. answered is true once the reply to it has been determined.
	request  *gateway.PeerRequest
	answered bool
	// replySent is to be called once the reply has been sent or can't be sent.
	replySent func()
	// running is true while a request runs. closed is true once the stream is closed; a request that is still running is
	// finished first.
	running, closed bool
	// idleTimer rolls back a transaction on which no request arrives for too long.
	idleTimer *time.Timer
}

// serveLink serves a link until it fails. It then closes all streams and rolls back their transactions, also if the other host
// has failed. Requests that are still running are finished, since the other host may query their outcome.
func serveLink(stream drpc.Stream, h *gateway.Host) error {
	l := &servedLink{host: h, streams: map[uint64]*servedStream{}}
	l.writer = newLinkWriter(stream, func() { _ = stream.Close() })
	defer l.closeAll()
	// The functions also run if the host has stopped that far before the link was opened.
	defer context.AfterFunc(h.PassingOn(), l.endTransactions)()
	defer context.AfterFunc(h.Answering(), l.answerUnknown)()
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
			h.RevokeLease(gateway.Revocation(*in.revokeLease))
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

// start starts a request on its stream, unless the session declines it.
func (l *servedLink) start(in *linkRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.streams[in.lane]
	if s == nil {
		s = &servedStream{session: l.host.NewForwardedSession()}
		l.streams[in.lane] = s
	}
	if s.idleTimer != nil {
		s.idleTimer.Stop()
	}
	if s.running {
		return // a stream carries one request at a time, and the running one is still to be answered
	}
	if declined := s.session.Accept(&in.PeerRequest); declined != nil {
		l.closeStreamLocked(in.lane, s)
		l.send(&linkReply{lane: in.lane, serial: in.Serial, peerReplyMessage: peerReplyMessage(*declined)})
		return
	}
	s.running, s.request, s.answered, s.replySent = true, &in.PeerRequest, false, l.host.BeginReply()
	go l.run(in, s, s.replySent)
}

// send queues a reply. It closes the link if the queue is full.
func (l *servedLink) send(m *linkReply) { l.closeIfFull(l.writer.send(m)) }

func (l *servedLink) closeIfFull(err error) {
	if errors.Is(err, errLinkFull) {
		l.writer.close()
		_ = l.writer.stream.Close()
	}
}

// run runs a request, sends the reply, and forgets a stream without an open transaction.
func (l *servedLink) run(in *linkRequest, s *servedStream, replySent func()) {
	defer replySent()
	reply := s.session.Run(l.host.PassingOn(), &in.PeerRequest)
	l.mu.Lock()
	answered := s.answered
	s.running, s.answered = false, true
	open := s.session.HasOpenTransaction()
	switch {
	case s.closed:
		go s.session.Close()
	case open && !l.host.ShutdownPhase().PassesOn():
		l.closeStreamLocked(in.lane, s)
	case open:
		s.idleTimer = time.AfterFunc(s.session.IdleTimeout(), func() { l.expire(in.lane, s) })
	default:
		delete(l.streams, in.lane)
	}
	l.mu.Unlock()
	if !answered {
		l.reply(in.lane, in.Serial, reply)
	}
}

// reply sends the reply to a request. While the host stops it returns once the reply has been sent, so that the process
// does not exit before.
func (l *servedLink) reply(lane, serial uint64, reply *gateway.PeerReply) {
	m := queuedMessage{Message: &linkReply{lane: lane, serial: serial, peerReplyMessage: peerReplyMessage(*reply)}}
	m.replace = func(err error) drpc.Message { return unsendableReply(lane, serial, reply, err) }
	if !l.host.Stopping() {
		l.closeIfFull(l.writer.enqueue(m))
		return
	}
	l.closeIfFull(l.writer.sendAndWait(m))
}

// unsendableReply returns the reply to a request whose own reply can't be sent. It promises nothing.
func unsendableReply(lane, serial uint64, reply *gateway.PeerReply, err error) *linkReply {
	out := peerReplyMessage(*reply)
	out.Reply = gateway.Reply{State: reply.Reply.State, Failure: &gateway.Failure{Code: gateway.InDoubt, Detail: "the reply can't be sent: " + err.Error()}}
	return &linkReply{lane: lane, serial: serial, peerReplyMessage: out}
}

// endTransactions closes the streams whose transactions wait for their next statement. The other streams are closed after
// the running statement.
func (l *servedLink) endTransactions() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, s := range l.streams {
		if !s.running {
			l.closeStreamLocked(id, s)
		}
	}
}

// answerUnknown replies to the requests in progress.
func (l *servedLink) answerUnknown() {
	unanswered := map[uint64]servedStream{}
	l.mu.Lock()
	for id, s := range l.streams {
		if s.running && !s.answered {
			s.answered = true
			unanswered[id] = *s
		}
	}
	l.mu.Unlock()
	for id, s := range unanswered {
		l.reply(id, s.request.Serial, s.session.UnknownReply(s.request))
		s.replySent()
	}
}

// expire rolls back a transaction on which no request has arrived for too long.
func (l *servedLink) expire(id uint64, s *servedStream) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s.running || s.closed {
		return
	}
	s.closed = true
	delete(l.streams, id)
	go s.session.Expire()
}

// closeStream closes a stream that the other host has closed.
func (l *servedLink) closeStream(id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.streams[id]
	if s == nil {
		return
	}
	l.closeStreamLocked(id, s)
}

// closeStreamLocked closes a stream. If a request is running, run closes the session afterwards. l.mu must be held.
func (l *servedLink) closeStreamLocked(id uint64, s *servedStream) {
	s.closed = true
	delete(l.streams, id)
	if s.idleTimer != nil {
		s.idleTimer.Stop()
	}
	if !s.running {
		go s.session.Close()
	}
}

// closeAll closes the writer and all streams.
func (l *servedLink) closeAll() {
	l.writer.close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, s := range l.streams {
		l.closeStreamLocked(id, s)
	}
}
