package standin

import (
	"net/netip"
	"sync"
	"time"

	"pearlatch/core/group"
	"pearlatch/io/postgres"
)

// GroupOptions describes a database group.
type GroupOptions struct {
	// Name names the group in messages.
	Name string
	// Members lists the members; the first starts as primary.
	Members []MemberOptions
	// Slots is how many statements a member runs at once.
	Slots int
	// Connections is how many client connections all members together should
	// see. The group counts what is above it but refuses nothing, so that a
	// breach shows.
	Connections int
	// OpenDelay is what a member takes to open a connection.
	OpenDelay time.Duration
	// Service is how long a statement occupies its slot.
	Service time.Duration
	// User and Password are what connections must present.
	User, Password string
	// Network carries replication and connections. It must not be nil.
	Network *Network
}

// MemberOptions describes a member.
type MemberOptions struct {
	Name string
	Addr netip.AddrPort
	Zone string
	// ReceiveLag is how long a record travels to the member, and ApplyLag how
	// long it then waits to be applied.
	ReceiveLag, ApplyLag time.Duration
}

// Group is a database group with asynchronous replication.
type Group struct {
	options  GroupOptions
	verifier *postgres.Verifier
	members  []*Member

	mu   sync.Mutex
	open int // client connections open now, over all members
	peak int // highest value of open

	promotions int // how often a member was promoted
}

// StartGroup starts all members. The first one is primary in term zero.
func StartGroup(o GroupOptions) (*Group, error) {
	verifier, err := postgres.NewVerifier(o.Password)
	if err != nil {
		return nil, err
	}
	g := &Group{options: o, verifier: verifier}
	for _, mo := range o.Members {
		g.members = append(g.members, newMember(g, mo))
	}
	g.members[0].inRecovery = false
	for _, m := range g.members[1:] {
		m.source = g.members[0]
	}
	for _, m := range g.members {
		if err := m.Start(); err != nil {
			g.Close()
			return nil, err
		}
	}
	return g, nil
}

// Member returns the i-th member.
func (g *Group) Member(i int) *Member { return g.members[i] }

// Primary returns the member that takes writes in the highest term, or nil. A
// member that accepted a term's fence without writing under it does not.
func (g *Group) Primary() *Member {
	var best *Member
	var term group.Term
	for _, m := range g.members {
		m.mu.Lock()
		if !m.inRecovery && m.wal.logTerm() == m.fence.Term && (best == nil || m.fence.Term > term) {
			best, term = m, m.fence.Term
		}
		m.mu.Unlock()
	}
	return best
}

// PeakConnections returns the highest number of client connections that were
// open at once over all members.
func (g *Group) PeakConnections() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.peak
}

// Promotions returns how often a member was promoted.
func (g *Group) Promotions() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.promotions
}

// Close stops all members.
func (g *Group) Close() {
	for _, m := range g.members {
		m.Crash()
	}
}

func (g *Group) count(delta int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open += delta
	g.peak = max(g.peak, g.open)
}

func (g *Group) byAddr(addr netip.AddrPort) *Member {
	for _, m := range g.members {
		if m.options.Addr == addr {
			return m
		}
	}
	return nil
}
