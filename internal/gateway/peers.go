package gateway

import (
	"context"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"pearlatch/core/group"
	"pearlatch/core/load"
	"pearlatch/internal/follow"
	"pearlatch/internal/quotas"
)

// Peers sends requests to other hosts of the fleet. Its methods may be called from several goroutines.
type Peers interface {
	// OpenStream opens a stream to the host at the address. A stream serves one session at a time.
	OpenStream(ctx context.Context, to netip.AddrPort) (Stream, error)
	// QueryOutcome asks the host for the outcome of a request that was sent to it. from and serial identify the request as in
	// PeerRequest.
	QueryOutcome(ctx context.Context, to netip.AddrPort, from string, serial uint64) (RequestOutcome, error)
	// Probe makes the host ask a member for its status.
	Probe(ctx context.Context, to netip.AddrPort, groupName, memberID string) (Status, error)
	// RequestLease asks the host for a lease on the primary of a group.
	RequestLease(ctx context.Context, to netip.AddrPort, r LeaseRequest) (LeaseReply, error)
	// RevokeLease asks the host to give up its lease on the primary of a group. The lease has ended if the error is nil.
	// planned is true for a switchover.
	RevokeLease(ctx context.Context, to netip.AddrPort, r Revocation) error
	quotas.Peers
	follow.Peers
}

// Stream sends requests to another host, one at a time.
type Stream interface {
	// Do sends a request and waits for the reply. ErrNotSent means that the other host has not received the request.
	Do(ctx context.Context, r *PeerRequest) (*PeerReply, error)
	// Close closes the stream. The other host rolls back a transaction that is still open on it.
	Close()
	// ReplaceIfSilent replaces the underlying connection if nothing has arrived on it for the given time. It is called when the
	// other host is alive but does not know a request that was sent that long ago.
	ReplaceIfSilent(age time.Duration)
}

// ErrNotSent means that a request was not sent to the other host.
var ErrNotSent = errors.New("the request was not sent")

// PeerRequest is a caller's statement that a host forwards to one that serves the group. It includes all state of the
// caller's session that the statement depends on.
type PeerRequest struct {
	// From identifies the sending process, and Serial the request within that process. QueryOutcome takes both.
	From   string
	Serial uint64
	// To identifies the process that the request is for. It is empty if the sender does not know the process.
	To string
	// Group is the group that runs the statement, and Route its route, both by the sender's configuration.
	Group    string
	Database string
	Route    Route
	// Account is the caller's account, whose key the sender has verified. It is empty if callers have no accounts. The key
	// itself is not sent.
	Account string
	// Age is the time since the caller's request arrived, and BeginAge the time since its transaction began.
	Age, BeginAge time.Duration
	// LastWrite is the position of the session's last write.
	LastWrite group.Position
	// Values holds the session's values by name.
	Values map[string]string
	// Prepared is the statement that an Execute runs, or nil.
	Prepared *PreparedStatement
	// Begin is set for the first statement of a transaction. Continues is true for all later ones.
	Begin     *Begin
	Continues bool
	// WaitForPrimary asks the host to wait for the primary even if it cannot reach it, since other hosts have already declined
	// for this reason.
	WaitForPrimary bool
	// Request contains a Read, Write, Execute, Commit or Rollback.
	Request Request
}

// isRetrySafe reports whether the request may run twice, as a read outside a transaction may. Such a request can be sent to
// another host before its outcome is known.
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
	// Process identifies the replying process.
	Process string
	// Declined is the reason why the host declined the request, or Accepted. A declined request has not run, and other hosts
	// may run it.
	Declined DeclineReason
	Reply    Reply
	// LastWrite is the position of the session's last write after the request.
	LastWrite group.Position
	// Load is the host's load for the group. LoadSequence numbers the reports of a process. It is zero if there is none.
	Load         load.Report
	LoadSequence uint64
}

// DeclineReason is the reason why a host declines a forwarded request.
type DeclineReason uint8

// Decline reasons.
const (
	// Accepted means that the request was not declined.
	Accepted DeclineReason = iota
	// HostStopping means that the host is shutting down.
	HostStopping // HostStops
	// GroupUnknown means that the host does not know the group yet.
	GroupUnknown
	// OtherProcess means that the request is for another process, usually an earlier one of the host.
	OtherProcess
	// NoTransaction means that the request belongs to a transaction that has ended on the host.
	NoTransaction
	// ReportedUnknown means that the host has answered the sender's query with OutcomeUnknown, so the request must not run.
	ReportedUnknown // RecalledBefore
	// PrimaryUnreachable means that the host cannot reach the primary, which the request needs.
	PrimaryUnreachable // PrimaryUnreached
	// AccountMissing means that the request has no account although callers need one. The sender may not know yet that they
	// do.
	AccountMissing
)

// RequestOutcome is the outcome of a request as far as the receiving host knows it. Its implementations are OutcomeRunning,
// OutcomeDone and OutcomeUnknown.
type RequestOutcome interface{ isRequestOutcome() }

type (
	// OutcomeRunning means that the request is still running.
	OutcomeRunning struct{}
	// OutcomeDone holds the reply to a request that has finished.
	OutcomeDone struct{ Reply *PeerReply }
	// OutcomeUnknown means that the process does not know the request and declines it if it arrives later.
	OutcomeUnknown struct {
		// Process identifies the process that answered the query.
		Process string
	}
)

func (OutcomeRunning) isRequestOutcome() {}
func (OutcomeDone) isRequestOutcome()    {}
func (OutcomeUnknown) isRequestOutcome() {}
