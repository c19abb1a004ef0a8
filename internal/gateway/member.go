package gateway

import (
	"slices"
	"strings"
	"time"

	"pearlatch/core/group"
	"pearlatch/core/pool"
)

// member is a member of a group as seen by this host. Group.mu guards it.
type member struct {
	Member
	// poolMember holds this host's connections to the member.
	poolMember *pool.Member
	// reached is true once a connection was opened to the member's address, where the member confirmed its ID.
	reached bool
	// Until suspectUntil the member is used only if no other member can serve.
	suspectUntil time.Time
	// silentSince is when the member first failed to answer since its last answer, or zero.
	silentSince time.Time
	// applied is the last known position up to which the member has applied the log. Until lagUntil
	// the member is not used for statements that need a later one.
	applied  group.Position
	lagUntil time.Time
	// appliedAsOf is when the latest request was sent whose answer is included in applied.
	appliedAsOf time.Time
	// behindAt is when it last refused a statement because it lagged by more than the routes accept.
	behindAt time.Time
	// dropped is true once the member was dropped, because its address belongs to another member, it
	// was restarted, or it has been missing for longer than missingMemberRetention.
	dropped bool
	// missingSince is when the platform stopped listing the member, or zero. The member may still run,
	// and acknowledge writes as a replica or be the primary.
	missingSince time.Time
	// restartSuspectedSince is when a member without a known incarnation went missing, or zero. It is
	// cleared once the member is known to hold what it held before; until then the member may have
	// been restarted without its data. receivedBeforeMissing is the last known end of its log before
	// it went missing.
	restartSuspectedSince time.Time
	receivedBeforeMissing group.Position
	// missingAsPrimary is true for a member that was the primary when it went missing, until another
	// member is the primary. What no replica had received from it was never acknowledged, so nothing
	// acknowledged is lost with it.
	missingAsPrimary bool
	// controlAnsweredAt is when the member last answered a control command.
	controlAnsweredAt time.Time
	// term is the newest term in which the member reported to be the primary or a replica, and
	// refusedTerm the last one in which it refused a write.
	term, refusedTerm group.Term
	// beingReplaced is true from the moment at which the coordinator starts to replace the member as
	// primary until the member is known to remain primary.
	beingReplaced bool
	// received is the last known end of the member's log, in the term receivedTerm.
	received     group.Position
	receivedTerm group.Term
	// statementAnsweredAt is when the member last answered a statement.
	statementAnsweredAt time.Time
	// answeredStatementSentAt is when the latest statement was sent that the member has answered.
	answeredStatementSentAt time.Time
	// reportedAnswer is the same for the statements of other hosts, as far as they report it.
	reportedAnswer time.Time
	// leavingSince is when the member was first listed as leaving.
	leavingSince time.Time
}

// usable reports whether the member may get new work. A missing member remains usable for
// missingMemberGrace, since the entries of all members may have lapsed while the store was
// unavailable. They return within about two seconds of its recovery.
func (m *member) usable(now time.Time) bool {
	return !m.dropped && !m.Leaving && !m.missingBeyondGrace(now)
}

// possiblyLeftAt returns the time at which the member may have left the group, so that its log is
// lost. It returns the zero time if the member is not thought to have left.
func (m *member) possiblyLeftAt() time.Time {
	switch {
	case !m.missingSince.IsZero() && !m.missingAsPrimary:
		return laterTime(m.missingSince, m.controlAnsweredAt)
	case m.missingSince.IsZero():
		return m.restartSuspectedSince
	}
	return time.Time{}
}

// missingBeyondGrace reports whether the member has been missing for longer than missingMemberGrace.
// Entries that lapsed by mistake return within that time.
func (m *member) missingBeyondGrace(now time.Time) bool {
	return !m.missingSince.IsZero() && now.Sub(m.missingSince) > missingMemberGrace
}

// mayServeAsPrimary reports whether the member may get new work as the primary. A primary that is
// leaving or missing may for the given time, until another member is the primary.
func (m *member) mayServeAsPrimary(now time.Time, limit time.Duration) bool {
	leaving := m.Leaving && now.Sub(m.leavingSince) >= limit
	missing := !m.missingSince.IsZero() && now.Sub(m.missingSince) >= limit
	return !m.dropped && !leaving && !missing
}

