package gateway

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/pkg/errors"

	"pearlatch/core/group"
	"pearlatch/internal/controlconn"
	"pearlatch/internal/pause"
)

const (
	// probeTimeout bounds a status probe. Members answer within the time of a few
	// statements unless they are unreachable.
	probeTimeout = 400 * time.Millisecond
	// searchInterval is the delay between two probe rounds of a search for the primary.
	searchInterval = 60 * time.Millisecond
	// maxSearchRounds bounds one search. After it, the next statement that needs
	// the primary starts another search.
	maxSearchRounds = 40
)

// controlConnIdleTimeout is how long an idle control connection is kept. A coordinator probes members every
// probeInterval. All other hosts probe them only while no primary is known, and their control connections would
// occupy connections that serve callers.
const controlConnIdleTimeout = 1500 * time.Millisecond

// setCoordinated sets whether this host is the group's coordinator, which keeps its control connections open:
// when callers' connections exhaust the members' limits, it could not reopen them to send a fence.
func (g *Group) setCoordinated(coordinated bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.coordinated = coordinated
}

// isCoordinated reports whether this host is the group's coordinator, as last set by setCoordinated.
func (g *Group) isCoordinated() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.coordinated
}

// closeIdleControlConns closes control connections that were idle for controlConnIdleTimeout, unless this host is
// the group's coordinator.
func (g *Group) closeIdleControlConns() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.coordinated {
		return
	}
	maps.DeleteFunc(g.controlConns, func(_ string, c *controlconn.Slot[Conn]) bool { return c.CloseIdle(controlConnIdleTimeout) })
}

// control sends a control command to the member and records the status that it answers with. Probes may use a
// pooled connection; all other commands use the control connection. A command that is refused because the member
// is busy is retried up to maxBusyRetries times.
func (g *Group) control(m Member, cmd ControlCommand, timeout time.Duration) (Status, error) {
	if _, isProbe := cmd.(Probe); isProbe && g.probesViaPool(m.ID) {
		return g.probeViaPool(m, timeout)
	}
	var s Status
	err := g.withControlConn(m, timeout, func(c Conn) (err error) {
		s, err = c.Control(timeout, cmd)
		for i := 0; i < maxBusyRetries && isBusyFailure(err); i++ {
			time.Sleep(busyRetryInterval)
			s, err = c.Control(timeout, cmd)
		}
		return err
	})
	if err == nil {
		g.recordStatus(m.ID, s)
	}
	return s, err
}

// probesViaPool reports whether probes of the member use pooled connections. The coordinator uses its control
// connections instead, which it keeps open for fences anyway. A host that may not pool connections to the member
// also uses its control connection. Where every host served the group, control connections for probes exhausted the members' limits after a restart of
// all hosts: members refused connections for callers, and 7 statements in 1,000 failed for lack of one.
func (g *Group) probesViaPool(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.members[id]
	return m != nil && !g.coordinated && g.pool.MaxConns(m.poolMember) > 0
}

// probeViaPool probes the member on a pooled connection, as soon as one is idle. If the pool has no connection to
// the member it opens one.
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

// idleConnPollInterval is the delay between two attempts to take an idle connection: a fraction of the time of a
// statement.
const idleConnPollInterval = 4 * time.Millisecond

// borrowConn takes an idle pooled connection to the member, or opens one if there is none. It returns nil without
// an error while all connections are in use.
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
	g.pool.BeginOpen(m.poolMember, hostAccount)
	g.mu.Unlock()
	conn, err := g.dialer.Dial(ctx, target, hostAccount)
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.addConn(m, hostAccount, conn, err) == nil {
		return nil, err
	}
	return g.conns[g.pool.TakeAnyIdle(m.poolMember)], nil
}

// hostAccount is the account name for the host's own connections, which need no account.
const hostAccount = ""

// withControlConn calls do with the member's control connection, and waits for at most the timeout until the
// connection is free. It closes the connection if do fails, unless the error is the member's own answer.
func (g *Group) withControlConn(m Member, timeout time.Duration, do func(Conn) error) error {
	g.mu.Lock()
	c := g.controlConns[m.ID]
	if c == nil {
		failed := func(err error) { g.log("member_close", "member", m.ID, "err", err) }
		c = controlconn.NewSlot[Conn](controlconn.Ports{Keep: isMemberFailure, Failed: failed, Now: g.now})
		g.controlConns[m.ID] = c
	}
	g.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return c.Use(ctx, func(ctx context.Context) (Conn, error) { return g.dialer.Dial(ctx, m, hostAccount) }, do)
}

