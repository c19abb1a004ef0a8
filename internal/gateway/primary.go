package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"pearlatch/core/group"
	"pearlatch/internal/pause"
)

const (
	// probeTimeout bounds a status question. Members answer within a few
	// statements' time unless they are out of reach.
	probeTimeout = 400 * time.Millisecond
	// searchInterval is the pause between two rounds of asking who leads.
	searchInterval = 60 * time.Millisecond
	// maxSearchRounds bounds one search: after that the next statement that needs
	// the primary starts another.
	maxSearchRounds = 40
)

// controlConn is a connection to a member for orders, opened when it is needed.
type controlConn struct {
	// turn holds a token while nobody uses the connection. Unlike a mutex, the wait
	// for it ends with the caller's time.
	turn chan struct{}
	conn Conn
	// used is when the last order ended.
	used time.Time
}

// controlConnIdleTimeout is how long a connection for orders is kept unused. The holder of a duty
// asks every probeInterval; all other hosts ask only while nobody is known to lead, and
// their connections would take those that serve callers.
const controlConnIdleTimeout = 1500 * time.Millisecond

// hold says whether this host holds the group's duty. It then keeps its connections for orders:
// where callers' connections fill the members up, it could not open them again for a fence.
func (g *Group) hold(holds bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.holding = holds
}

// holds reports what hold was last told.
func (g *Group) holds() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.holding
}

// trimControls closes connections for orders that were not used for long.
func (g *Group) trimControls() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	if g.holding {
		return
	}
	for id, c := range g.controls {
		select {
		case <-c.turn:
		default:
			continue // in use
		}
		if now.Sub(c.used) < controlConnIdleTimeout {
			c.turn <- struct{}{}
			continue
		}
		delete(g.controls, id)
		if c.conn != nil {
			go c.close(g, Member{ID: id})
		}
	}
}

// command gives an order to the member over its control connection.
func (g *Group) command(m Member, o ControlCommand, timeout time.Duration) (Status, error) {
	if _, question := o.(Probe); question && g.usesPool(m.ID) {
		return g.ask(m, timeout)
	}
	var s Status
	err := g.onControl(m, timeout, func(c Conn) (err error) {
		s, err = c.Control(timeout, o)
		for i := 0; i < maxBusyRetries && isBusyFailure(err); i++ {
			time.Sleep(busyRetryInterval)
			s, err = c.Control(timeout, o)
		}
		return err
	})
	if err == nil {
		g.answered(m.ID, s)
	}
	return s, err
}

// usesPool reports whether questions to the member go over callers' connections: always, but at the
// holder of the duty, which keeps connections of its own for fences, and where there are none.
// Where every host serves, questions on connections of their own filled the members up after a
// restart of all: callers' connections were refused, 7 statements in 1,000 for want of one.
func (g *Group) usesPool(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.members[id]
	return m != nil && !g.holding && g.pool.Limit(m.conns) > 0
}

// ask asks the member for its status on one of callers' connections, as soon as one is idle. If
// there is none at all it opens one.
func (g *Group) ask(m Member, timeout time.Duration) (Status, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	until := g.now().Add(timeout)
	p, err := g.borrow(ctx, m)
	for p == nil && err == nil {
		if !pause.For(ctx, idleConnPollInterval) {
			return Status{}, errNoConnection
		}
		p, err = g.borrow(ctx, m)
	}
	if err != nil {
		return Status{}, err
	}
	s, err := p.conn.Control(until.Sub(g.now()), Probe{})
	switch {
	case err == nil:
		g.answered(m.ID, s)
		g.release(p)
	case isMemberFailure(err):
		g.release(p)
	default:
		g.discard(p, nil)
	}
	return s, err
}

// idleConnPollInterval is the pause before a connection is looked for again: a fraction of a statement's time.
const idleConnPollInterval = 4 * time.Millisecond

// borrow takes an idle connection to the member, or opens one if there is none at all. It returns
// nil while all are in use.
func (g *Group) borrow(ctx context.Context, target Member) (*pooledConn, error) {
	g.mu.Lock()
	m := g.members[target.ID]
	switch {
	case m == nil || m.gone:
		g.mu.Unlock()
		return nil, errNoConnection
	case !m.conns.Unused():
		defer g.mu.Unlock()
		return g.links[g.pool.Borrow(m.conns)], nil
	}
	g.pool.Begin(m.conns, hostAccount)
	g.mu.Unlock()
	conn, err := g.dialer.Dial(ctx, target, hostAccount)
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.opened(m, hostAccount, conn, err) == nil {
		return nil, err
	}
	return g.links[g.pool.Borrow(m.conns)], nil
}

// hostAccount stands for the host itself, whose own questions need no account.
const hostAccount = ""

