package reserve

import (
	"cmp"
	"slices"
	"time"
)

const (
	// MaxHolders is the largest number of hosts that hold reserves of an account: the loss of one leaves two.
	MaxHolders = 3
	// maxAsks is the number of holders that are asked for a token for one operation. One of three holders may be lost
	// together with the granter.
	maxAsks = 2
	// Timeout bounds a request to a holder. It allows for a slow holder within a region, and two of these requests fit
	// into the time for which an operation waits.
	Timeout = 75 * time.Millisecond
	// HedgeDelay is how long a request to the granter may be unanswered before holders are asked. A granter that responds
	// at all usually does so in a few milliseconds.
	HedgeDelay = 100 * time.Millisecond
	// FailurePause is the time for which holders are not asked again for tokens of an account after none of them answered.
	// It bounds the requests to holders while callers retry.
	FailurePause = 50 * time.Millisecond
)

// Client is a host's state as a client of the holders: whom it asks next, and the request in progress. There is one at a
// time, for all waiting operations. The zero value has no holders.
type Client struct {
	holders []string
	// next is the index of the holder to ask next.
	next int
	// last is the last request, sent at sentAt. pending is true while its reply is awaited.
	last    Request
	pending bool
	sentAt  time.Time
}

// SetHolders sets the hosts that may be asked, in the order in which this host asks them.
func (c *Client) SetHolders(hosts []string) {
	if !slices.Equal(hosts, c.holders) {
		c.holders, c.next = slices.Clone(hosts), 0
	}
}

// MaxAsks returns how many holders may be asked for one operation.
func (c *Client) MaxAsks() int { return min(maxAsks, len(c.holders)) }

// Idle reports whether a request may be sent: there are holders, and none of them is to reply.
func (c *Client) Idle() bool { return !c.pending && len(c.holders) > 0 }

// Start returns the request to send now and the holder to send it to. The client must be idle.
func (c *Client) Start(demands []Demand, now time.Time) (holder string, req Request) {
	slices.SortFunc(demands, func(a, b Demand) int { return cmp.Compare(a.Account, b.Account) })
	c.last, c.pending, c.sentAt = Request{c.last.ID + 1, demands}, true, now
	return c.holders[c.next%len(c.holders)], c.last
}

// Accept ends the wait for a reply. It returns false if the request is not the one in progress, or if the reply is later
// than the timeout: the tokens are then not to be used.
func (c *Client) Accept(id uint64, now time.Time, timeout time.Duration) bool {
	if !c.pending || id != c.last.ID || now.Sub(c.sentAt) > timeout {
		return false
	}
	c.pending = false
	return true
}

// Abandon ends the wait for a reply that will not come. It returns false if the request is not the one in progress.
func (c *Client) Abandon(id uint64) ([]Demand, bool) {
	if !c.pending || id != c.last.ID {
		return nil, false
	}
	c.pending = false
	c.Advance()
	return c.last.Accounts, true
}

// Advance makes the next request go to the next holder, since this one has too few tokens or does not answer.
func (c *Client) Advance() {
	if len(c.holders) > 0 {
		c.next = (c.next + 1) % len(c.holders)
	}
}
