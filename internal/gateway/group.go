package gateway

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"pearlatch/core/admission"
	"pearlatch/core/freshness"
	"pearlatch/core/group"
	"pearlatch/core/kv"
	"pearlatch/core/leadership"
	"pearlatch/core/outage"
	"pearlatch/core/pool"
	"pearlatch/core/serving"
	"pearlatch/internal/controlconn"
	"pearlatch/internal/hostmetrics"
	"pearlatch/internal/loads"
	"pearlatch/internal/usage"
)

// Group is a host's view of a database group: its members, the connections to them and what is known
// of its primary. Use newGroup.
type Group struct {
	name    string
	zone    string
	dialer  Dialer
	logger  log.Logger
	now     func() time.Time
	metrics hostmetrics.Recorder
	// usage counts what waits and what is refused on this host.
	usage *usage.Table
	// loads says to which hosts statements are forwarded if other hosts serve the group.
	loads *loads.Group
	// maxDrain is how long a primary that is leaving may still get new work.
	maxDrain time.Duration

	// mu guards the fields below, up to and including probeSignal.
	mu sync.Mutex
	// members holds the members by ID, and sortedMembers holds them in the order of their IDs.
	members       map[string]*member
	sortedMembers []*member
	// maxConnections is how many connections a member accepts from all hosts together, and hostCount
	// the number of hosts that share them.
	maxConnections, hostCount int
	// plan says which hosts serve the group. If this host is not one of them, it serves as a fallback
	// until fallbackUntil.
	plan          serving.Plan
	fallbackUntil time.Time
	// isolation says whether the serving hosts can be reached.
	isolation serving.Isolation
	// maxStaleness is the shortest maximum age among the group's routes, or zero.
	maxStaleness time.Duration
	// pool decides which connections to open, assign and close. conns holds the connections, and
	// waiting the channels on which waiting statements receive theirs.
	pool    *pool.Pool
	conns   map[*pool.Conn]*pooledConn
	waiting map[*pool.Waiter]chan assignment
	// recheckScheduled is true while the periodic check of waiting statements is scheduled.
	recheckScheduled bool
	// primaryID is the ID of the member believed to be the primary, or empty. noPrimarySince is since
	// when it has been empty.
	primaryID      string
	noPrimarySince time.Time
	// lastPrimaryID is the previous value of primaryID, for use while primaryID is empty.
	lastPrimaryID string
	// primaryTerm is the highest term in which a member was known to be the primary.
	primaryTerm group.Term
	// samples holds the position history of the primary.
	samples freshness.PositionHistory
	// lease is this host's lease on the primary. leaseSignal requests one at once, and primaryNeededAt
	// is when a statement last needed the primary.
	lease leadership.Lease
	// formerLease is the restricted lease on the primary before the last switchover.
	formerLease leadership.Lease
	// targetProbe is the probe of the switchover target in progress, or nil.
	targetProbe *targetProbe
	// lateTarget is the switchover target that lacks the write at lateWrite, which the primary has acknowledged, and
	// targetLateSince when that was first seen. It is empty if there is none.
	lateTarget      string
	lateWrite       group.Position
	targetLateSince time.Time
	// leaseRevokedAt is when the coordinator last revoked a lease. Leases requested before that are
	// void.
	leaseRevokedAt time.Time
	// switchoverAt is when the coordinator last revoked a lease for a switchover.
	switchoverAt    time.Time
	leaseSignal     chan struct{}
	primaryNeededAt time.Time
	// check is the primary check in progress, or nil. passedCheck is the last one that confirmed the
	// primary.
	check       *primaryCheck
	passedCheck primaryCheck
	// failedCheck is the last primary check if it was inconclusive, or nil. checks decides when the
	// next one may start.
	failedCheck *primaryCheck
	checks      leadership.CheckSchedule
	// sampleSource is the member that returned the newest sample.
	sampleSource string
	// unverifiedSince is since when the primary could not be confirmed, or zero. outageForecast
	// estimates the length of the primary's outages.
	unverifiedSince time.Time
	outageForecast  outage.Estimator
	// calendars assign retry times to refused callers.
	calendars admission.Calendars
	// refusalLoggedAt is when a statement that was refused early was last logged.
	refusalLoggedAt time.Time
	// acks shows whether writes hang. replicaLaggedAt is when a replica was last seen to lag far
	// behind, and lastQueuedAt when a statement last had to wait.
	acks            group.AckWatch
	replicaLaggedAt time.Time
	lastQueuedAt    time.Time
	// waitCount counts the statements that had to wait for a connection since the last call of primaryLoad.
	waitCount int
	// peerHealthyAt is when another serving host last reported the group healthy, and peerAskedAt when
	// one last requested a lease or a position.
	peerHealthyAt, peerAskedAt time.Time
	// searching is true while the host asks the members which of them is the primary. controlConns
	// holds the connections for control commands, by member.
	searching    bool
	controlConns map[string]*controlconn.Slot[Conn]
	// coordinated is true while this host is the group's coordinator.
	coordinated bool
	// departedAt is when a member was last dropped, restarted or found without its log. That member may
	// have held the only other copy of what it had acknowledged by then. It is at least the time when
	// the list was first read, since members may have left before.
	departedAt time.Time
	// knownRevision is the store revision up to which this host has seen changes. departedRevision is
	// its value at departedAt, or zero if no member has left.
	knownRevision    *atomic.Int64
	departedRevision kv.Revision
	// floor is a position of the primary as of floorAt, and the lower bound for the log of a successor:
	// a log that contains it contains everything acknowledged by members that left before floorAt; see
	// floorValid.
	floor   group.Position
	floorAt time.Time
	// inheritedRecord is the record of an earlier coordinator. inheritedRevision is the revision at
	// which it is stored, or zero if there is none or its floor was adopted.
	inheritedRecord   leadership.Record
	inheritedRevision kv.Revision
	// probeSignal makes the coordinator probe the members at once, as when the primary is suspect.
	probeSignal chan struct{}

	// lastNeededAt is when the Group was last needed, and cancel stops its goroutines. Host.mu guards
	// both.
	lastNeededAt time.Time
	cancel       context.CancelFunc
}

