package quota

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"pearlatch/core/account"
)

// simulation plays hosts with wallets, granters with ledgers, the duty, and a network that parts and loses answers,
// and counts what begins. Its hosts and granters are the package's own values; it only carries what they say.
type simulation struct {
	random    *rand.Rand
	tolerance Tolerance
	quota     account.Quota
	now       time.Time
	hosts     []*simHost
	// dutyToken is the token of the present holder, and mayHold and granters what it left in the store.
	dutyToken               int64
	mayHold, formerGranters []string
	// lossRate is the share of messages that get lossRate, and delayRate of those that come some steps later.
	lossRate, delayRate float64
	// delayed holds messages that come later.
	delayed []delayedMessage
	// starts holds when operations starts.
	starts []time.Time
	// refused counts operations that did not begin.
	refused int
	trace   []string
	// faults are the troubles of the seed.
	faults []func(*simulation, *simHost)
}

// delayedMessage is something that reaches a host later.
type delayedMessage struct {
	at     time.Time
	action func()
}

// simHost is a host. A restart gives it a new process with an empty wallet.
type simHost struct {
	id      string
	process int
	shard   *Shard
	// up is false while the process does not run, unresponsive while its machine answers nobody.
	up, unresponsive bool
	// partition is the part of the network that the host is in.
	partition int
	// knows is the holder of the duty as the host believes: its host, and its token.
	holder      *simHost
	holderToken int64
	// token is that of the host's duty, or zero.
	token int64
	// renewedAt is when the host last renewedAt its duty.
	renewedAt time.Time
	// storeUnreachable hosts hear nothing of the store.
	storeUnreachable bool
	// loadPerStep is how many operations its callers begin in a step.
	loadPerStep float64
}

const stepDuration = 50 * time.Millisecond

func newSimulation(seed uint64, hosts int, q account.Quota, t Tolerance) *simulation {
	w := &simulation{random: rand.New(rand.NewPCG(seed, 7)), quota: q, tolerance: t, now: time.UnixMilli(1_000_000)}
	for i := range hosts {
		w.hosts = append(w.hosts, &simHost{id: fmt.Sprint("h", i), shard: NewShard(), up: true})
		w.mayHold = append(w.mayHold, fmt.Sprint("h", i))
	}
	for _, i := range w.random.Perm(len(allFaults))[:2+w.random.IntN(4)] {
		w.faults = append(w.faults, allFaults[i])
	}
	w.takeDuty(w.hosts[0])
	return w
}

func (w *simulation) logf(format string, args ...any) {
	w.trace = append(w.trace, fmt.Sprintf("%6d ms ", w.now.Sub(time.UnixMilli(1_000_000)).Milliseconds())+fmt.Sprintf(format, args...))
}

// takeDuty makes the host the holder of the duty.
func (w *simulation) takeDuty(h *simHost) {
	w.dutyToken++
	w.logf("%s takes the duty with token %d", h.id, w.dutyToken)
	h.token, h.renewedAt = w.dutyToken, w.now
	h.shard.SetGranter(NewGranter(w.dutyToken, w.tolerance, w.now, w.mayHold, w.formerGranters))
	if !slices.Contains(w.formerGranters, h.id) {
		w.formerGranters = append(w.formerGranters, h.id)
	}
	w.announceHolder()
}

// announceHolder lets the hosts that hear of the store know who holds the duty.
func (w *simulation) announceHolder() {
	for _, h := range w.hosts {
		for _, o := range w.hosts {
			if h.up && !h.unresponsive && !h.storeUnreachable && o.token == w.dutyToken {
				h.holder, h.holderToken = o, o.token
				if h != o {
					h.shard.SetGranter(nil) // it hears that it was ousted
				}
			}
		}
	}
}

// learnHolder lets a host that has just started learn from another one on its side who holds the duty, as that
// one believes.
func (w *simulation) learnHolder(h *simHost) {
	o := w.hosts[w.random.IntN(len(w.hosts))]
	if h.holder == nil && o.holder != nil && w.reachable(h, o) {
		h.holder, h.holderToken = o.holder, o.holderToken
	}
}

func (w *simulation) reachable(a, b *simHost) bool {
	return a.up && b.up && !a.unresponsive && !b.unresponsive && a.partition == b.partition
}

