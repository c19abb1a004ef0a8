package quotas

import (
	"context"
	"time"

	"pearlatch/core/quota"
)

// Request is what a host asks a granter.
type Request struct {
	// Shard names the accounts that have the same granter, see Keeper.
	Shard         string
	Host, Process string
	Request       quota.Request
}

// Response answers a Request.
type Response struct {
	// Declined is true if the host asked is not the granter, or does not know the asker well enough yet: it is to
	// ask again.
	Declined bool
	Response quota.Response
}

// ReportRequest asks a host what it holds of a shard, and to follow the granter that asks.
type ReportRequest struct {
	Shard, Host string
	Token       int64
}

// ReportResponse answers a TellRequest.
type ReportResponse struct {
	Process string
	// Declined is true if the host follows a later granter.
	Declined bool
	Holdings []quota.Holding
}

// Fleet is what a Keeper knows of other hosts, and says to them.
type Fleet interface {
	// Granter returns the host that holds a shard's duty, and its fencing token, as this host believes. ok is
	// false while none is known.
	Granter(shard string) (host string, token int64, ok bool)
	// RequestTokens asks a granter, and Tell another host what it holds.
	RequestTokens(ctx context.Context, host string, r Request) (Response, error)
	RequestReport(ctx context.Context, host string, r ReportRequest) (ReportResponse, error)
	// IsProcessEnded reports whether an error shows that a host's process has certainly ended.
	IsProcessEnded(err error) bool
	// RecordGrantee lets a successor know that a host may hold portions of a shard. Without an error it will, of that host
	// and the others that RecordGrantee returns.
	RecordGrantee(ctx context.Context, shard, host string) ([]string, error)
}

const (
	// requestTimeout bounds a question: a granter that is five times as slow as usual still answers.
	requestTimeout = quota.ResponseTimeout
	// maxGranterDelay is how long an operation waits for the granter's answer: what is left of its caller's latency
	// objective is for the member.
	maxGranterDelay = 250 * time.Millisecond
	// granterLossTimeout is how long a granter may fail to answer until operations wait for it no longer.
	granterLossTimeout = 300 * time.Millisecond
	// requestRetryDelay is the pause after a question that brought nothing.
	requestRetryDelay = 25 * time.Millisecond
	// maintenanceInterval is how often shards are looked at: portions to be renewed, hosts to be asked.
	maintenanceInterval = 100 * time.Millisecond
	// recordTimeout bounds the writing down of hosts that may get portions, and enterPause is the pause after a try
	// that failed.
	recordTimeout    = time.Second
	recordRetryDelay = 100 * time.Millisecond
	// initialReportBackoff is the pause between two questions to a host that does not tell, tellPauseMax the longest one.
	initialReportBackoff = 100 * time.Millisecond
	maxReportBackoff     = 1600 * time.Millisecond
	// quietHostTimeout is how long a host that holds a portion may be silent until it is asked whether it still runs.
	quietHostTimeout = 2500 * time.Millisecond
)
