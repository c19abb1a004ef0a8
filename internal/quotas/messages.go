package quotas

import (
	"context"
	"net/netip"
	"time"

	"pearlatch/core/quota"
	"pearlatch/core/quota/reserve"
)

// Request is a host's request to a granter.
type Request struct {
	// Shard identifies the accounts that share a granter; see Enforcer.
	Shard         string
	Host, Process string
	Request       quota.Request
}

// Response is the reply to a Request.
type Response struct {
	// Declined is true if the receiver is not the granter, or doesn't know yet what the sender holds. The sender
	// should retry.
	Declined bool
	Response quota.Response
}

// ReportRequest asks a host to report what it holds of a shard, and to follow the granter that sends the request.
type ReportRequest struct {
	Shard, Host string
	Token       int64
}

// ReportResponse is the reply to a ReportRequest.
type ReportResponse struct {
	Process string
	// Declined is true if the host follows a later granter.
	Declined bool
	Holdings []quota.Holding
}

// ReserveRequest is a host's request for tokens to a host that holds reserves of a shard.
type ReserveRequest struct {
	Shard, Host, Process string
	Request              reserve.Request
}

// Peers sends messages to other hosts. Its methods may be called from several goroutines.
type Peers interface {
	// RequestQuota sends a request to a granter.
	RequestQuota(ctx context.Context, to netip.AddrPort, r Request) (Response, error)
	// TellQuota asks a host for a report of its holdings and makes it follow the sender as granter.
	TellQuota(ctx context.Context, to netip.AddrPort, r ReportRequest) (ReportResponse, error)
	// RequestReserve asks a reserve holder for tokens.
	RequestReserve(ctx context.Context, to netip.AddrPort, r ReserveRequest) (reserve.Reply, error)
}

// Fleet gives an Enforcer access to other hosts. Its methods may be called from several goroutines.
type Fleet interface {
	// Granter returns the host that holds a shard's duty and its fencing token, as known to this host. ok is false if
	// no granter is known.
	Granter(shard string) (host string, token int64, ok bool)
	// Peer returns the connection to a host and its address.
	Peer(host string) (Peers, netip.AddrPort, error)
	// ReserveCandidates returns the hosts that may hold reserves of a shard's accounts, one more than reserve.MaxHolders
	// if there are as many. IsCandidate returns false if this host is certainly not one of them; it costs less.
	ReserveCandidates(shard string) []string
	IsCandidate(shard string) bool
	// IsSuspect reports whether a host did not answer lately.
	IsSuspect(host string) bool
	// Version changes when the results of these three methods may.
	Version() uint64
	// IsProcessEnded reports whether an error proves that a host's process has ended.
	IsProcessEnded(err error) bool
	// RecordGrantee records that a host may hold portions of a shard, so that a successor of the granter knows of it.
	// It may record more hosts, and returns all that it has recorded. In the same write it records which hosts may hold
	// reserves, unless reserveHolders is nil.
	RecordGrantee(ctx context.Context, shard, host string, reserveHolders []string) ([]string, error)
}

const (
	// requestTimeout bounds a request to a host. A granter that is five times as slow as usual still responds in
	// time.
	requestTimeout = quota.ResponseTimeout
	// maxTokenDelay is how long an operation waits for a token. The rest of its caller's latency objective is reserved
	// for the member.
	maxTokenDelay = 250 * time.Millisecond
	// requestRetryDelay is the pause after a request that failed or was declined.
	requestRetryDelay = 25 * time.Millisecond
	// reserveLogInterval is the least time between two log lines on requests to reserve holders of a shard.
	reserveLogInterval = 10 * time.Second
	// maxReserveAccounts is the largest number of a shard's accounts of which this host holds reserves. Their renewal
	// takes about 100 bytes for each account every 5 s.
	maxReserveAccounts = 128
	// maxFrequentShards is the largest number of shards for which a host that holds reserves sends keepalives every
	// quota.ReserveKeepaliveInterval. With more shards it sends one to all of them together in this interval. A keepalive
	// and its reply take 172 bytes.
	maxFrequentShards = 3
	// reserveScanHashes bounds the work of one maintenance round for finding the shards of accounts, to a few milliseconds.
	reserveScanHashes = 100_000
	// maintenanceInterval is how often each shard is checked for portions to renew and hosts to query.
	maintenanceInterval = 100 * time.Millisecond
	// recordTimeout bounds the recording of hosts that may get portions, and recordRetryDelay is the pause after it
	// failed.
	recordTimeout    = time.Second
	recordRetryDelay = 100 * time.Millisecond
	// holdersRetryDelay is the pause after the recording of reserve holders failed. Until it succeeds, new holders get no
	// reserves, which matters less than a further write to a store that is silent.
	holdersRetryDelay = time.Second
	// initialReportBackoff is the pause between two report requests to a host, and doubles up to maxReportBackoff
	// while the host doesn't report. While its report is needed to distribute the whole quota, the pause doubles up to
	// neededReportBackoff: after a loss of all hosts, the last one to start delays all callers by this time.
	initialReportBackoff = 100 * time.Millisecond
	maxReportBackoff     = 1600 * time.Millisecond
	neededReportBackoff  = 400 * time.Millisecond
	// quietHostTimeout is how long a host that holds a portion may be silent before it is asked for a report, to find
	// out whether it still runs.
	quietHostTimeout = 2500 * time.Millisecond
)
