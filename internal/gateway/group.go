package gateway

import (
	"context"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"pearlatch/core/freshness"
	"pearlatch/core/group"
	"pearlatch/core/kv"
	"pearlatch/core/leadership"
	"pearlatch/core/outage"
	"pearlatch/core/pool"
	"pearlatch/core/serving"
	"pearlatch/internal/fleet"
)

// Group is a database group as one host serves it. Use newGroup.
type Group struct {
	name   string
	zone   string
	dialer Dialer
	logger log.Logger
	now    func() time.Time
	meters hostMetrics
	// drainBound is how long a leaving primary may still get new work.
	drainBound time.Duration

	mu sync.Mutex
	// members holds every member of the list; order holds them by ID.
	members map[string]*member
	order   []*member
	// connections is the most that a member takes from all hosts; hosts is how
	// many hosts share them.
	connections, hosts int
	// plan says who serves the group. While others do, this host serves in their place until
	// deputyUntil.
	plan        serving.Plan
	deputyUntil time.Time
	// turns are the hosts to turn to while others serve.
	turns fleet.Versioned[servingHosts]
	// unreachedSince is since when none of the servers has answered, or zero.
	unreachedSince time.Time
	// triedAt is when a statement last tried the servers.
	triedAt time.Time
	// age is the shortest age that a route of the group accepts, or zero.
	age time.Duration
	// pool decides on connections; links holds them, and waiting whom the pool is to give one.
	pool    *pool.Pool
	links   map[*pool.Conn]*pooledConn
	waiting map[*pool.Waiter]chan *pooledConn
	// ticking is true while waiting statements are looked at again and again.
	ticking bool
	// leader is the ID of the primary as believed, or empty; leaderlessSince is since
	// when it has been empty.
	leader          string
	leaderlessSince time.Time
	// formerLeader is the one believed in before, while leader is empty.
	formerLeader string
	// leaderTerm is the highest term in which a member was seen to lead.
	leaderTerm group.Term
	// ages samples the primary's position.
	ages freshness.Ages
	// lease is this host's lease on the primary; leaseAlarm asks for one at once, and
	// primaryNeeded is when a statement last needed the primary.
	lease leadership.Lease
	// handed is the lease for writes on the primary before, if the change was planned.
	handed leadership.Lease
	// recalledAt is when the holder last took a lease back: one asked for until then is void.
	recalledAt    time.Time
	leaseAlarm    chan struct{}
	primaryNeeded time.Time
	// proof is the question to all other members whether the primary leads that is under
	// way, or nil. proven is the last one that was answered well.
	proof  *primaryCheck
	proven primaryCheck
	// disproof is the last one if it proved nothing, or nil. The next is put no sooner than at
	// proveAt, after proofPause.
	disproof   *primaryCheck
	proveAt    time.Time
	proofPause time.Duration
	// sampledFrom is the member that the newest of ages was taken from.
	sampledFrom string
	// unprovenSince is since when the primary could not be proven to lead, or zero, and
	// outages what was learned of its outages.
	unprovenSince time.Time
	outages       outage.Forecast
	// writing counts writes without an answer; writingSince is since when none of them has
	// been acknowledged, or zero. lackedAt is when a replica was last seen far behind, and queuedAt
	// when a statement last had to wait.
	writing      int
	writingSince time.Time
	lackedAt     time.Time
	queuedAt     time.Time
	// waited counts the statements that had to wait for a connection.
	waited int
	// reportedCalm is when another host that serves the group last said that it is well there, and
	// leaseAsked when one last asked for a lease or a position.
	reportedCalm, leaseAsked time.Time
	// searching is true while the members are asked who leads.
	searching bool
	controls  map[string]*controlConn
	// holding is true while this host holds the group's duty.
	holding bool
	// departed is when a member last left the list, or the list was first read. It
	// may have taken along the only other copy of what it acknowledged until then.
	departed time.Time
	// revision is the store's up to which this host knows its changes, and departedRevision the
	// one at which a member was last seen to leave, or zero.
	revision         *atomic.Int64
	departedRevision kv.Revision
	// floor is a position of the primary, seen at floorAt: what holds it holds all that members
	// had acknowledged which left before, see floorValid.
	floor   group.Position
	floorAt time.Time
	// inherited is what an earlier holder recorded, at inheritedRevision, until it is adopted.
	inherited         leadership.Record
	inheritedRevision kv.Revision
	// alarm wakes the holder of the group's duty when the primary is suspect.
	alarm chan struct{}

	// neededAt is when something last needed the Group, and end stops what looks after it. The host's lock guards them.
	neededAt time.Time
	end      context.CancelFunc
}

func newGroup(name string, h *Host) *Group {
	g := &Group{
		name: name, zone: h.settings.Zone, dialer: h.ports.Dialer, logger: log.With(h.logger, "group", name),
		now: h.now, meters: h.meters, revision: &h.seen, drainBound: h.settings.MemberDrain - drainMargin,
		members: map[string]*member{}, connections: 1, hosts: 1, controls: map[string]*controlConn{},
		alarm: make(chan struct{}, 1), leaseAlarm: make(chan struct{}, 1),
		links: map[*pool.Conn]*pooledConn{}, waiting: map[*pool.Waiter]chan *pooledConn{},
	}
	g.pool = pool.New(poolView{g})
	return g
}