func (w *simulation) delivered() bool { return w.random.Float64() >= w.lossRate }

// restart gives the host a new process.
func (w *simulation) restart(h *simHost) {
	w.logf("%s is restarted", h.id)
	h.process++
	h.shard, h.token, h.holder, h.up = NewShard(), 0, nil, true
}

func (h *simHost) processName() string { return fmt.Sprint(h.id, ".", h.process) }

// advance lets a step go by: the granters ask silent hosts, the hosts' callers come, the hosts ask their granters.
func (w *simulation) advance() {
	w.now = w.now.Add(stepDuration)
	w.announceHolder()
	w.deliver()
	for _, g := range w.hosts {
		if g.shard.Granter() != nil && g.up && !g.unresponsive {
			w.runGranter(g)
		}
	}
	for _, i := range w.random.Perm(len(w.hosts)) {
		if h := w.hosts[i]; h.up && !h.unresponsive {
			w.serveCallers(h)
		}
	}
}

// runGranter renews the granter's duty and asks hosts what they hold.
func (w *simulation) runGranter(g *simHost) {
	l := g.shard.Granter()
	if g.token == w.dutyToken && !g.storeUnreachable {
		g.renewedAt = w.now
		l.Extend(w.now)
		w.formerGranters = append(l.FormerGranters(), g.id)
	}
	for _, h := range w.hosts {
		if !l.needsReport(h.id, h.processName(), w.now) {
			continue
		}
		switch {
		case w.reachable(g, h):
			holds, ok := h.shard.Report(g.token, w.now)
			if ok && w.delivered() {
				l.RecordReport(h.id, h.processName(), holds, w.now)
			}
		case !h.up && !h.unresponsive && !g.unresponsive && g.partition == h.partition:
			l.RecordExit(h.id, w.now) // nobody listens there
		}
	}
}

// needsReport reports whether the granter is to ask the host: it has not answered yet, has not been heard of for a
// second, or speaks as another process.
func (l *Granter) needsReport(id, process string, now time.Time) bool {
	h := l.hosts[id]
	return h != nil && (h.unreported || h.process != process || now.Sub(h.heardAt) > time.Second)
}

// serveCallers lets the host's callers come, as many as there are, and asks the granter for them.
func (w *simulation) serveCallers(h *simHost) {
	w.learnHolder(h)
	n := int(h.loadPerStep)
	if w.random.Float64() < h.loadPerStep-float64(n) {
		n++
	}
	asks := 0
	for range n {
		switch v, _ := h.shard.Begin("a", w.quota, w.now); v {
		case Admitted:
			w.startOperation(h)
		case AskGranter:
			h.shard.AddWaiter("a")
			asks++
		case Refused:
			w.refused++
		}
	}
	w.request(h)
	for range asks {
		if v, _ := h.shard.RemoveWaiter("a", w.now); v == Admitted {
			w.startOperation(h)
		} else {
			w.refused++
		}
	}
}

// startOperation counts an operation, or gives the token of one back that a member had no room for.
func (w *simulation) startOperation(h *simHost) {
	if w.random.IntN(10) == 0 {
		h.shard.ReturnToken("a")
		return
	}
	w.starts = append(w.starts, w.now)
}

// deliver lets messages arrive that are due.
func (w *simulation) deliver() {
	var left []delayedMessage
	for _, m := range w.delayed {
		if m.at.After(w.now) {
			left = append(left, m)
			continue
		}
		m.action()
	}
	w.delayed = left
}

// send lets something happen at another host now, later, or never.
func (w *simulation) send(from, to *simHost, does func()) {
	switch {
	case !w.reachable(from, to) || !w.delivered():
	case w.random.Float64() < w.delayRate:
		delay := time.Duration(1+w.random.IntN(60)) * stepDuration
		w.delayed = append(w.delayed, delayedMessage{w.now.Add(delay), does})
	default:
		does()
	}
}

