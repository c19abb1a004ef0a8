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

// Refusals counts the holders that, one after the other, had too few tokens of an account or did not reply. The zero value
// counts none.
type Refusals struct {
	count int
	until time.Time
}

// Add counts a holder. Once these are as many as are asked for one operation, no holder is asked again for the given time.
func (r *Refusals) Add(c *Client, pause time.Duration, now time.Time) {
	if r.count++; r.count >= c.MaxAsks() {
		r.count, r.until = 0, now.Add(pause)
	}
}

// Reset counts none from now on.
func (r *Refusals) Reset() { r.count = 0 }

// Retry ends the time for which no holder is asked.
func (r *Refusals) Retry() { r.until = time.Time{} }

// Paused reports whether no holder is to be asked now.
func (r *Refusals) Paused(now time.Time) bool { return now.Before(r.until) }

// Client is a host's state as a client of the holders: whom it asks next, and the request in progress. There is one at a
// time, for all waiting operations. The zero value has no holders.
type Client struct {
	holders []string
	// next is the index of the holder to ask next.
	next int
	// last is the last request, sent to asked at sentAt. pending is true while its reply is awaited.
	last    Request
	asked   string
	pending bool
	sentAt  time.Time
}

// SetHolders sets the hosts that may be asked, in the order in which this host asks them.
func (c *Client) SetHolders(hosts []string) {
	if !slices.Equal(hosts, c.holders) {
		c.holders, c.next = slices.Clone(hosts), 0
	}
}

// MaxAsks returns how many holders with a portion of the account may be asked for one operation.
func (c *Client) MaxAsks() int { return min(maxAsks, len(c.holders)) }

// MaxTries returns how many hosts may be asked for one operation, including those that turn out to hold no portion.
func (c *Client) MaxTries() int { return len(c.holders) }

// Idle reports whether a request may be sent: there are holders, and none of them is to reply.
func (c *Client) Idle() bool { return !c.pending && len(c.holders) > 0 }

// Start returns the request to send now and the holder to send it to. The client must be idle.
func (c *Client) Start(demands []Demand, now time.Time) (holder string, req Request) {
	slices.SortFunc(demands, func(a, b Demand) int { return cmp.Compare(a.Account, b.Account) })
	c.last, c.pending, c.sentAt = Request{c.last.ID + 1, demands}, true, now
	c.asked = c.holders[c.next%len(c.holders)]
	return c.asked, c.last
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

// Omitted returns the accounts of the last request that are not in the reply, since the holder has no portion of them.
func (c *Client) Omitted(reply Reply) (accounts []string) {
	for _, d := range c.last.Accounts {
		if !slices.ContainsFunc(reply.Grants, func(g Grant) bool { return g.Account == d.Account }) {
			accounts = append(accounts, d.Account)
		}
	}
	return accounts
}

// Awaits reports whether the reply to a request for the account is awaited.
func (c *Client) Awaits(account string) bool {
	return c.pending && slices.ContainsFunc(c.last.Accounts, func(d Demand) bool { return d.Account == account })
}

// Last returns the holder that was asked last.
func (c *Client) Last() string { return c.asked }

// Prefer makes the next request go to the given holder, if it still is one.
func (c *Client) Prefer(holder string) {
	if i := slices.Index(c.holders, holder); i >= 0 {
		c.next = i
	}
}

// Advance makes the next request go to the next holder, since this one has too few tokens or does not answer.
func (c *Client) Advance() {
	if len(c.holders) > 0 {
		c.next = (c.next + 1) % len(c.holders)
	}
}