// drainMargin is kept between the last new work for a leaving primary and the
// end of its grace, for statements that wait and for a list that lags.
const drainMargin = 2 * time.Second

// configure takes over the group's configuration, the shortest age that its routes
// accept, and which hosts serve it. hosts is how many there are in all.
func (g *Group) configure(c GroupConfig, age time.Duration, p serving.Plan, hosts int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.age = age
	if p.Servers > 0 {
		hosts = p.Servers
	}
	g.connections, g.hosts = max(1, c.Connections), max(1, hosts)
	if p.Elsewhere != g.plan.Elsewhere {
		g.log("serving", "here", !p.Elsewhere, "hosts", hosts)
	}
	g.plan = p
	g.dispatch()
}

// update takes over the list of members.
func (g *Group) update(list memberChange) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.departed.IsZero() {
		g.departed = g.now()
	}
	for _, id := range list.lapsed {
		if m := g.members[id]; m != nil {
			g.miss(m)
		}
	}
	listed := map[string]bool{}
	for _, each := range list.members {
		listed[each.ID] = true
		g.updateMember(each)
	}
	for id, m := range g.members {
		if !listed[id] {
			g.miss(m)
		}
	}
	g.order = g.order[:0]
	for _, m := range g.members {
		g.order = append(g.order, m)
	}
	slices.SortFunc(g.order, func(a, b *member) int { return strings.Compare(a.ID, b.ID) })
	g.tryAdopt()
	g.dispatch()
}

func (g *Group) updateMember(each Member) {
	m := g.members[each.ID]
	if m != nil && m.Born != each.Born {
		g.reborn(m)
		m = nil
	}
	if m == nil {
		m = &member{Member: each, conns: g.pool.Add(each.ID, each.Slots)}
		m.Leads, m.Leaving = false, false
		g.members[each.ID] = m
		g.log("member_listed", "member", each.ID, "addr", each.Addr, "leads", each.Leads)
	}
	before := m.Member
	// An instance keeps all else for life, so the rest is read without the lock.
	m.Leads, m.Leaving = each.Leads, each.Leaving
	if !m.missingSince.IsZero() {
		m.missingSince = time.Time{}
		g.log("member_back", "member", each.ID)
	}
	if each.Leaving && !before.Leaving {
		m.leavingAt = g.now()
		g.log("member_leaving", "member", each.ID, "leads", each.Leads)
		g.closeIdle(m)
	}
	if each.Leads && !before.Leads && g.leader != each.ID {
		g.setLeader(each.ID, "listed")
	}
	if !each.Leads && before.Leads && g.leader == each.ID {
		g.setLeader("", "listed")
	}
}

// miss records that the platform no longer lists the member.
func (g *Group) miss(m *member) {
	if !m.missingSince.IsZero() {
		return
	}
	g.log("member_missing", "member", m.ID, "leads", m.ID == g.leader)
	m.missingSince = g.now()
	// What a primary held without any replica was never acknowledged.
	m.missedLeading = m.ID == g.leader
	if m.Born == 0 && !m.missedLeading {
		m.doubtedSince, m.heldBefore = m.missingSince, m.received
	}
}

// reborn forgets a member that was started again under its identifier: it holds nothing
// of before, not even the fence that kept it from receiving, and its connections are gone.
func (g *Group) reborn(m *member) {
	g.log("member_reborn", "member", m.ID, "born", m.Born, "leads", m.ID == g.leader)
	g.drop(m)
	delete(g.members, m.ID)
	g.left(g.now())
	if g.leader == m.ID {
		g.setLeader("", "started again")
	}
}

// forget drops members that have been missing for long.
func (g *Group) forget(now time.Time) {
	for id, m := range g.members {
		if !m.forgotten(now) && !m.gone {
			continue
		}
		g.log("member_gone", "member", id, "leads", id == g.leader)
		if m.missingSince.IsZero() {
			m.missingSince = now
		}
		if !m.missedLeading {
			g.left(laterTime(m.missingSince, m.answered))
		}
		g.drop(m)
		delete(g.members, id)
		g.order = slices.DeleteFunc(g.order, func(o *member) bool { return o == m })
		if g.leader == id {
			g.setLeader("", "gone")
		}
	}
}

// closeIdle closes connections that nobody uses, but for those to the primary.
func (g *Group) closeIdle(m *member) {
	if m.ID == g.leader && !m.gone {
		return
	}
	g.pool.CloseIdle(m.conns)
	g.carryOut()
}

// setLeader changes the belief about who leads.
func (g *Group) setLeader(id, why string) {
	if g.leader == id {
		return
	}
	g.log("leader", "member", id, "before", g.leader, "why", why)
	if id != "" {
		g.missedPrimaries(id)
		if g.leader == "" {
			g.primaryBack()
		}
	}
	if g.leader != "" {
		g.formerLeader = g.leader
	}
	g.leader = id
	g.askAgain()
	g.dispatch()
	if id == "" {
		g.leaderlessSince = g.now()
		go g.wantLeader()
	}
}