func newGroup(name string, h *Host) *Group {
	g := &Group{
		name: name, zone: h.settings.Zone, logger: log.With(h.logger, "group", name),
		now: h.now, metrics: h.metrics, usage: &h.usage, knownRevision: &h.knownRevision, maxDrain: h.settings.MemberDrain - drainMargin,
		members: map[string]*member{}, maxConnections: 1, hostCount: 1, controlConns: map[string]*controlconn.Slot[Conn]{},
		probeSignal: make(chan struct{}, 1), leaseSignal: make(chan struct{}, 1),
		conns: map[*pool.Conn]*pooledConn{}, waiting: map[*pool.Waiter]chan assignment{},
	}
	g.dialer = verifyingDialer{h.ports.Dialer, g.reportAnswer}
	g.pool = pool.New(poolView{g})
	g.loads = loads.New(name, h.fleet, h.now, g.logger, h.metrics.Registry)
	return g
}

// drainMargin is the time between the last new work for a leaving primary and the end of its drain
// period. It covers waiting statements and a member list that is out of date.
const drainMargin = 2 * time.Second

// configure applies the group's configuration, the shortest maximum age among its routes, and the plan
// of which hosts serve it. hosts is the number of all hosts.
func (g *Group) configure(c GroupConfig, maxStaleness time.Duration, p serving.Plan, hosts int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.maxStaleness = maxStaleness
	if p.DedicatedServers > 0 {
		hosts = p.DedicatedServers
	}
	g.maxConnections, g.hostCount = max(1, c.Connections), max(1, hosts)
	if p.ServedByOthers != g.plan.ServedByOthers {
		g.log("serving", "here", !p.ServedByOthers, "hosts", hosts)
	}
	g.plan = p
	g.loads.SetPlan(p)
	g.dispatch()
}

// dropRestarted drops a member that was restarted under the same ID or is to be reached at another address, so that it
// can be added as a new one. The restart has lost its state, including a fence that kept it from receiving the log, and its
// connections are closed. g.mu must be held.
func (g *Group) dropRestarted(m *member) {
	g.log("member_reborn", "member", m.ID, "born", m.Incarnation, "addr", m.Addr, "leads", m.ID == g.primaryID)
	g.dropMember(m)
	delete(g.members, m.ID)
	g.noteDeparture(g.now())
	if g.primaryID == m.ID {
		g.setPrimary("", "started again")
	}
}

// dropExpiredMembers drops members that were marked dropped or have been missing for longer than
// missingMemberRetention. g.mu must be held.
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
			g.noteDeparture(laterTime(m.missingSince, m.controlAnsweredAt))
		}
		g.dropMember(m)
		delete(g.members, id)
		g.sortedMembers = slices.DeleteFunc(g.sortedMembers, func(o *member) bool { return o == m })
		if g.primaryID == id {
			g.setPrimary("", "gone")
		}
	}
}

// closeIdleConns closes unused connections to the member unless it is the primary. g.mu must be held.
func (g *Group) closeIdleConns(m *member) {
	if m.ID == g.primaryID && !m.dropped {
		return
	}
	g.pool.CloseIdle(m.poolMember)
	g.applyPoolActions()
}

// setPrimary sets the member believed to be the primary, or none if id is empty. g.mu must be held.
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

