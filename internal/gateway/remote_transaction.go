package gateway

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"pearlatch/core/membership"
)

// remoteTransaction identifies the host on which a transaction runs, and the stream to it.
type remoteTransaction struct {
	server membership.Host
	stream Stream
}

// forwardInTransaction forwards a statement or the commit of a transaction. The first one also
// begins the transaction on the other host. It returns false if no host took it.
func (s *Session) forwardInTransaction(ctx context.Context, r Request, arrived time.Time) (reply Reply, ok bool) {
	t := s.tx
	if t.remote != nil {
		return s.continueRemote(ctx, r, arrived), true
	}
	if f := t.op.overloadRefusal(Aborted); f != nil {
		return s.failTransaction(Reply{Failure: f}), true
	}
	s.tryServingHosts(ctx, &t.op, func(server membership.Host, waitForPrimary bool) error {
		req := s.newPeerRequest(r, arrived, &t.op)
		req.Begin, req.BeginAge = &Begin{ReadOnly: t.readOnly}, s.host.now().Sub(t.started)
		req.WaitForPrimary = waitForPrimary
		// If the reply is lost the other host rolls back, so the transaction may begin on another
		// one.
		got, stream, err := s.forward(ctx, server, req, t.op.deadline)
		if err != nil {
			return err
		}
		t.remote = &remoteTransaction{server, stream}
		reply, ok = s.applyRemoteReply(r, got), true
		return nil
	})
	return reply, ok
}

// continueRemote runs a further statement of a transaction on the host where it began.
func (s *Session) continueRemote(ctx context.Context, r Request, arrived time.Time) Reply {
	t := s.tx
	server := t.remote.server
	if !s.host.passesOn() {
		return s.refuseStopping(r)
	}
	req := s.newPeerRequest(r, arrived, &t.op)
	req.Continues = true
	reply, err := s.send(ctx, server, t.remote.stream, req, t.op.deadline)
	if err == nil {
		return s.applyRemoteReply(r, reply)
	}
	t.remote = nil
	if _, isCommit := r.Statement.(Commit); isCommit && !t.readOnly && errors.Is(err, errOutcomeUnknown) {
		s.tx, s.state = nil, Idle
		return failureReply(InDoubt, "host "+server.ID+" was lost with the commit")
	}
	return s.failTransaction(Reply{Failure: t.op.notRun(Aborted, "host "+server.ID+" was lost")})
}

// applyRemoteReply updates the session from another host's reply to a statement of a transaction.
func (s *Session) applyRemoteReply(r Request, reply *PeerReply) Reply {
	s.advanceLastWrite(reply.LastWrite)
	if reply.Reply.State != InTransaction {
		s.tx = nil
	}
	s.state = reply.Reply.State
	if _, isCommit := r.Statement.(Commit); isCommit {
		s.state = Idle
	}
	return reply.Reply
}

// rollbackRemote rolls back a transaction on another host. If that fails it closes the stream,
// upon which the other host rolls back.
func (t *transaction) rollbackRemote(s *Session) {
	remote := t.remote
	t.remote = nil
	ctx, cancel := context.WithTimeout(context.Background(), rollbackTimeout)
	defer cancel()
	r := s.newPeerRequest(Request{ID: s.lastRequestID, Statement: Rollback{}}, s.host.now(), &t.op)
	r.Continues = true
	reply, err := remote.stream.Do(ctx, r)
	if err != nil || reply.Declined != Accepted || reply.Reply.State != Idle {
		remote.stream.Close()
	}
}