// leaderMember returns the primary as believed, or the zero Member.
func (g *Group) leaderMember() Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	if m := g.members[g.leader]; m != nil {
		return m.Member
	}
	return Member{}
}

// primaryToWatch returns the primary that a new holder of the duty looks after: the one believed
// in, or the last one, if it was being replaced.
func (g *Group) primaryToWatch() Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, id := range []string{g.leader, g.formerLeader} {
		if m := g.members[id]; m != nil {
			return m.Member
		}
	}
	return Member{}
}

// primaryMissing returns for how long the platform has not listed the primary.
func (g *Group) primaryMissing() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.members[g.leader]
	if m == nil || m.missingSince.IsZero() {
		return 0
	}
	return g.now().Sub(m.missingSince)
}

// lostLeader records that the member answered that it does not lead.
func (g *Group) lostLeader(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if m := g.members[id]; m != nil {
		m.refusedTerm = max(m.term, g.leaderTerm)
	}
	if g.leader == id {
		g.setLeader("", "refused")
	}
}

// observe records the position that a member answered with to what was sent at the given
// time, if it was certainly the primary then. A replaced primary that does not know it
// answers with positions too, which say nothing of what was acknowledged elsewhere.
func (g *Group) observe(m *member, at time.Time, p group.Position) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case p == (group.Position{}):
	case g.lease.Covers(m.ID, at):
		g.sampled(m.ID, at, p)
	case g.proven.primary == m.ID && !at.Before(g.proven.started):
		g.sampled(m.ID, g.proven.started, p)
	}
}

// sampled records the primary's position at or after the given time.
func (g *Group) sampled(from string, at time.Time, p group.Position) {
	if at.After(g.ages.Latest()) {
		g.ages.Observe(at, p)
		g.sampledFrom = from
	}
	if !g.floorValid() && at.After(g.departed) {
		g.floor, g.floorAt = p, at
	}
}

// ledAt records where the log of the primary stood when the holder of the duty asked it.
func (g *Group) ledAt(s primaryStatus) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if s.position != (group.Position{}) {
		g.sampled(s.member, s.heard, s.position)
	}
}

// ledIn records a term in which a member has led, as an earlier holder knew.
func (g *Group) ledIn(t group.Term) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leaderTerm = max(g.leaderTerm, t)
}

// heardFrom returns when a member last answered a statement of this host.
func (g *Group) heardFrom(id string) (time.Time, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.members[id]
	if m == nil {
		return time.Time{}, false
	}
	return m.heard, !m.heard.IsZero()
}

// shortestAge returns the shortest age that a route of the group accepts, or zero.
func (g *Group) shortestAge() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.age
}

// covering returns what a member must hold to know everything acknowledged
// before the given time.
func (g *Group) covering(at time.Time) (group.Position, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	// A lease keeps samples coming, which keep reads at the replicas.
	now := g.now()
	if now.Sub(g.primaryNeeded) >= leaseIdleTimeout {
		g.askAgain()
	}
	g.primaryNeeded = now
	return g.ages.Covering(at)
}

// lagged records that the member's log ends at a position that was not enough.
func (g *Group) lagged(m *member, held group.Position) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	m.held = held
	pause := maxLagRetry
	since := g.ages.Since(held)
	if !since.IsZero() {
		pause = min(maxLagRetry, max(minLagRetry, now.Sub(since)/lagRetryDivisor))
	}
	if now.Sub(since) > g.age/2 {
		g.lackedAt = now // far enough behind for the primary to need relief soon
	}
	m.lacksUntil = now.Add(pause)
}

// applied records how far the member has applied the log.
func (g *Group) applied(m *member, p group.Position) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if p.Compare(m.held) > 0 {
		m.held = p
	}
}

// took records how long a statement that was sent at the given time took on the
// member.
func (g *Group) took(m *member, asked time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	m.heard, m.silentSince = g.now(), time.Time{}
	m.conns.Observe(m.heard.Sub(asked))
	g.meters.work(g.name, m.ID, m.ID == g.leader, m.heard.Sub(asked))
}

// heardSince reports whether the member has answered anything since.
func (g *Group) heardSince(id string, since time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.members[id]
	return m != nil && m.heard.After(since)
}

// departedFor reports whether a member that does not answer has certainly ended: it had said
// that it leaves, or its process refuses connections. One that only vanished may be parted
// from the store and from this host, and acknowledge for the primary all the same.
func (g *Group) departedFor(a controlResult) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.members[a.member.ID]
	return m == nil || m.Leaving || connRefused(a.err)
}

// lost returns the members that the platform has not listed for long.
func (g *Group) lost() map[string]bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := map[string]bool{}
	now := g.now()
	for id, m := range g.members {
		if m.lost(now) {
			out[id] = true
		}
	}
	return out
}

// seenTerm returns the highest term in which a member was seen to lead.
func (g *Group) seenTerm() group.Term {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.leaderTerm
}

func (g *Group) log(event string, fields ...any) {
	_ = g.logger.Log(append([]any{"event", event}, fields...)...)
}
