package gateway

import (
	"context"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"pearlatch/core/group"
)

// Peers speaks to other hosts of the fleet.
type Peers interface {
	// Lane returns a way to the host at the address on which the work of one session
	// runs at a time.
	Lane(ctx context.Context, to netip.AddrPort) (Lane, error)
	// Recall asks what became of a request that was sent to the host.
	Recall(ctx context.Context, to netip.AddrPort, from string, serial uint64) (Recalled, error)
	// Feed lets the host pass on what changed in the store after the revision.
	Feed(ctx context.Context, to netip.AddrPort, after int64) (Feed, error)
}

// Lane carries requests to another host, one after the other.
type Lane interface {
	// Do sends a request and waits for its answer. ErrNotSent means that the other
	// host has certainly not got it.
	Do(ctx context.Context, r *PeerRequest) (*PeerReply, error)
	// Release keeps the lane for other sessions. No transaction may be open on it.
	Release()
	// Close ends the lane. The other host rolls an open transaction back.
	Close()
}

// Feed is a stream of the store's news from another host.
type Feed interface {
	// Next waits for news, at most for the given time.
	Next(atMost time.Duration) (News, error)
	Close()
}

// ErrNotSent means that a request did not leave this host.
var ErrNotSent = errors.New("the request was not sent")

// PeerRequest is a caller's statement that a host passes on to one that serves the
// group. It carries all that the statement depends on of the caller's session.
type PeerRequest struct {
	// From names the sending process and Serial the request there, for Recall.
	From   string
	Serial uint64
	// To names the process that the sender means, or is empty when it knows none.
	To string
	// Group runs the statement, by the sender's configuration and Route.
	Group    string
	Database string
	Route    Route
	// Age is how long ago the caller's request arrived, and BeginAge how long ago
	// its transaction was begun.
	Age, BeginAge time.Duration
	// Mark is the position of the session's last write.
	Mark   group.Position
	Values map[string]string
	// Shape is what an Execute runs, or nil.
	Shape *Shape
	// Begin is set for the first statement of a transaction.
	Begin *Begin
	// Request holds a Read, Write, Execute, Commit or Rollback.
	Request Request
}

// PeerReply answers a PeerRequest.
type PeerReply struct {
	// Process names the answering process.
	Process string
	// Elsewhere is true when the request has not run and other hosts may run it; Why
	// says why this one did not.
	Elsewhere bool
	Why       string
	Reply     Reply
	// Mark is the position of the session's last write now.
	Mark group.Position
}

// Recalled says what became of a request. Its implementations are RecalledRunning,
// RecalledDone and RecalledUnknown.
type Recalled interface{ isRecalled() }

type (
	// RecalledRunning means that the request is being worked on.
	RecalledRunning struct{}
	// RecalledDone holds the answer.
	RecalledDone struct{ Reply *PeerReply }
	// RecalledUnknown means that the process does not know the request, and refuses it
	// from now on.
	RecalledUnknown struct {
		// Process names the process that was asked.
		Process string
	}
)

func (RecalledRunning) isRecalled() {}
func (RecalledDone) isRecalled()    {}
func (RecalledUnknown) isRecalled() {}

// News is what changed in the store, as another host passes it on.
type News struct {
	Snapshot
	// Whole is true when the items are all there are.
	Whole bool
	// Age is how long ago the store itself was heard of.
	Age time.Duration
}