// onControl does something on the member's control connection, which is closed when that
// fails for another reason than the member's refusal.
func (g *Group) onControl(m Member, timeout time.Duration, do func(Conn) error) error {
	g.mu.Lock()
	c := g.controls[m.ID]
	if c == nil {
		c = &controlConn{turn: make(chan struct{}, 1), used: g.now()}
		c.turn <- struct{}{}
		g.controls[m.ID] = c
	}
	g.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	select {
	case <-c.turn:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() {
		c.used = g.now()
		c.turn <- struct{}{}
	}()
	if c.conn != nil && !c.conn.Alive() {
		c.close(g, m)
	}
	if c.conn == nil {
		conn, err := g.dialer.Dial(ctx, m, hostAccount)
		if err != nil {
			return err
		}
		c.conn = conn
	}
	err := do(c.conn)
	if err != nil && !isMemberFailure(err) {
		c.close(g, m)
	}
	return err
}

// answered records what the member answered to an order.
func (g *Group) answered(id string, s Status) {
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.members[id]
	if m == nil {
		return
	}
	m.answered, m.silentSince = g.now(), time.Time{}
	if s.Term == m.receivedTerm && s.Received.Compare(m.received) < 0 && id != g.leader {
		// A log shrinks in a promotion only, which brings a new term. This member was started
		// again and holds nothing of before: what it had acknowledged has left with it.
		g.log("member_lost_its_log", "member", id, "held", m.received, "holds", s.Received)
		g.left(m.answered)
	}
	if m.heldBefore != (group.Position{}) && s.Received.Compare(m.heldBefore) >= 0 {
		m.doubtedSince = time.Time{}
	}
	m.received, m.receivedTerm = s.Received, s.Term
}

// maxBusyRetries is how often an order is given again to a member whose queue is
// full.
const maxBusyRetries = 8

// isBusyFailure reports whether a member answered that it has no room.
func isBusyFailure(err error) bool {
	var f *Failure
	return errors.As(err, &f) && f.Code == Busy
}

// isMemberFailure reports whether the member itself answered with a refusal.
func isMemberFailure(err error) bool {
	var f *Failure
	return errors.As(err, &f)
}

func (c *controlConn) close(g *Group, m Member) {
	if err := c.conn.Close(); err != nil {
		g.log("member_close", "member", m.ID, "err", err)
	}
	c.conn = nil
}

// controlResult is a member's answer to an order, with the time it was asked.
type controlResult struct {
	member Member
	asked  time.Time
	status Status
	err    error
	// by is the host that got the answer, if it was another one.
	by string
}

// orderAll gives an order to the members at once and returns their answers.
func (g *Group) orderAll(members []Member, o ControlCommand, timeout time.Duration) []controlResult {
	out := make([]controlResult, len(members))
	var wait sync.WaitGroup
	for i, m := range members {
		wait.Go(func() {
			out[i] = controlResult{member: m, asked: g.now()}
			out[i].status, out[i].err = g.command(m, o, timeout)
		})
	}
	wait.Wait()
	return out
}

// list returns the members, also those that the platform lost sight of.
func (g *Group) list() []Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := make([]Member, 0, len(g.order))
	for _, m := range g.order {
		if !m.gone {
			out = append(out, m.Member)
		}
	}
	return out
}

// lookup returns a member, also one that the platform lost sight of.
func (g *Group) lookup(id string) (Member, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.members[id]
	if m == nil || m.gone {
		return Member{}, false
	}
	return m.Member, true
}

// wantLeader makes sure that somebody finds out who leads.
func (g *Group) wantLeader() {
	g.mu.Lock()
	known := g.leader != "" && !g.now().Before(g.leaderSuspect())
	idle := g.plan.Elsewhere && !g.strays() && !g.deputy(g.now()) // those that serve the group find out
	if known || idle || g.searching || len(g.order) == 0 {
		g.mu.Unlock()
		return
	}
	g.searching = true
	g.mu.Unlock()
	go g.search()
}

// leaderSuspect returns until when the primary is suspect.
func (g *Group) leaderSuspect() time.Time {
	if m := g.members[g.leader]; m != nil {
		return m.suspectUntil
	}
	return time.Time{}
}

// search asks the members who leads until one does.
func (g *Group) search() {
	defer func() {
		g.mu.Lock()
		g.searching = false
		g.mu.Unlock()
	}()
	for range maxSearchRounds {
		if g.adopt(g.orderAll(g.list(), Probe{}, probeTimeout)) {
			return
		}
		time.Sleep(searchInterval)
	}
}

// disproved reports whether the member has refused a write in the term in which it says
// that it leads, or is being replaced. A primary that was replaced while it was cut off goes on to say so; to
// believe it again and again would keep callers from the new one.
func (g *Group) disproved(a controlResult) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.members[a.member.ID]
	if m == nil {
		return false
	}
	m.term = max(m.term, a.status.Term)
	return m.recalled || a.status.Term <= m.refusedTerm
}

// adopt takes over what the answers say of who leads. It returns false when none
// of the members leads.
func (g *Group) adopt(answers []controlResult) bool {
	best := -1
	for i, a := range answers {
		if a.err != nil || !a.status.Leads || g.disproved(a) {
			continue
		}
		if best < 0 || a.status.Term > answers[best].status.Term {
			best = i
		}
	}
	if best < 0 {
		return false
	}
	a := answers[best]
	g.mu.Lock()
	stale := a.status.Term < g.leaderTerm
	g.leaderTerm = max(g.leaderTerm, a.status.Term)
	g.mu.Unlock()
	if stale {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.setLeader(a.member.ID, "asked")
	if m := g.members[a.member.ID]; m != nil && a.by == "" {
		m.suspectUntil = time.Time{}
		m.conns.Retry()
	}
	g.dispatch()
	return true
}

// ledSince reports whether the member is known to have led at or after the given time. Its
// log then holds everything that was acknowledged before.
func (g *Group) ledSince(id string, since time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.sampledFrom == id && !g.ages.Latest().Before(since) ||
		g.proven.primary == id && !g.proven.started.Before(since)
}

// highestTerm returns the highest term among the answers in which a member led.
func highestTerm(answers []controlResult) group.Term {
	var t group.Term
	for _, a := range answers {
		if a.err == nil {
			t = max(t, a.status.Term, a.status.Received.Term)
		}
	}
	return t
}
