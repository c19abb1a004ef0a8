package gateway

import (
	"context"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"pearlatch/core/group"
	"pearlatch/internal/follow"
	"pearlatch/internal/quotas"
)

// Peers speaks to other hosts of the fleet.
type Peers interface {
	// OpenStream returns a way to the host at the address on which the work of one session
	// runs at a time.
	OpenStream(ctx context.Context, to netip.AddrPort) (Stream, error)
	// QueryOutcome asks what became of a request that was sent to the host.
	QueryOutcome(ctx context.Context, to netip.AddrPort, from string, serial uint64) (RequestOutcome, error)
	// Probe lets the host ask a member for its status.
	Probe(ctx context.Context, to netip.AddrPort, groupName, memberID string) (Status, error)
	// RequestLease asks the host for a lease on the primary of a group.
	RequestLease(ctx context.Context, to netip.AddrPort, r LeaseRequest) (LeaseReply, error)
	// RevokeLease asks the host to give such a lease back. Without an error it has.
	RevokeLease(ctx context.Context, to netip.AddrPort, groupName, memberID string, planned bool) error
	// RequestQuota asks the host for tokens of accounts' quotas, and TellQuota what it holds of them.
	RequestQuota(ctx context.Context, to netip.AddrPort, r quotas.Request) (quotas.Reply, error)
	TellQuota(ctx context.Context, to netip.AddrPort, r quotas.TellRequest) (quotas.TellReply, error)
	follow.Peers
}

// Stream carries requests to another host, one after the other.
type Stream interface {
	// Do sends a request and waits for its answer. ErrNotSent means that the other
	// host has certainly not got it.
	Do(ctx context.Context, r *PeerRequest) (*PeerReply, error)
	// Close ends the lane before its transaction has ended. The other host rolls that
	// back.
	Close()
	// ReplaceIfSilent says that the other host lives, and knows nothing of a request that was
	// sent so long ago. A connection that has been silent since is replaced.
	ReplaceIfSilent(age time.Duration)
}

// ErrNotSent means that a request did not leave this host.
var ErrNotSent = errors.New("the request was not sent")

// PeerRequest is a caller's statement that a host passes on to one that serves the
// group. It carries all that the statement depends on of the caller's session.
type PeerRequest struct {
	// From names the sending process and Serial the request there, for QueryOutcome.
	From   string
	Serial uint64
	// To names the process that the sender means, or is empty when it knows none.
	To string
	// Group runs the statement, by the sender's configuration and Route.
	Group    string
	Database string
	Route    Route
	// Account is the caller's, whose key the sender has looked at, or empty where callers have none. The
	// key itself stays with the sender.
	Account string
	// Age is how long ago the caller's request arrived, and BeginAge how long ago
	// its transaction was begun.
	Age, BeginAge time.Duration
	// LastWrite is the position of the session's last write.
	LastWrite group.Position
	Values    map[string]string
	// Prepared is what an Execute runs, or nil.
	Prepared *PreparedStatement
	// Begin is set for the first statement of a transaction, and Continues is true for
	// all further ones.
	Begin     *Begin
	Continues bool
	// WaitForPrimary asks the host to wait for the primary, though it may be out of its reach:
	// others have declined for the same reason.
	WaitForPrimary bool
	// Request holds a Read, Write, Execute, Commit or Rollback.
	Request Request
}

// isRetrySafe reports whether the request may run twice: a read outside a transaction. Nobody
// need find out what became of it before it is sent elsewhere.
func (r *PeerRequest) isRetrySafe() bool {
	if r.Begin != nil || r.Continues || r.Prepared != nil && r.Prepared.Writes {
		return false
	}
	switch r.Request.Statement.(type) {
	case Read, Execute:
		return true
	}
	return false
}

// PeerReply answers a PeerRequest.
type PeerReply struct {
	// Process names the answering process.
	Process string
	// Declined says why the host did not take the request, or is Accepted. A request
	// that was declined has not run, and other hosts may run it.
	Declined DeclineReason
	Reply    Reply
	// LastWrite is the position of the session's last write now.
	LastWrite group.Position
}

// DeclineReason says why a host does not take a request of another one.
type DeclineReason uint8

// The reasons.
const (
	// Accepted means that the host took the request.
	Accepted DeclineReason = iota
	// HostStopping means that the host is about to end.
	HostStopping // HostStops
	// GroupUnknown means that the host has not heard of the group yet.
	GroupUnknown
	// OtherProcess means that the request is for an earlier process of the host.
	OtherProcess
	// NoTransaction means that the transaction of which the request is a part has ended
	// on the host.
	NoTransaction
	// ReportedUnknown means that the sender was told that the request has not run.
	ReportedUnknown // RecalledBefore
	// PrimaryUnreachable means that the host can't reach the primary that the request needs.
	PrimaryUnreachable // PrimaryUnreached
	// AccountMissing means that the sender named no account, though callers need one: it may not know of
	// accounts yet.
	AccountMissing
)

// RequestOutcome says what became of a request. Its implementations are OutcomeRunning,
// OutcomeDone and OutcomeUnknown.
type RequestOutcome interface{ isRequestOutcome() }

type (
	// OutcomeRunning means that the request is being worked on.
	OutcomeRunning struct{}
	// OutcomeDone holds the answer.
	OutcomeDone struct{ Reply *PeerReply }
	// OutcomeUnknown means that the process does not know the request, and refuses it
	// from now on.
	OutcomeUnknown struct {
		// Process names the process that was asked.
		Process string
	}
)

func (OutcomeRunning) isRequestOutcome() {}
func (OutcomeDone) isRequestOutcome()    {}
func (OutcomeUnknown) isRequestOutcome() {}