// recordStatus records the status that the member answered to a control command.
func (g *Group) recordStatus(id string, s Status) {
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.members[id]
	if m == nil {
		return
	}
	m.controlAnsweredAt, m.silentSince = g.now(), time.Time{}
	if s.Term == m.receivedTerm && s.Received.Compare(m.received) < 0 && id != g.primaryID {
		// A log only shrinks in a promotion, which begins a new term. This member was restarted
		// with an empty log and lost the writes that it had acknowledged.
		g.log("member_lost_its_log", "member", id, "held", m.received, "holds", s.Received)
		g.noteDeparture(m.controlAnsweredAt)
	}
	if m.receivedBeforeMissing != (group.Position{}) && s.Received.Compare(m.receivedBeforeMissing) >= 0 {
		m.restartSuspectedSince = time.Time{}
	}
	m.received, m.receivedTerm = s.Received, s.Term
}

// maxBusyRetries is how often a control command is retried on a member whose queue is full.
const maxBusyRetries = 8

// isBusyFailure reports whether a member answered that its queue is full.
func isBusyFailure(err error) bool {
	var f *Failure
	return errors.As(err, &f) && f.Code == Busy
}

// isOccupied reports whether a member answered that its queue is full or that it has no connection left: it serves others.
func isOccupied(err error) bool {
	var f *Failure
	return errors.As(err, &f) && (f.Code == Busy || f.Code == TooManyConnections)
}

// isReplaced reports whether another member answered at the member's address, so that it has left for good.
func isReplaced(err error) bool {
	var f *Failure
	return errors.As(err, &f) && f.Code == Misrouted
}

// isMemberFailure reports whether the error is a failure that the member itself answered with.
func isMemberFailure(err error) bool {
	var f *Failure
	return errors.As(err, &f)
}

// controlResult is a member's answer to a control command.
type controlResult struct {
	member Member
	// sentAt is when the command was sent.
	sentAt time.Time
	status Status
	err    error
	// relayedBy is the host that received the answer, or empty if it was this one.
	relayedBy string
}

// controlAll sends a control command to the members in parallel and returns their answers in the same order.
func (g *Group) controlAll(members []Member, cmd ControlCommand, timeout time.Duration) []controlResult {
	out := make([]controlResult, len(members))
	var wait sync.WaitGroup
	for i, m := range members {
		wait.Go(func() {
			out[i] = controlResult{member: m, sentAt: g.now()}
			out[i].status, out[i].err = g.control(m, cmd, timeout)
		})
	}
	wait.Wait()
	return out
}

// listMembers returns the members, including missing ones that are not dropped yet.
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

// lookupMember returns a member, which may be missing but not dropped.
func (g *Group) lookupMember(id string) (Member, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.members[id]
	if m == nil || m.dropped {
		return Member{}, false
	}
	return m.Member, true
}

// ensurePrimary starts a search for the primary if it is unknown or suspect, no search is running, and this host
// serves the group.
func (g *Group) ensurePrimary() {
	g.mu.Lock()
	known := g.primaryID != "" && !g.now().Before(g.primarySuspectUntil())
	servedByOthers := g.plan.ServedByOthers && !g.isIsolated() && !g.isFallback(g.now()) // the serving hosts search
	if known || servedByOthers || g.searching || len(g.sortedMembers) == 0 {
		g.mu.Unlock()
		return
	}
	g.searching = true
	g.mu.Unlock()
	go g.searchPrimary()
}

// primarySuspectUntil returns until when the primary is suspect, or the zero time. g.mu must be held.
func (g *Group) primarySuspectUntil() time.Time {
	if m := g.members[g.primaryID]; m != nil {
		return m.suspectUntil
	}
	return time.Time{}
}

// searchPrimary probes the members until one is found to be the primary, for at most maxSearchRounds.
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

// primaryRefuted reports whether the member is being replaced, or has refused a write in the term in which it
// claims to be the primary. It also raises the member's known term to the one in the answer. A primary that was
// replaced while partitioned keeps claiming the role. Accepting that claim again and again would keep callers from
// the new primary.
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

// adoptPrimary sets the primary to the member that claims the role in the highest term among the answers. It
// returns false if no member validly claims it, or only in a term older than the known one.
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
		m.poolMember.UnblockOpening()
	}
	g.dispatch()
	return true
}

// wasPrimarySince reports whether the member is known to have been the primary at or after the given time. Its log
// then holds every write acknowledged before that time.
func (g *Group) wasPrimarySince(id string, since time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.sampleSource == id && !g.samples.LatestTime().Before(since) ||
		g.passedCheck.primary == id && !g.passedCheck.started.Before(since)
}

// highestTerm returns the highest term reported by the answers, as the member's own or the one of the last
// position that it received.
func highestTerm(answers []controlResult) group.Term {
	var t group.Term
	for _, a := range answers {
		if a.err == nil {
			t = max(t, a.status.Term, a.status.Received.Term)
		}
	}
	return t
}
