package pool

import (
	"slices"
	"time"

	"pearlatch/core/placement"
)

// Conn is a connection to a member.
type Conn struct {
	// Account is whose statements run on it.
	Account string
	member  *Member
	// lastUsed is when it was last taken or given back.
	lastUsed time.Time
	// running is true while a statement runs on it, or is about to.
	running bool
}

// Member returns the member that the connection leads to.
func (c *Conn) Member() *Member { return c.member }

// LastUsed returns when the connection was last taken or given back.
func (c *Conn) LastUsed() time.Time { return c.lastUsed }

// Member is what a Pool knows of its connections to one member.
type Member struct {
	id    string
	slots int
	// idle are the connections that nobody uses, the one used last at the end.
	idle []*Conn
	// open counts connections, idle ones and those in use.
	open int
	// dials counts connections that are being opened, by account.
	dials map[string]int
	// inUse counts connections in use, running those of them on which a statement runs or is about to.
	inUse, running int
	// latency is how long statements took lately.
	latency time.Duration
	// dialBlockedUntil is when the member may be asked again for a connection after it had none left, or could
	// not be reached.
	dialBlockedUntil time.Time
	window           Window
	burst            burst
	// removed is true once the member was dropped. Its connections are closed as they are given back.
	removed bool
}

// Load is how busy a host's connections to a member are.
type Load struct {
	// Open counts connections: InUse ones, of which statements run on Running, and Idle ones.
	Open, InUse, Running, Idle int
	// Window is how many statements of the host may run at once.
	Window int
	// Latency is how long statements took lately, or zero.
	Latency time.Duration
}

// Load returns how busy the connections are.
func (m *Member) Load() Load {
	return Load{Open: m.open, InUse: m.inUse, Running: m.running, Idle: len(m.idle), Window: m.window.Limit(), Latency: m.latency}
}

// ID returns the member's identifier.
func (m *Member) ID() string { return m.id }

// ObserveLatency records how long a statement took.
func (m *Member) ObserveLatency(d time.Duration) { m.latency = placement.UpdateLatency(m.latency, d) }

// Latency returns how long statements took lately, or zero.
func (m *Member) Latency() time.Duration { return m.latency }

// RecordSuccess records that the member ran a statement, and Shed that it had no room for one, while so many hosts
// shared it.
func (m *Member) RecordSuccess() { m.window.Grow() }

// RecordOverload is described with Ran.
func (m *Member) RecordOverload(now time.Time, hosts int) { m.window.Shrink(now, hosts) }

// UnblockDials lets the member be asked for connections at once: it has just answered.
func (m *Member) UnblockDials() { m.dialBlockedUntil = time.Time{} }

// dialCount counts the connections that are being opened.
func (m *Member) dialCount() int {
	n := 0
	for _, each := range m.dials {
		n += each
	}
	return n
}

// idleIndex returns the index of the account's idle connection that was used last, or -1.
func (m *Member) idleIndex(account string) int {
	for i := len(m.idle) - 1; i >= 0; i-- {
		if m.idle[i].Account == account {
			return i
		}
	}
	return -1
}

// removeIdle takes an idle connection out.
func (m *Member) removeIdle(i int) *Conn {
	c := m.idle[i]
	m.idle = slices.Delete(m.idle, i, i+1)
	return c
}

// clearRunning records that no statement runs on the connection.
func (c *Conn) clearRunning() {
	if c.running {
		c.running = false
		c.member.running--
	}
}