// primaryMember returns the member believed to be the primary, or the zero Member.
func (g *Group) primaryMember() Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	if m := g.members[g.primaryID]; m != nil {
		return m.Member
	}
	return Member{}
}

// primaryToWatch returns the primary that a new coordinator monitors: the current one, or the previous
// one while it is being replaced.
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

// primaryMissingFor returns for how long the platform has not listed the primary, or zero.
func (g *Group) primaryMissingFor() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.members[g.primaryID]
	if m == nil || m.missingSince.IsZero() {
		return 0
	}
	return g.now().Sub(m.missingSince)
}

// notePrimaryRefusal records that the member answered that it is not the primary.
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

// observePosition records the position in a member's answer to a request sent at the given time, if
// the member was certainly the primary then. A replaced primary that is unaware of its replacement
// also answers with positions, but they do not cover what was acknowledged elsewhere.
func (g *Group) observePosition(m *member, sentAt time.Time, p group.Position) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case p == (group.Position{}):
	case g.lease.CoversReads(m.ID, sentAt):
		g.addSample(m.ID, sentAt, p)
	case g.passedCheck.primary == m.ID && !sentAt.Before(g.passedCheck.started):
		g.addSample(m.ID, g.passedCheck.started, p)
	}
}

// addSample records a position that the primary had at or after the given time. g.mu must be held.
func (g *Group) addSample(from string, at time.Time, p group.Position) {
	if at.After(g.samples.LatestTime()) {
		g.samples.Observe(at, p)
		g.sampleSource = from
	}
	if !g.floorValid() && at.After(g.departedAt) {
		g.floor, g.floorAt = p, at
	}
}

// samplePrimary records the position of the primary's log that the coordinator's probe returned.
func (g *Group) samplePrimary(s primaryStatus) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if s.position != (group.Position{}) {
		g.addSample(s.member, s.heardAt, s.position)
	}
}

// noteTerm records a term in which a member was the primary, as known to an earlier coordinator.
func (g *Group) noteTerm(t group.Term) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.primaryTerm = max(g.primaryTerm, t)
}

// lastAnsweredRequest returns when the latest statement of this host was sent that the member has answered, or false if there is
// none.
func (g *Group) lastAnsweredRequest(id string) (sentAt time.Time, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.members[id]
	if m == nil {
		return time.Time{}, false
	}
	return m.answeredStatementSentAt, !m.answeredStatementSentAt.IsZero()
}

// positionCovering returns the position that a member must hold to have everything acknowledged before
// the given time, or false if no sample covers it. It also notes that the primary is needed, and
// requests a lease if it was not needed recently.
func (g *Group) positionCovering(at time.Time) (group.Position, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	// While the host has a lease, it gets new samples, with which replicas can serve reads.
	now := g.now()
	if now.Sub(g.primaryNeededAt) >= leaseIdleTimeout {
		g.signalLease()
	}
	g.primaryNeededAt = now
	return g.samples.Covering(at)
}

// noteAnswer records that the member has just answered a statement that was sent at the given time, and
// its latency.
func (g *Group) noteAnswer(m *member, sentAt time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	m.statementAnsweredAt, m.silentSince = g.now(), time.Time{}
	if sentAt.After(m.answeredStatementSentAt) {
		m.answeredStatementSentAt = sentAt
	}
	m.poolMember.ObserveLatency(m.statementAnsweredAt.Sub(sentAt))
	g.metrics.MemberCall(g.name, m.ID, m.ID == g.primaryID, m.statementAnsweredAt.Sub(sentAt))
}

// heardSince reports whether the member has answered a statement after the given time, and the last known position that it
// has applied.
func (g *Group) heardSince(id string, since time.Time) (applied group.Position, heard bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if m := g.members[id]; m != nil && m.statementAnsweredAt.After(since) {
		return m.applied, true
	}
	return group.Position{}, false
}

// hasEnded reports whether the process of a member that does not answer has certainly ended: the
// member had announced that it leaves, it refuses connections, or it was dropped. A member that only
// became unreachable may be partitioned from the store and from this host and still acknowledge writes
// for the primary.
func (g *Group) hasEnded(r controlResult) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.members[r.member.ID]
	return m == nil || m.Leaving || connRefused(r.err)
}

// longMissingMembers returns the IDs of the members that the platform has not listed for longer than
// missingMemberGrace.
func (g *Group) longMissingMembers() map[string]bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := map[string]bool{}
	now := g.now()
	for id, m := range g.members {
		if m.missingBeyondGrace(now) {
			out[id] = true
		}
	}
	return out
}

// highestSeenTerm returns the highest term in which a member was known to be the primary.
func (g *Group) highestSeenTerm() group.Term {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.primaryTerm
}

func (g *Group) log(event string, fields ...any) {
	_ = g.logger.Log(append([]any{"event", event}, fields...)...)
}