// request asks the granter that the host believes in. Without an answer at once it asks again in the next step.
func (w *simulation) request(h *simHost) {
	g := h.holder
	if g == nil {
		return
	}
	h.shard.Follow(h.holderToken)
	in, ok := h.shard.NextRequest(w.now)
	if !ok {
		return
	}
	shard, process, asker, asked := h.shard, h.process, h.processName(), w.now
	w.send(h, g, func() {
		l := g.shard.Granter()
		if !g.up || g.unresponsive || l == nil {
			return
		}
		answer, ok := l.HandleRequest(h.id, asker, in, w.now)
		if !ok {
			return
		}
		w.send(g, h, func() {
			if h.process == process && h.up && !h.unresponsive {
				shard.HandleResponse(in.ID, in.Token, answer, w.now)
			}
		})
	})
	if w.now.Equal(asked) && w.random.IntN(4) == 0 {
		shard.Abandon(in.ID)
	}
}

// allFaults are what may go wrong, or well again. A seed plays a few of them, so that these meet often.
var allFaults = []func(w *simulation, h *simHost){
	func(w *simulation, h *simHost) { w.restart(h) },
	func(w *simulation, h *simHost) {
		for _, each := range w.hosts {
			w.restart(each)
		}
		w.takeDuty(h)
	},
	func(w *simulation, h *simHost) {
		if h.up = !h.up; h.up {
			w.restart(h)
			return
		}
		w.logf("%s ends", h.id)
	},
	func(w *simulation, h *simHost) {
		h.unresponsive = !h.unresponsive
		w.logf("%s dark %v", h.id, h.unresponsive)
	},
	func(w *simulation, h *simHost) {
		h.partition = w.random.IntN(2)
		w.logf("%s on side %d", h.id, h.partition)
	},
	func(w *simulation, h *simHost) {
		h.storeUnreachable = !h.storeUnreachable
		w.logf("%s storeless %v", h.id, h.storeUnreachable)
	},
	func(w *simulation, _ *simHost) {
		w.lossRate, w.delayRate = w.random.Float64()*0.5, w.random.Float64()*0.5
	},
	func(w *simulation, h *simHost) {
		h.loadPerStep = w.random.Float64() * 3 * w.quota.Rate * stepDuration.Seconds()
		w.logf("%s has %.2f operations a step", h.id, h.loadPerStep)
	},
	func(w *simulation, h *simHost) { w.transferDuty(h) },
	func(w *simulation, h *simHost) { w.splitNetwork(h) },
	func(w *simulation, _ *simHost) {
		for _, each := range w.hosts {
			each.partition, each.unresponsive, each.storeUnreachable = 0, false, false
		}
		w.lossRate, w.delayRate = 0, 0
		w.logf("all is well")
	},
}

// injectFault lets one of the seed's troubles happen.
func (w *simulation) injectFault() {
	h := w.hosts[w.random.IntN(len(w.hosts))]
	w.faults[w.random.IntN(len(w.faults))](w, h)
}

// splitNetwork parts the holder of the duty and some of the hosts from the store and from all others, and lets the
// duty fall to the host on the other side before the holder's lease has ended, or after.
func (w *simulation) splitNetwork(h *simHost) {
	for _, o := range w.hosts {
		o.storeUnreachable = o != h && (o.token == w.dutyToken || w.random.IntN(2) == 0)
		o.partition = 0
		if o.storeUnreachable && w.random.IntN(3) > 0 {
			o.partition = 1
		}
	}
	w.logf("%s is parted from the others", h.id)
	w.transferDuty(h)
}

// transferDuty lets the duty fall to the host: since the holder gave it back, since its entry was taken away and it
// does not know, or since it has not renewed it for as long as a lease lasts.
func (w *simulation) transferDuty(h *simHost) {
	if !h.up || h.unresponsive || h.storeUnreachable {
		return
	}
	var before *simHost
	for _, o := range w.hosts {
		if o.token == w.dutyToken {
			before = o
		}
	}
	if before == h {
		return
	}
	if before != nil && !before.storeUnreachable && w.random.IntN(2) == 0 {
		before.shard.SetGranter(nil) // it gave the duty back
	}
	w.takeDuty(h)
}

// busiestWindow returns how many operations began within the window at most, and when that began.
func (w *simulation) busiestWindow() (most int, at time.Time) {
	from := 0
	for i, t := range w.starts {
		for t.Sub(w.starts[from]) > w.tolerance.Window {
			from++
		}
		if n := i - from + 1; n > most {
			most, at = n, w.starts[from]
		}
	}
	return most, at
}
