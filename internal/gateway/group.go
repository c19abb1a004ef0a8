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
	name    string
	zone    string
	dialer  Dialer
	logger  log.Logger
	now     func() time.Time
	metrics hostMetrics
	// maxDrain is how long a leaving primary may still get new work.
	maxDrain time.Duration

	mu sync.Mutex
	// members holds every member of the list; sortedMembers holds them by ID.
	members       map[string]*member
	sortedMembers []*member
	// maxConnections is the most that a member takes from all hosts; hostCount is how
	// many hosts share them.
	maxConnections, hostCount int
	// plan says who serves the group. While others do, this host serves in their place until
	// fallbackUntil.
	plan          serving.Plan
	fallbackUntil time.Time
	// servingHosts are the hosts to turn to while others serve.
	servingHosts fleet.Versioned[servingHosts]
	// serversLostSince is since when none of the servers has answered, or zero.
	serversLostSince time.Time
	// serversTriedAt is when a statement last tried the servers.
	serversTriedAt time.Time
	// maxStaleness is the shortest age that a route of the group accepts, or zero.
	maxStaleness time.Duration
	// pool decides on connections; conns holds them, and waiting whom the pool is to give one.
	pool    *pool.Pool
	conns   map[*pool.Conn]*pooledConn
	waiting map[*pool.Waiter]chan *pooledConn
	// recheckScheduled is true while waiting statements are looked at again and again.
	recheckScheduled bool
	// primaryID is the ID of the primary as believed, or empty; noPrimarySince is since
	// when it has been empty.
	primaryID      string
	noPrimarySince time.Time
	// lastPrimaryID is the one believed in before, while primaryID is empty.
	lastPrimaryID string
	// primaryTerm is the highest term in which a member was seen to lead.
	primaryTerm group.Term
	// samples holds samples of the primary's position.
	samples freshness.PositionHistory
	// lease is this host's lease on the primary; leaseSignal asks for one at once, and
	// primaryNeededAt is when a statement last needed the primary.
	lease leadership.Lease
	// writeLease is the lease for writes on the primary before, if the change was planned.
	writeLease leadership.Lease
	// leaseRevokedAt is when the holder last took a lease back: one asked for until then is void.
	leaseRevokedAt  time.Time
	leaseSignal     chan struct{}
	primaryNeededAt time.Time
	// check is the question to all other members whether the primary leads that is under
	// way, or nil. passedCheck is the last one that was answered well.
	check       *primaryCheck
	passedCheck primaryCheck
	// failedCheck is the last one if it proved nothing, or nil. The next is put no sooner than at
	// nextCheckAt, after checkBackoff.
	failedCheck  *primaryCheck
	nextCheckAt  time.Time
	checkBackoff time.Duration
	// sampleSource is the member that the newest of samples was taken from.
	sampleSource string
	// unverifiedSince is since when the primary could not be proven to lead, or zero, and
	// outageForecast what was learned of its outages.
	unverifiedSince time.Time
	outageForecast  outage.Estimator
	// pendingWrites counts writes without an answer; noAckSince is since when none of them has
	// been acknowledged, or zero. replicaLaggedAt is when a replica was last seen far behind, and lastQueuedAt
	// when a statement last had to wait.
	pendingWrites   int
	noAckSince      time.Time
	replicaLaggedAt time.Time
	lastQueuedAt    time.Time
	// waitCount counts the statements that had to wait for a connection.
	waitCount int
	// peerHealthyAt is when another host that serves the group last said that it is well there, and
	// peerAskedAt when one last asked for a lease or a position.
	peerHealthyAt, peerAskedAt time.Time
	// searching is true while the members are asked who leads.
	searching    bool
	controlConns map[string]*controlConn
	// coordinated is true while this host holds the group's duty.
	coordinated bool
	// departedAt is when a member last left the list, or the list was first read. It
	// may have taken along the only other copy of what it acknowledged until then.
	departedAt time.Time
	// storeRevision is the store's up to which this host knows its changes, and departedRevision the
	// one at which a member was last seen to leave, or zero.
	storeRevision    *atomic.Int64
	departedRevision kv.Revision
	// floor is a position of the primary, seen at floorAt: what holds it holds all that members
	// had acknowledged which left before, see floorValid.
	floor   group.Position
	floorAt time.Time
	// inheritedRecord is what an earlier holder recorded, at inheritedRevision, until it is adopted.
	inheritedRecord   leadership.Record
	inheritedRevision kv.Revision
	// probeSignal wakes the holder of the group's duty when the primary is suspect.
	probeSignal chan struct{}

	// lastNeededAt is when something last needed the Group, and cancel stops what looks after it. The host's lock guards them.
	lastNeededAt time.Time
	cancel       context.CancelFunc
}

