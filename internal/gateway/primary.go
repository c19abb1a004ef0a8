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
	// sem holds a token while nobody uses the connection. Unlike a mutex, the wait
	// for it ends with the caller's time.
	sem  chan struct{}
	conn Conn
	// lastUsed is when the last order ended.
	lastUsed time.Time
}

// controlConnIdleTimeout is how long a connection for orders is kept unused. The holder of a duty
// asks every probeInterval; all other hosts ask only while nobody is known to lead, and
// their connections would take those that serve callers.
const controlConnIdleTimeout = 1500 * time.Millisecond

// setCoordinated says whether this host holds the group's duty. It then keeps its connections for orders:
// where callers' connections fill the members up, it could not open them again for a fence.
func (g *Group) setCoordinated(holds bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.coordinated = holds
}

// isCoordinated reports what hold was last told.
func (g *Group) isCoordinated() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.coordinated
}

// closeIdleControlConns closes connections for orders that were not used for long.
func (g *Group) closeIdleControlConns() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	if g.coordinated {
		return
	}
	for id, c := range g.controlConns {
		select {
		case <-c.sem:
		default:
			continue // in use
		}
		if now.Sub(c.lastUsed) < controlConnIdleTimeout {
			c.sem <- struct{}{}
			continue
		}
		delete(g.controlConns, id)
		if c.conn != nil {
			go c.close(g, Member{ID: id})
		}
	}
}

// control gives an order to the member over its control connection.
func (g *Group) control(m Member, o ControlCommand, timeout time.Duration) (Status, error) {
	if _, question := o.(Probe); question && g.probesViaPool(m.ID) {
		return g.probeViaPool(m, timeout)
	}
	var s Status
	err := g.withControlConn(m, timeout, func(c Conn) (err error) {
		s, err = c.Control(timeout, o)
		for i := 0; i < maxBusyRetries && isBusyFailure(err); i++ {
			time.Sleep(busyRetryInterval)
			s, err = c.Control(timeout, o)
		}
		return err
	})
	if err == nil {
		g.recordStatus(m.ID, s)
	}
	return s, err
}

// probesViaPool reports whether questions to the member go over callers' connections: always, but at the
// holder of the duty, which keeps connections of its own for fences, and where there are none.
// Where every host serves, questions on connections of their own filled the members up after a
// restart of all: callers' connections were refused, 7 statements in 1,000 for want of one.
func (g *Group) probesViaPool(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.members[id]
	return m != nil && !g.coordinated && g.pool.MaxConns(m.poolMember) > 0
}

