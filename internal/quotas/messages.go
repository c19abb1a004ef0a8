package quotas

import (
	"context"
	"time"

	"pearlatch/core/quota"
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

// Fleet gives an Enforcer access to other hosts. Its methods may be called from several goroutines.
type Fleet interface {
	// Granter returns the host that holds a shard's duty and its fencing token, as known to this host. ok is false if
	// no granter is known.
	Granter(shard string) (host string, token int64, ok bool)
	// RequestTokens sends a request to a granter, and RequestReport sends a report request to a host.
	RequestTokens(ctx context.Context, host string, r Request) (Response, error)
	RequestReport(ctx context.Context, host string, r ReportRequest) (ReportResponse, error)
	// IsProcessEnded reports whether an error proves that a host's process has ended.
	IsProcessEnded(err error) bool
	// RecordGrantee records that a host may hold portions of a shard, so that a successor of the granter knows of it.
	// It may record more hosts, and returns all that it has recorded.
	RecordGrantee(ctx context.Context, shard, host string) ([]string, error)
}

const (
	// requestTimeout bounds a request to a host. A granter that is five times as slow as usual still responds in
	// time.
	requestTimeout = quota.ResponseTimeout
	// maxGranterDelay is how long an operation waits for the granter's response. The rest of its caller's latency
	// objective is reserved for the member.
	maxGranterDelay = 250 * time.Millisecond
	// granterLossTimeout is how long a granter may fail to respond before operations stop waiting for it.
	granterLossTimeout = 300 * time.Millisecond
	// requestRetryDelay is the pause after a request that failed or was declined.
	requestRetryDelay = 25 * time.Millisecond
	// maintenanceInterval is how often each shard is checked for portions to renew and hosts to query.
	maintenanceInterval = 100 * time.Millisecond
	// recordTimeout bounds the recording of hosts that may get portions, and recordRetryDelay is the pause after it
	// failed.
	recordTimeout    = time.Second
	recordRetryDelay = 100 * time.Millisecond
	// initialReportBackoff is the pause between two report requests to a host, and doubles up to maxReportBackoff
	// while the host doesn't report.
	initialReportBackoff = 100 * time.Millisecond
	maxReportBackoff     = 1600 * time.Millisecond
	// quietHostTimeout is how long a host that holds a portion may be silent before it is asked for a report, to find
	// out whether it still runs.
	quietHostTimeout = 2500 * time.Millisecond
)