func newGroup(name string, h *Host) *Group {
	g := &Group{
		name: name, zone: h.settings.Zone, dialer: h.ports.Dialer, logger: log.With(h.logger, "group", name),
		now: h.now, metrics: h.metrics, storeRevision: &h.knownRevision, maxDrain: h.settings.MemberDrain - drainMargin,
		members: map[string]*member{}, maxConnections: 1, hostCount: 1, controlConns: map[string]*controlConn{},
		probeSignal: make(chan struct{}, 1), leaseSignal: make(chan struct{}, 1),
		conns: map[*pool.Conn]*pooledConn{}, waiting: map[*pool.Waiter]chan *pooledConn{},
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
	g.maxStaleness = age
	if p.ServerCount > 0 {
		hosts = p.ServerCount
	}
	g.maxConnections, g.hostCount = max(1, c.Connections), max(1, hosts)
	if p.ServedByOthers != g.plan.ServedByOthers {
		g.log("serving", "here", !p.ServedByOthers, "hosts", hosts)
	}
	g.plan = p
	g.dispatch()
}

// updateMembers takes over the list of members.
func (g *Group) updateMembers(list memberChange) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.departedAt.IsZero() {
		g.departedAt = g.now()
	}
	for _, id := range list.lapsed {
		if m := g.members[id]; m != nil {
			g.markMissing(m)
		}
	}
	listed := map[string]bool{}
	for _, each := range list.members {
		listed[each.ID] = true
		g.updateMember(each)
	}
	for id, m := range g.members {
		if !listed[id] {
			g.markMissing(m)
		}
	}
	g.sortedMembers = g.sortedMembers[:0]
	for _, m := range g.members {
		g.sortedMembers = append(g.sortedMembers, m)
	}
	slices.SortFunc(g.sortedMembers, func(a, b *member) int { return strings.Compare(a.ID, b.ID) })
	g.tryAdoptFloor()
	g.dispatch()
}

func (g *Group) updateMember(each Member) {
	m := g.members[each.ID]
	if m != nil && m.Incarnation != each.Incarnation {
		g.replaceRestarted(m)
		m = nil
	}
	if m == nil {
		m = &member{Member: each, poolMember: g.pool.Add(each.ID, each.Slots)}
		m.IsPrimary, m.Leaving = false, false
		g.members[each.ID] = m
		g.log("member_listed", "member", each.ID, "addr", each.Addr, "leads", each.IsPrimary)
	}
	before := m.Member
	// An instance keeps all else for life, so the rest is read without the lock.
	m.IsPrimary, m.Leaving = each.IsPrimary, each.Leaving
	if !m.missingSince.IsZero() {
		m.missingSince = time.Time{}
		g.log("member_back", "member", each.ID)
	}
	if each.Leaving && !before.Leaving {
		m.leavingSince = g.now()
		g.log("member_leaving", "member", each.ID, "leads", each.IsPrimary)
		g.closeIdleConns(m)
	}
	if each.IsPrimary && !before.IsPrimary && g.primaryID != each.ID {
		g.setPrimary(each.ID, "listed")
	}
	if !each.IsPrimary && before.IsPrimary && g.primaryID == each.ID {
		g.setPrimary("", "listed")
	}
}

