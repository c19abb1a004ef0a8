package pool

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pearlatch/core/admission"
)

const (
	ms            = time.Millisecond
	callerTimeout = time.Second
	waitBound     = 350 * ms
)

// overloadedGroup replays callers of a group with a timeout of 1 s and up to three attempts. Its three members run two
// statements of 15 ms at once, so they serve 400 per second, of which the primary p serves 133. Three of ten statements
// must run on the primary.
type overloadedGroup struct {
	*harness
	refuseEarly bool
	// load is the load relative to the capacity at first. From faster on, members run four times as many statements.
	load   float64
	faster time.Duration
	// The primary runs nothing between downFrom and downTo, which the host notices after 300 ms.
	downFrom, downTo time.Duration

	calendars admission.Calendars
	// durations is separate from random, so that the same statements take the same time with and without prediction.
	random, durations *rand.Rand
	at                time.Duration
	waiting           map[*Waiter]*opAttempt
	running           map[*Member][]*runningStatement
	retrying          []*opAttempt

	operations, served, servedPrimaryOnly, refused, refusedLate int
	// refusedEarly holds the statements that were refused on a prediction, by time since the start.
	refusedEarly map[time.Duration][]ConnRequest
}

// opAttempt is an attempt of an operation that began at the given time.
type opAttempt struct {
	began, next time.Duration
	primaryOnly bool
	count       int
}

type runningStatement struct {
	conn *Conn
	left time.Duration
}

// replay replays the load for a time.
func (g *overloadedGroup) replay(t *testing.T, length time.Duration) {
	g.harness, g.random, g.durations = newHarness(t, 20, "p", "q", "r"), rand.New(rand.NewPCG(5, 6)), rand.New(rand.NewPCG(7, 8))
	g.waiting, g.running, g.refusedEarly = map[*Waiter]*opAttempt{}, map[*Member][]*runningStatement{}, map[time.Duration][]ConnRequest{}
	for _, m := range g.pool.sorted {
		m.slots = 2
	}
	for ; g.at < length; g.at, g.now = g.at+ms, g.now.Add(ms) {
		g.view.primaryGone = g.at >= g.downFrom+300*ms && g.at < g.downTo
		if g.finishStatements(); g.faster > 0 && g.at >= g.faster {
			g.finishStatements()
			g.finishStatements()
			g.finishStatements()
		}
		g.expire()
		for n := g.load * 0.4; n > 0; n-- {
			if g.random.Float64() < n {
				g.operations++
				g.begin(&opAttempt{began: g.at, primaryOnly: g.random.Float64() < 0.3})
			}
		}
		callers := g.retrying
		g.retrying = nil
		for _, a := range callers {
			if a.next > g.at {
				g.retrying = append(g.retrying, a)
			} else {
				g.begin(a)
			}
		}
		g.dispatch()
	}
}

// expire refuses the statements that have reached their wait bound.
func (g *overloadedGroup) expire() {
	var expired []*Waiter
	for e := range g.pool.queue.All(g.now) {
		if !g.now.Before(e.Value.Request.Deadline) {
			expired = append(expired, e.Value)
		}
	}
	for _, w := range expired {
		g.pool.Dequeue(w, g.now)
		g.refuse(w)
	}
}

func (g *overloadedGroup) begin(a *opAttempt) {
	a.count++
	r := ConnRequest{PrimaryOnly: a.primaryOnly, ArrivedAt: g.now, Deadline: g.now.Add(waitBound), RefuseEarly: g.refuseEarly}
	if c := g.pool.Take(r, g.now); c != nil {
		g.runOn(c, r)
		return
	}
	g.waiting[g.pool.Enqueue(r, g.now)] = a
	g.dispatch()
}

func (g *overloadedGroup) runOn(c *Conn, r ConnRequest) {
	g.running[c.member] = append(g.running[c.member], &runningStatement{c, ms + time.Duration(g.durations.ExpFloat64()*14*float64(ms))})
	if g.served++; r.PrimaryOnly {
		g.servedPrimaryOnly++
	}
}

// finishStatements runs the first two statements of each member for a millisecond.
func (g *overloadedGroup) finishStatements() {
	for _, m := range g.pool.sorted {
		if m.id == "p" && g.at >= g.downFrom && g.at < g.downTo {
			continue
		}
		for _, s := range slices.Clone(g.running[m][:min(2, len(g.running[m]))]) {
			if s.left -= ms; s.left <= 0 {
				g.running[m] = slices.DeleteFunc(g.running[m], func(o *runningStatement) bool { return o == s })
				m.RecordSuccess()
				g.pool.Release(s.conn, g.now)
				g.dispatch()
			}
		}
	}
}

func (g *overloadedGroup) dispatch() {
	g.pool.Dispatch(g.now, false)
	for list := g.pool.DrainActions(); len(list) > 0; list = g.pool.DrainActions() {
		for _, action := range list {
			switch action := action.(type) {
			case Assign:
				g.runOn(action.Conn, action.Waiter.Request)
				delete(g.waiting, action.Waiter)
			case Refuse:
				g.refusedEarly[g.at] = append(g.refusedEarly[g.at], action.Waiter.Request)
				g.wantBusy(action.Waiter.Request)
				g.refuse(action.Waiter)
			case Open:
				g.pool.Opened(g.pool.members[action.Member], action.Account, g.now)
				g.pool.Dispatch(g.now, false)
			}
		}
	}
}