// probeViaPool asks the member for its status on one of callers' connections, as soon as one is idle. If
// there is none at all it opens one.
func (g *Group) probeViaPool(m Member, timeout time.Duration) (Status, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	until := g.now().Add(timeout)
	p, err := g.borrowConn(ctx, m)
	for p == nil && err == nil {
		if !pause.For(ctx, idleConnPollInterval) {
			return Status{}, errNoConnection
		}
		p, err = g.borrowConn(ctx, m)
	}
	if err != nil {
		return Status{}, err
	}
	s, err := p.conn.Control(until.Sub(g.now()), Probe{})
	switch {
	case err == nil:
		g.recordStatus(m.ID, s)
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

// borrowConn takes an idle connection to the member, or opens one if there is none at all. It returns
// nil while all are in use.
func (g *Group) borrowConn(ctx context.Context, target Member) (*pooledConn, error) {
	g.mu.Lock()
	m := g.members[target.ID]
	switch {
	case m == nil || m.dropped:
		g.mu.Unlock()
		return nil, errNoConnection
	case !m.poolMember.Unconnected():
		defer g.mu.Unlock()
		return g.conns[g.pool.TakeAnyIdle(m.poolMember)], nil
	}
	g.pool.BeginDial(m.poolMember, hostAccount)
	g.mu.Unlock()
	conn, err := g.dialer.Dial(ctx, target, hostAccount)
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.addConn(m, hostAccount, conn, err) == nil {
		return nil, err
	}
	return g.conns[g.pool.TakeAnyIdle(m.poolMember)], nil
}

// hostAccount stands for the host itself, whose own questions need no account.
const hostAccount = ""

// withControlConn does something on the member's control connection, which is closed when that
// fails for another reason than the member's refusal.
func (g *Group) withControlConn(m Member, timeout time.Duration, do func(Conn) error) error {
	g.mu.Lock()
	c := g.controlConns[m.ID]
	if c == nil {
		c = &controlConn{sem: make(chan struct{}, 1), lastUsed: g.now()}
		c.sem <- struct{}{}
		g.controlConns[m.ID] = c
	}
	g.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	select {
	case <-c.sem:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() {
		c.lastUsed = g.now()
		c.sem <- struct{}{}
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

// recordStatus records what the member answered to an order.
func (g *Group) recordStatus(id string, s Status) {
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.members[id]
	if m == nil {
		return
	}
	m.statusAt, m.silentSince = g.now(), time.Time{}
	if s.Term == m.receivedTerm && s.Received.Compare(m.received) < 0 && id != g.primaryID {
		// A log shrinks in a promotion only, which brings a new term. This member was started
		// again and holds nothing of before: what it had acknowledged has left with it.
		g.log("member_lost_its_log", "member", id, "held", m.received, "holds", s.Received)
		g.noteDeparture(m.statusAt)
	}
	if m.receivedBeforeMissing != (group.Position{}) && s.Received.Compare(m.receivedBeforeMissing) >= 0 {
		m.restartSuspectedSince = time.Time{}
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
	sentAt time.Time
	status Status
	err    error
	// relayedBy is the host that got the answer, if it was another one.
	relayedBy string
}

// controlAll gives an order to the members at once and returns their answers.
func (g *Group) controlAll(members []Member, o ControlCommand, timeout time.Duration) []controlResult {
	out := make([]controlResult, len(members))
	var wait sync.WaitGroup
	for i, m := range members {
		wait.Go(func() {
			out[i] = controlResult{member: m, sentAt: g.now()}
			out[i].status, out[i].err = g.control(m, o, timeout)
		})
	}
	wait.Wait()
	return out
}

// listMembers returns the members, also those that the platform lost sight of.
func (g *Group) listMembers() []Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := make([]Member, 0, len(g.sortedMembers))
	for _, m := range g.sortedMembers {
		if !m.dropped {
			out = append(out, m.Member)
		}
	}
	return out
}

// lookupMember returns a member, also one that the platform lost sight of.
func (g *Group) lookupMember(id string) (Member, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.members[id]
	if m == nil || m.dropped {
		return Member{}, false
	}
	return m.Member, true
}

// ensurePrimary makes sure that somebody finds out who leads.
func (g *Group) ensurePrimary() {
	g.mu.Lock()
	known := g.primaryID != "" && !g.now().Before(g.primarySuspectUntil())
	idle := g.plan.ServedByOthers && !g.isIsolated() && !g.isFallback(g.now()) // those that serve the group find out
	if known || idle || g.searching || len(g.sortedMembers) == 0 {
		g.mu.Unlock()
		return
	}
	g.searching = true
	g.mu.Unlock()
	go g.searchPrimary()
}

// primarySuspectUntil returns until when the primary is suspect.
func (g *Group) primarySuspectUntil() time.Time {
	if m := g.members[g.primaryID]; m != nil {
		return m.suspectUntil
	}
	return time.Time{}
}

// searchPrimary asks the members who leads until one does.
func (g *Group) searchPrimary() {
	defer func() {
		g.mu.Lock()
		g.searching = false
		g.mu.Unlock()
	}()
	for range maxSearchRounds {
		if g.adoptPrimary(g.controlAll(g.listMembers(), Probe{}, probeTimeout)) {
			return
		}
		time.Sleep(searchInterval)
	}
}

// primaryRefuted reports whether the member has refused a write in the term in which it says
// that it leads, or is being replaced. A primary that was replaced while it was cut off goes on to say so; to
// believe it again and again would keep callers from the new one.
func (g *Group) primaryRefuted(a controlResult) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.members[a.member.ID]
	if m == nil {
		return false
	}
	m.term = max(m.term, a.status.Term)
	return m.beingReplaced || a.status.Term <= m.refusedTerm
}

// adoptPrimary takes over what the answers say of who leads. It returns false when none
// of the members leads.
func (g *Group) adoptPrimary(answers []controlResult) bool {
	best := -1
	for i, a := range answers {
		if a.err != nil || !a.status.IsPrimary || g.primaryRefuted(a) {
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
	stale := a.status.Term < g.primaryTerm
	g.primaryTerm = max(g.primaryTerm, a.status.Term)
	g.mu.Unlock()
	if stale {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.setPrimary(a.member.ID, "asked")
	if m := g.members[a.member.ID]; m != nil && a.relayedBy == "" {
		m.suspectUntil = time.Time{}
		m.poolMember.UnblockDials()
	}
	g.dispatch()
	return true
}

// wasPrimarySince reports whether the member is known to have led at or after the given time. Its
// log then holds everything that was acknowledged before.
func (g *Group) wasPrimarySince(id string, since time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.sampleSource == id && !g.samples.LatestTime().Before(since) ||
		g.passedCheck.primary == id && !g.passedCheck.started.Before(since)
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