// markMissing records that the platform no longer lists the member.
func (g *Group) markMissing(m *member) {
	if !m.missingSince.IsZero() {
		return
	}
	g.log("member_missing", "member", m.ID, "leads", m.ID == g.primaryID)
	m.missingSince = g.now()
	// What a primary held without any replica was never acknowledged.
	m.missingAsPrimary = m.ID == g.primaryID
	if m.Incarnation == 0 && !m.missingAsPrimary {
		m.restartSuspectedSince, m.receivedBeforeMissing = m.missingSince, m.received
	}
}

// replaceRestarted forgets a member that was started again under its identifier: it holds nothing
// of before, not even the fence that kept it from receiving, and its connections are gone.
func (g *Group) replaceRestarted(m *member) {
	g.log("member_reborn", "member", m.ID, "born", m.Incarnation, "leads", m.ID == g.primaryID)
	g.dropMember(m)
	delete(g.members, m.ID)
	g.noteDeparture(g.now())
	if g.primaryID == m.ID {
		g.setPrimary("", "started again")
	}
}

// dropExpiredMembers drops members that have been missing for long.
func (g *Group) dropExpiredMembers(now time.Time) {
	for id, m := range g.members {
		if !m.retentionExpired(now) && !m.dropped {
			continue
		}
		g.log("member_gone", "member", id, "leads", id == g.primaryID)
		if m.missingSince.IsZero() {
			m.missingSince = now
		}
		if !m.missingAsPrimary {
			g.noteDeparture(laterTime(m.missingSince, m.statusAt))
		}
		g.dropMember(m)
		delete(g.members, id)
		g.sortedMembers = slices.DeleteFunc(g.sortedMembers, func(o *member) bool { return o == m })
		if g.primaryID == id {
			g.setPrimary("", "gone")
		}
	}
}

// closeIdleConns closes connections that nobody uses, but for those to the primary.
func (g *Group) closeIdleConns(m *member) {
	if m.ID == g.primaryID && !m.dropped {
		return
	}
	g.pool.CloseIdle(m.poolMember)
	g.applyPoolActions()
}

// setPrimary changes the belief about who leads.
func (g *Group) setPrimary(id, why string) {
	if g.primaryID == id {
		return
	}
	g.log("leader", "member", id, "before", g.primaryID, "why", why)
	if id != "" {
		g.treatMissingPrimariesAsReplicas(id)
		if g.primaryID == "" {
			g.noteOutageEnd()
		}
	}
	if g.primaryID != "" {
		g.lastPrimaryID = g.primaryID
	}
	g.primaryID = id
	g.signalLease()
	g.dispatch()
	if id == "" {
		g.noPrimarySince = g.now()
		go g.ensurePrimary()
	}
}

// primaryMember returns the primary as believed, or the zero Member.
func (g *Group) primaryMember() Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	if m := g.members[g.primaryID]; m != nil {
		return m.Member
	}
	return Member{}
}

// primaryToWatch returns the primary that a new holder of the duty looks after: the one believed
// in, or the last one, if it was being replaced.
func (g *Group) primaryToWatch() Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, id := range []string{g.primaryID, g.lastPrimaryID} {
		if m := g.members[id]; m != nil {
			return m.Member
		}
	}
	return Member{}
}

// primaryMissingFor returns for how long the platform has not listed the primary.
func (g *Group) primaryMissingFor() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.members[g.primaryID]
	if m == nil || m.missingSince.IsZero() {
		return 0
	}
	return g.now().Sub(m.missingSince)
}

// notePrimaryRefusal records that the member answered that it does not lead.
func (g *Group) notePrimaryRefusal(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if m := g.members[id]; m != nil {
		m.refusedTerm = max(m.term, g.primaryTerm)
	}
	if g.primaryID == id {
		g.setPrimary("", "refused")
	}
}

// observePosition records the position that a member answered with to what was sent at the given
// time, if it was certainly the primary then. A replaced primary that does not know it
// answers with positions too, which say nothing of what was acknowledged elsewhere.
func (g *Group) observePosition(m *member, at time.Time, p group.Position) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case p == (group.Position{}):
	case g.lease.CoversReads(m.ID, at):
		g.addSample(m.ID, at, p)
	case g.passedCheck.primary == m.ID && !at.Before(g.passedCheck.started):
		g.addSample(m.ID, g.passedCheck.started, p)
	}
}

