package pool

import (
	"slices"
	"time"

	"pearlatch/core/admission"
	"pearlatch/core/placement"
)

// Conn is a connection to a member.
type Conn struct {
	// Account is the client account whose statements run on the connection.
	Account string
	member  *Member
	// lastUsed is when the connection was last taken or released, openedAt when it was opened, and
	// takenCount how often it was taken.
	lastUsed, openedAt time.Time
	takenCount         int
	// running is true while a statement of the class runs on the connection or is
	// about to, since takenAt.
	running bool
	takenAt time.Time
	class   admission.Class
}

// Member returns the member to which the connection leads.
func (c *Conn) Member() *Member { return c.member }

// LastUsed returns when the connection was last taken or released.
func (c *Conn) LastUsed() time.Time { return c.lastUsed }

// Member is the state of a Pool's connections to one member.
type Member struct {
	id    string
	slots int
	// idle holds the connections that are not in use, the most recently used
	// last.
	idle []*Conn
	// connCount is the number of connections, idle and in use.
	connCount int
	// opening is the number of connections that are being opened, by account.
	opening map[string]int
	// openedFor is the waiting statement for which the last connection is being
	// opened, since openedForSince, or zero if none is.
	openedFor      ConnRequest
	openedForSince time.Time
	// inUse is the number of connections in use, and running how many of them
	// run a statement or are about to.
	inUse, running int
	// latency is the moving average of statement durations, or zero if there is
	// none yet.
	latency time.Duration
	// openBlockedUntil is when the next connection may be opened after the
	// member had none left or could not be reached.
	openBlockedUntil time.Time
	// servesOthers is true if the host serves the group for other hosts, as of the last Trim.
	servesOthers bool
	// hasAccounts is true once a connection of an account was opened.
	hasAccounts bool
	window      Window
	burst       burst
	// removed is true once the member was removed from the pool. Its
	// connections are closed when they are released.
	removed bool
}

// Load is the load of a host's connections to a member.
type Load struct {
	// ConnCount is the number of connections. InUse of them are in use, of
	// which Running run statements, and Idle are not in use.
	ConnCount, InUse, Running, Idle int
	// Window is how many statements of the host may run on the member at once.
	Window int
	// Latency is the moving average of statement durations, or zero if there is
	// none yet.
	Latency time.Duration
}

// Load returns the current load of the connections.
func (m *Member) Load() Load {
	return Load{ConnCount: m.connCount, InUse: m.inUse, Running: m.running, Idle: len(m.idle), Window: m.window.Limit(), Latency: m.latency}
}

// ID returns the member's identifier.
func (m *Member) ID() string { return m.id }

// SetSlots sets how many statements the member runs at once.
func (m *Member) SetSlots(n int) { m.slots = n }

// ObserveLatency records the duration of a statement.
func (m *Member) ObserveLatency(d time.Duration) { m.latency = placement.UpdateLatency(m.latency, d) }

// Latency returns the moving average of statement durations, or zero if there
// is none yet.
func (m *Member) Latency() time.Duration { return m.latency }

// RecordSuccess records that the member ran a statement, which grows the
// window.
func (m *Member) RecordSuccess() { m.window.Grow() }

// RecordOverload records that the member had no room for a statement, which
// shrinks the window. hosts is the number of hosts that share the member.
func (m *Member) RecordOverload(now time.Time, hosts int) { m.window.Shrink(now, hosts) }

// UnblockOpening lets connections to the member be opened at once, since it has
// just answered.
func (m *Member) UnblockOpening() { m.openBlockedUntil = time.Time{} }

// openingCount returns the number of connections that are being opened.
func (m *Member) openingCount() int {
	n := 0
	for _, each := range m.opening {
		n += each
	}
	return n
}

// idleIndex returns the index of the account's most recently used idle
// connection, or -1.
func (m *Member) idleIndex(account string) int {
	for i := len(m.idle) - 1; i >= 0; i-- {
		if m.idle[i].Account == account {
			return i
		}
	}
	return -1
}

// removeIdle removes the idle connection at index i and returns it.
func (m *Member) removeIdle(i int) *Conn {
	c := m.idle[i]
	c.takenCount++
	m.idle = slices.Delete(m.idle, i, i+1)
	return c
}

// useInterval estimates the time between two uses of an idle connection as of now:
// the longer one of the time since its last use and the average since it was
// opened. A new connection counts as one that is used every ten seconds, about as
// often as that of a small account among 80 that share 134 statements per second.
func (c *Conn) useInterval(now time.Time) time.Duration {
	const assumedUses, assumedAge = 0.5, 5 * time.Second
	reuses := float64(max(0, c.takenCount-1)) + assumedUses
	return max(now.Sub(c.lastUsed), time.Duration(float64(now.Sub(c.openedAt)+assumedAge)/reuses))
}