const (
	// minLagRetry is the shortest time for which a replica that lacked a position is not used for
	// statements that need a later one. It is a fraction of the usual lag of 60 ms.
	minLagRetry = 25 * time.Millisecond
	// lagRetryDivisor divides a replica's lag to give the time for which it is not used. Without that
	// time, a replica that lags by ten seconds would first refuse most statements, which costs each of
	// them a round trip.
	lagRetryDivisor = 8
	// maxLagRetry is the longest such time, since lag may end suddenly.
	maxLagRetry = 400 * time.Millisecond
)

// missingMemberGrace is how long a member that the platform does not list continues to serve. Entries
// that lapsed while the store was unavailable return after two seconds. The grace is well within the
// seven seconds after which a member that has left must get no new work.
const missingMemberGrace = 2500 * time.Millisecond

// missingMemberRetention is how long a member that is neither listed nor answers is kept. It may hold
// a fence that must be released, or acknowledge writes for a primary.
const missingMemberRetention = 6 * time.Second

// retentionExpired reports whether the member has been missing, and has answered no control command,
// for longer than missingMemberRetention.
func (m *member) retentionExpired(now time.Time) bool {
	if m.missingSince.IsZero() {
		return false
	}
	return now.Sub(m.missingSince) > missingMemberRetention && now.Sub(m.controlAnsweredAt) > missingMemberRetention
}

// lacks reports whether the member is believed not to have applied the log up to the position.
func (m *member) lacks(p group.Position, now time.Time) bool {
	return p.Compare(m.applied) > 0 && now.Before(m.lagUntil)
}

// updateMembers applies a new list of members.
func (g *Group) updateMembers(change memberChange) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.departedAt.IsZero() {
		g.departedAt = g.now()
	}
	for _, id := range change.lapsed {
		if m := g.members[id]; m != nil {
			g.markMissing(m)
		}
	}
	listed := map[string]bool{}
	for _, listedMember := range change.members {
		listed[listedMember.ID] = true
		g.updateMember(listedMember)
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

// updateMember adds or updates a listed member. g.mu must be held.
func (g *Group) updateMember(listed Member) {
	m := g.members[listed.ID]
	if m != nil && (m.Incarnation != listed.Incarnation || m.moved(listed)) {
		g.dropRestarted(m)
		m = nil
	}
	if m == nil {
		m = &member{Member: listed, poolMember: g.pool.Add(listed.ID, listed.Slots)}
		m.IsPrimary, m.Leaving = false, false
		g.members[listed.ID] = m
		g.log("member_listed", "member", listed.ID, "addr", listed.Addr, "leads", listed.IsPrimary)
	}
	before := m.Member
	// The ID, group, address and incarnation are constant, so they are read without the lock.
	m.IsPrimary, m.Leaving, m.Zone, m.Slots = listed.IsPrimary, listed.Leaving, listed.Zone, listed.Slots
	m.poolMember.SetSlots(listed.Slots)
	if !m.missingSince.IsZero() {
		m.missingSince = time.Time{}
		g.log("member_back", "member", listed.ID)
	}
	if listed.Leaving && !before.Leaving {
		m.leavingSince = g.now()
		g.log("member_leaving", "member", listed.ID, "leads", listed.IsPrimary)
		g.closeIdleConns(m)
	}
	if listed.IsPrimary && !before.IsPrimary && g.primaryID != listed.ID {
		g.setPrimary(listed.ID, "listed")
	}
	if !listed.IsPrimary && before.IsPrimary && g.primaryID == listed.ID {
		g.setPrimary("", "listed")
	}
}

// moved reports whether the member is to be reached at another address than before. An incarnation does not move, so
// that an address at which it has been reached is kept. Otherwise the known address may be that of another writer's entry.
func (m *member) moved(listed Member) bool {
	return m.Addr != listed.Addr && (!m.reached || m.dropped || m.Incarnation == 0)
}

// markMissing records that the platform no longer lists the member. g.mu must be held.
func (g *Group) markMissing(m *member) {
	if !m.missingSince.IsZero() {
		return
	}
	g.log("member_missing", "member", m.ID, "leads", m.ID == g.primaryID)
	m.missingSince = g.now()
	// What a primary had written and no replica had received was never acknowledged.
	m.missingAsPrimary = m.ID == g.primaryID
	if m.Incarnation == 0 && !m.missingAsPrimary {
		m.restartSuspectedSince, m.receivedBeforeMissing = m.missingSince, m.received
	}
}
