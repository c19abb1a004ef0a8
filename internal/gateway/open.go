package gateway

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// maxDialing bounds the connections that a host opens to a member at once. Opening takes
// one of the member's slots: when all hosts start again at once, statements would wait
// behind the opening of every host's share.
const maxDialing = 1

// toOpen returns the member on which another connection would serve the need
// soonest, or nil.
func (g *Group) toOpen(n need, wanted map[*member]int) *member {
	now := g.now()
	return g.best(n, now, func(m *member) bool {
		// With an idle connection, it is the window that keeps the statement waiting.
		return len(m.idle) == 0 && m.open+max(m.dialing, wanted[m]) < g.limit(m) && !now.Before(m.fullUntil) &&
			m.active+max(m.dialing, wanted[m]) <= max(1, m.Slots)
	})
}

// openBetter opens a connection to the member that would have been chosen if it had one
// free. Otherwise reads would stay with the first member that a connection was opened
// to, mostly the primary, until its connections run out.
func (g *Group) openBetter(n need, chosen *member) {
	now := g.now()
	better := g.best(n, now, func(m *member) bool {
		return m == chosen || m.dialing == 0 && len(m.idle) == 0 && m.open < g.shareOf(m) && !now.Before(m.fullUntil)
	})
	if better != nil && better != chosen {
		better.dialing++
		go g.dial(better, better.Member)
	}
}

// openAhead opens a connection to the primary if there is none, while it is being proven to
// lead.
func (g *Group) openAhead() {
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.members[g.leader]
	if m == nil || m.open+m.dialing > 0 || g.limit(m) == 0 || g.now().Before(m.fullUntil) {
		return
	}
	m.dialing++
	go g.dial(m, m.Member)
}

// limit is how many connections this host may have to the member.
func (g *Group) limit(m *member) int {
	if g.plan.Elsewhere {
		return g.shareOf(m)
	}
	return g.shareOf(m) + m.allowance.extra
}

// shareOf is the host's share of the member's connections. A host that does not serve the group
// has one of the replicas of its availability zone.
func (g *Group) shareOf(m *member) int {
	switch {
	case g.plan.Elsewhere && g.isNear(m):
		return max(g.plan.Near, g.share())
	case g.pooled() && !g.plan.Elsewhere && m.ID != g.leader:
		return max(g.share()-g.plan.NearTaken, 1)
	}
	return g.share()
}

// share is the host's equal share of a member's connections. Two are set apart for
// the holder of the group's duty, and one that follows it. A host that does not serve
// the group has none, or one while it can't reach those that do.
func (g *Group) share() int {
	switch {
	case !g.plan.Elsewhere || g.deputy(g.now()):
		return max(1, (g.connections-controlShare)/max(1, g.hosts))
	case g.strays():
		return 1
	}
	return 0
}

// controlShare is how many of a member's connections are kept for orders.
const controlShare = 2

// dial opens a connection to the member.
func (g *Group) dial(m *member, target Member) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	conn, err := g.dialer.Dial(ctx, target)
	g.mu.Lock()
	defer g.mu.Unlock()
	m.dialing--
	if err != nil {
		g.dialFailed(m, err)
		g.dispatch()
		return
	}
	p := newPooled(conn, m, g.now())
	if m.gone {
		g.closeLater(p)
		return
	}
	m.open++
	m.silentSince = time.Time{}
	m.idle = append(m.idle, p)
	g.dispatch()
}

func (g *Group) dialFailed(m *member, err error) {
	now := g.now()
	var failure *Failure
	if !errors.As(err, &failure) {
		m.fullUntil = now.Add(dialRetry)
		g.suspect(m, now, err)
		return
	}
	switch failure.Code {
	case Misrouted:
		g.log("member_replaced", "member", m.ID, "err", err)
		m.gone = true
	default:
		m.allowance.full(now)
		m.fullUntil = now.Add(fullRetry)
	}
}

// suspect records that the member did not answer.
func (g *Group) suspect(m *member, now time.Time, err error) {
	if now.After(m.suspectUntil) {
		g.log("member_suspect", "member", m.ID, "leads", m.ID == g.leader, "err", err)
	}
	m.suspectUntil = now.Add(suspectTime)
	if m.silentSince.IsZero() {
		m.silentSince = now
	}
	if m.ID == g.leader {
		go g.wantLeader()
		g.wakeHolder()
		g.askAgain()
	}
}
