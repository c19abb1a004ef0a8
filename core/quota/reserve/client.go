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
	// Timeout is how long a request to a holder may be unanswered before another holder is asked. It allows for a holder
	// that is slow within a region, and two such requests fit into the time for which an operation waits. The tokens of
	// a later reply are used, since they are lost otherwise.
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

// Client is a host's state as a client of the holders: whom it asks next, and the requests in progress. There is one at a
// time, for all waiting operations, and another one to another holder while that one is late. The zero value has no
// holders.
type Client struct {
	holders []string
	// next is the index of the holder to ask next.
	next int
	// lastID is the ID of the last request. asks holds the requests in progress by ID.
	lastID uint64
	asks   map[uint64]ask
}

// ask is a request in progress.
type ask struct {
	holder  string
	demands []Demand
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

// Next returns the holder to which a request may be sent now, or false if there is none, or if one is to reply.
func (c *Client) Next(now time.Time) (holder string, ok bool) {
	late := map[string]bool{}
	for _, a := range c.asks {
		if now.Sub(a.sentAt) < Timeout {
			return "", false
		}
		late[a.holder] = true
	}
	for i := range c.holders {
		if h := c.holders[(c.next+i)%len(c.holders)]; !late[h] {
			return h, true
		}
	}
	return "", false
}

// Start returns the request to send now to the holder that Next returned.
func (c *Client) Start(holder string, demands []Demand, now time.Time) Request {
	slices.SortFunc(demands, func(a, b Demand) int { return cmp.Compare(a.Account, b.Account) })
	if c.asks == nil {
		c.asks = map[uint64]ask{}
	}
	c.lastID++
	c.asks[c.lastID] = ask{holder, demands, now}
	return Request{c.lastID, demands}
}

// Accept ends a request to which a holder replied. It returns false if the request is not in progress, or if the reply is
// later than the timeout: the tokens are then not to be used.
func (c *Client) Accept(id uint64, now time.Time, timeout time.Duration) (holder string, demands []Demand, ok bool) {
	a, ok := c.asks[id]
	delete(c.asks, id)
	return a.holder, a.demands, ok && now.Sub(a.sentAt) <= timeout
}

// Abandon ends a request that failed. It returns false if the request is not in progress.
func (c *Client) Abandon(id uint64) ([]Demand, bool) {
	a, ok := c.asks[id]
	delete(c.asks, id)
	c.Avoid(a.holder)
	return a.demands, ok
}

// Awaits reports whether the reply to a request for the account is awaited.
func (c *Client) Awaits(account string) bool {
	for _, a := range c.asks {
		if slices.ContainsFunc(a.demands, func(d Demand) bool { return d.Account == account }) {
			return true
		}
	}
	return false
}

// Prefer makes the next request go to the given holder, if it still is one.
func (c *Client) Prefer(holder string) {
	if i := slices.Index(c.holders, holder); i >= 0 {
		c.next = i
	}
}

// Avoid makes the next request go to the holder after the given one, since that has too few tokens or does not answer.
func (c *Client) Avoid(holder string) {
	if i := slices.Index(c.holders, holder); i >= 0 {
		c.next = (i + 1) % len(c.holders)
	}
}

// Omitted returns the accounts of a request that are not in the reply, since the holder has no portion of them.
func Omitted(demands []Demand, reply Reply) (accounts []string) {
	for _, d := range demands {
		if !slices.ContainsFunc(reply.Grants, func(g Grant) bool { return g.Account == d.Account }) {
			accounts = append(accounts, d.Account)
		}
	}
	return accounts
}