// wantBusy fails if a statement was refused while a slot that may run it was idle.
func (g *overloadedGroup) wantBusy(r ConnRequest) {
	for _, m := range g.pool.sorted {
		if g.view.CanServe(m.id, r, g.now) && len(g.running[m]) < m.slots {
			g.t.Errorf("a statement was refused after %s while %s ran %d statements", g.at, m.id, len(g.running[m]))
		}
	}
}

// refuse refuses an attempt, upon which its caller retries when it is told to or gives up.
func (g *overloadedGroup) refuse(w *Waiter) {
	a, waited := g.waiting[w], g.now.Sub(w.Request.ArrivedAt)
	delete(g.waiting, w)
	if g.refused++; waited > waitBound/2 {
		g.refusedLate++
	}
	ahead, rate := g.pool.Backlog(w.Request, g.now)
	latest := admission.LatestRetry(callerTimeout-waited, 200*ms, 0)
	a.next = g.at + g.calendars[w.Request.Class()].Book(g.now, admission.Booking{Latest: latest, Backlog: ahead, Rate: rate, Random: g.random.Float64()})
	if a.count < 3 && a.next-a.began < callerTimeout {
		g.retrying = append(g.retrying, a)
	}
}

// Replays a day on which two of eight groups had more work than capacity: most refusals came after the whole wait bound
// of 350 ms, and the callers had no time left for their other attempts. Statements that need the primary must get its
// slots while others could run elsewhere.
func TestOverloadIsRefusedEarly(t *testing.T) {
	for _, load := range []float64{0.3, 0.5, 1.2, 0.6, 0.7, 0.4, 1.7, 0.8} {
		without, with := overloadedGroup{load: load}, overloadedGroup{load: load, refuseEarly: true}
		without.replay(t, 8*time.Second)
		with.replay(t, 8*time.Second)
		t.Logf("load %g, %d operations: %d served (%d primary only), %d refused, %d late without prediction; %d (%d), %d, %d with it", load, with.operations,
			without.served, without.servedPrimaryOnly, without.refused, without.refusedLate, with.served, with.servedPrimaryOnly, with.refused, with.refusedLate)
		if load < 1 && with.refused*200 > with.operations {
			t.Errorf("load %g: %d of %d operations were refused", load, with.refused, with.operations)
		}
		if load > 1 && (with.refusedLate*20 > with.refused || with.servedPrimaryOnly*10 < with.served*3) {
			t.Errorf("load %g: %d of %d refusals came late, want 5 %%; %d of %d statements for the primary served, want a third",
				load, with.refusedLate, with.refused, with.servedPrimaryOnly, with.served)
		}
		if with.served*100 < without.served*99 {
			t.Errorf("load %g: %d operations served, %d without prediction", load, with.served, without.served)
		}
	}
}

// Guards against refusals while a slot is idle, or while no member may serve: a rate of 100 per second is known, and 50
// statements wait, but for at most 100 ms.
func TestOnlySaturatedMembersRefuse(t *testing.T) {
	h := newHarness(t, 4, "p")
	var conns []*Conn
	for range 3 { // the number of slots
		c, _ := h.acquire(writeRequest(""))
		conns = append(conns, c)
	}
	for range 60 {
		h.pool.Enqueue(writeRequest(""), h.now)
	}
	serve := func() {
		h.now = h.now.Add(10 * ms)
		h.pool.Release(conns[0], h.now)
		h.pool.Dispatch(h.now, false)
	}
	refusals := func() (n int) {
		for _, action := range h.pool.DrainActions() {
			if _, ok := action.(Refuse); ok {
				n++
			}
		}
		return n
	}
	for range 10 {
		serve()
	}
	for range 50 {
		h.pool.Enqueue(ConnRequest{PrimaryOnly: true, Rank: 1, ArrivedAt: h.now, Deadline: h.now.Add(100 * ms), RefuseEarly: true}, h.now)
	}
	p := h.pool.members["p"]
	for _, c := range []struct {
		state       string
		primaryGone bool
		slots       int
		refused     bool
	}{{"no member that may serve", true, 3, false}, {"an idle slot", false, 5, false}, {"all slots taken", false, 3, true}} {
		h.now = h.now.Add(6 * ms)
		h.view.primaryGone, p.slots, p.window.size = c.primaryGone, c.slots, float64(c.slots)
		h.pool.Dispatch(h.now, false)
		if n := refusals(); n > 0 != c.refused {
			t.Errorf("%d statements were refused with %s", n, c.state)
		}
	}
}

// Guards against refusals on a rate that no longer applies while the primary is replaced. A time without service of 150 ms
// shows that it does not.
func TestRateOfBeforeDoesNotOutlastThePrimary(t *testing.T) {
	g := overloadedGroup{load: 0.8, refuseEarly: true, downFrom: 2 * time.Second, downTo: 3 * time.Second}
	g.replay(t, 5*time.Second)
	for at, list := range g.refusedEarly {
		if at > g.downFrom+150*ms && at < g.downTo && slices.ContainsFunc(list, func(r ConnRequest) bool { return r.PrimaryOnly }) {
			t.Errorf("a statement for the primary was refused %s after the primary was lost", at-g.downFrom)
		}
	}
}

// Guards against refusals on a wrong prediction for longer than a second.
func TestWrongPredictionIsCorrectedWithinASecond(t *testing.T) {
	g := overloadedGroup{load: 1.7, refuseEarly: true, faster: 2 * time.Second}
	g.replay(t, 5*time.Second)
	if len(g.refusedEarly) == 0 {
		t.Error("nothing was refused in the overload")
	}
	for at, list := range g.refusedEarly {
		if at > g.faster+time.Second {
			t.Errorf("%d statements were refused %s after capacity had quadrupled", len(list), at-g.faster)
		}
	}
}
