package gateway

import (
	"cmp"
	"math"
	"slices"
	"time"

	"pearlatch/core/group"
	"pearlatch/core/kv"
	"pearlatch/core/load"
	"pearlatch/internal/usage"
)

// HostState is a snapshot of what a host knows, with the age of that knowledge.
type HostState struct {
	Host, Zone string
	// Ready is true while the host accepts callers, Stopping once it has been told to stop.
	Ready, Stopping bool
	Sessions        int64
	// ConfigVersion is the version of the configuration, or zero before the first one.
	ConfigVersion int64
	// StoreRevision is the store's revision of the newest change seen.
	StoreRevision kv.Revision
	Groups        []GroupState
	// Accounts are the largest accounts, and OtherAccounts is the sum of all others.
	Accounts      []usage.AccountUsage
	OtherAccounts usage.AccountUsage
}

// GroupState is what a host knows of a group.
type GroupState struct {
	Name string
	// Primary is the ID of the primary, or empty while none is known, and Term the highest known term of a primary.
	Primary string
	Term    group.Term
	// Waiting is how many statements wait for a connection.
	Waiting int
	// DrainRate is how many waiting statements are served per second, and ExpectedWait how long a statement that arrives
	// now waits. Both are zero if they are not known.
	DrainRate    float64
	ExpectedWait time.Duration
	// Refused counts the operations that this host has refused.
	Refused usage.Refusals
	// SampleAge is the age of the newest known position of the primary's log, or negative if none is known.
	SampleAge time.Duration
	// Share is the host's share of each member's connections.
	Share   int
	Members []MemberState
}

// MemberState is what a host knows of a member.
type MemberState struct {
	ID, Zone                  string
	Leaving, Missing, Suspect bool
	// Applied is the last position that the member is known to have applied.
	Applied group.Position
	// LastReplyAge is how long ago the member last answered a statement, or negative if it never did.
	LastReplyAge                      time.Duration
	Connections, InUse, Running, Idle int
	// Window is how many statements of this host may run on the member concurrently.
	Window  int
	Latency time.Duration
}

// Snapshot returns the current state of the host and its groups, sorted by name. It may be called from several
// goroutines.
func (h *Host) Snapshot() HostState {
	h.mu.Lock()
	out := HostState{
		Host: h.settings.Host, Zone: h.settings.Zone, Ready: h.Ready(), Stopping: h.Stopping(),
		Sessions: h.Sessions(), StoreRevision: h.storeView.Revision(),
	}
	if h.config != nil {
		out.ConfigVersion = h.config.Version
	}
	h.mu.Unlock()
	out.Accounts, out.OtherAccounts = h.usage.Accounts(h.now())
	for _, g := range h.allGroups() {
		out.Groups = append(out.Groups, g.snapshot())
	}
	slices.SortFunc(out.Groups, func(a, b GroupState) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

func (g *Group) snapshot() GroupState {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	report, _ := g.loads.Report(load.Kind{Rank: math.MaxInt}, g.pool.Waiting()) // of the least important statements
	out := GroupState{
		Name: g.name, Primary: g.primaryID, Term: g.primaryTerm, Waiting: g.pool.Waiting(),
		DrainRate: report.Rate, ExpectedWait: report.Delay, Refused: g.usage.GroupRefusals(g.name),
		SampleAge: elapsedSince(now, g.samples.LatestTime()), Share: g.share(),
	}
	for _, m := range g.sortedMembers {
		load := m.poolMember.Load()
		out.Members = append(out.Members, MemberState{
			ID: m.ID, Zone: m.Zone, Leaving: m.Leaving, Missing: !m.missingSince.IsZero(),
			Suspect: now.Before(m.suspectUntil), Applied: m.applied, LastReplyAge: elapsedSince(now, m.statementAnsweredAt),
			Connections: load.ConnCount, InUse: load.InUse, Running: load.Running, Idle: load.Idle,
			Window: load.Window, Latency: load.Latency,
		})
	}
	return out
}

// logFields returns the fields that describe the group in log lines about the handling of a statement.
func (g *Group) logFields() []any {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	usable := 0
	for _, m := range g.sortedMembers {
		if m.usable(now) && now.After(m.suspectUntil) {
			usable++
		}
	}
	return []any{
		"primary", g.primaryID, "proof_age_ms", elapsedSince(now, g.samples.LatestTime()).Milliseconds(),
		"waiting", g.pool.Waiting(), "usable_members", usable,
	}
}

// elapsedSince returns the time from at to now, or a negative duration if at is zero.
func elapsedSince(now, at time.Time) time.Duration {
	if at.IsZero() {
		return -1
	}
	return now.Sub(at)
}