// addSample records the primary's position at or after the given time.
func (g *Group) addSample(from string, at time.Time, p group.Position) {
	if at.After(g.samples.LatestTime()) {
		g.samples.Observe(at, p)
		g.sampleSource = from
	}
	if !g.floorValid() && at.After(g.departedAt) {
		g.floor, g.floorAt = p, at
	}
}

// samplePrimary records where the log of the primary stood when the holder of the duty asked it.
func (g *Group) samplePrimary(s primaryStatus) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if s.position != (group.Position{}) {
		g.addSample(s.member, s.heardAt, s.position)
	}
}

// noteTerm records a term in which a member has led, as an earlier holder knew.
func (g *Group) noteTerm(t group.Term) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.primaryTerm = max(g.primaryTerm, t)
}

// lastHeard returns when a member last answered a statement of this host.
func (g *Group) lastHeard(id string) (time.Time, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.members[id]
	if m == nil {
		return time.Time{}, false
	}
	return m.heardAt, !m.heardAt.IsZero()
}

// maxReadStaleness returns the shortest age that a route of the group accepts, or zero.
func (g *Group) maxReadStaleness() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.maxStaleness
}

// positionCovering returns what a member must hold to know everything acknowledged
// before the given time.
func (g *Group) positionCovering(at time.Time) (group.Position, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	// A lease keeps samples coming, which keep reads at the replicas.
	now := g.now()
	if now.Sub(g.primaryNeededAt) >= leaseIdleTimeout {
		g.signalLease()
	}
	g.primaryNeededAt = now
	return g.samples.Covering(at)
}

// noteLag records that the member's log ends at a position that was not enough.
func (g *Group) noteLag(m *member, held group.Position) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	m.applied = held
	pause := maxLagRetry
	since := g.samples.AsOf(held)
	if !since.IsZero() {
		pause = min(maxLagRetry, max(minLagRetry, now.Sub(since)/lagRetryDivisor))
	}
	if now.Sub(since) > g.maxStaleness/2 {
		g.replicaLaggedAt = now // far enough behind for the primary to need relief soon
	}
	m.lagUntil = now.Add(pause)
}

// noteApplied records how far the member has applied the log.
func (g *Group) noteApplied(m *member, p group.Position) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if p.Compare(m.applied) > 0 {
		m.applied = p
	}
}

// noteLatency records how long a statement that was sent at the given time took on the
// member.
func (g *Group) noteLatency(m *member, asked time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	m.heardAt, m.silentSince = g.now(), time.Time{}
	m.poolMember.ObserveLatency(m.heardAt.Sub(asked))
	g.metrics.memberCall(g.name, m.ID, m.ID == g.primaryID, m.heardAt.Sub(asked))
}

// heardSince reports whether the member has answered anything since.
func (g *Group) heardSince(id string, since time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.members[id]
	return m != nil && m.heardAt.After(since)
}

// hasEnded reports whether a member that does not answer has certainly ended: it had said
// that it leaves, or its process refuses connections. One that only vanished may be parted
// from the store and from this host, and acknowledge for the primary all the same.
func (g *Group) hasEnded(a controlResult) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.members[a.member.ID]
	return m == nil || m.Leaving || connRefused(a.err)
}

// lostMembers returns the members that the platform has not listed for long.
func (g *Group) lostMembers() map[string]bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := map[string]bool{}
	now := g.now()
	for id, m := range g.members {
		if m.isLost(now) {
			out[id] = true
		}
	}
	return out
}

// highestSeenTerm returns the highest term in which a member was seen to lead.
func (g *Group) highestSeenTerm() group.Term {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.primaryTerm
}

func (g *Group) log(event string, fields ...any) {
	_ = g.logger.Log(append([]any{"event", event}, fields...)...)
}
