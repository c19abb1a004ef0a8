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
	Inquiry       quota.Request
}

// Reply answers a Request.
type Reply struct {
	// Declined is true if the host asked is not the granter, or does not know the asker well enough yet: it is to
	// ask again.
	Declined bool
	Answer   quota.Response
}

// TellRequest asks a host what it holds of a shard, and to follow the granter that asks.
type TellRequest struct {
	Shard, Host string
	Token       int64
}

// TellReply answers a TellRequest.
type TellReply struct {
	Process string
	// Declined is true if the host follows a later granter.
	Declined bool
	Holds    []quota.Holding
}

// Fleet is what a Keeper knows of other hosts, and says to them.
type Fleet interface {
	// Granter returns the host that holds a shard's duty, and its fencing token, as this host believes. ok is
	// false while none is known.
	Granter(shard string) (host string, token int64, ok bool)
	// Ask asks a granter, and Tell another host what it holds.
	Ask(ctx context.Context, host string, r Request) (Reply, error)
	Tell(ctx context.Context, host string, r TellRequest) (TellReply, error)
	// Ended reports whether an error shows that a host's process has certainly ended.
	Ended(err error) bool
	// Enter lets a successor know that a host may hold portions of a shard. Without an error it will, of that host
	// and the others that Enter returns.
	Enter(ctx context.Context, shard, host string) ([]string, error)
}

const (
	// askTimeout bounds a question: a granter that is five times as slow as usual still answers.
	askTimeout = quota.ResponseTimeout
	// waitLongest is how long an operation waits for the granter's answer: what is left of its caller's latency
	// objective is for the member.
	waitLongest = 250 * time.Millisecond
	// lostAfter is how long a granter may fail to answer until operations wait for it no longer.
	lostAfter = 300 * time.Millisecond
	// askAgain is the pause after a question that brought nothing.
	askAgain = 25 * time.Millisecond
	// pace is how often shards are looked at: portions to be renewed, hosts to be asked.
	pace = 100 * time.Millisecond
	// enterTimeout bounds the writing down of hosts that may get portions, and enterPause is the pause after a try
	// that failed.
	enterTimeout = time.Second
	enterPause   = 100 * time.Millisecond
	// tellPause is the pause between two questions to a host that does not tell, tellPauseMax the longest one.
	tellPause    = 100 * time.Millisecond
	tellPauseMax = 1600 * time.Millisecond
	// unheardTime is how long a host that holds a portion may be silent until it is asked whether it still runs.
	unheardTime = 2500 * time.Millisecond
)
