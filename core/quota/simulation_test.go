package quota

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"pearlatch/core/account"
)

// simulation simulates hosts, their granters, the duty, and a network that partitions and loses or delays messages. It
// records when operations start. The hosts run the package's own Shard; the simulation only transports messages.
type simulation struct {
	random    *rand.Rand
	tolerance Tolerance
	quota     account.Quota
	now       time.Time
	hosts     []*simHost
	// latestToken is the fencing token of the duty's holder. mayHold and formerGranters are the hosts that it has recorded
	// in the store for its successor.
	latestToken             int64
	mayHold, formerGranters []string
	// lossRate is the fraction of messages that are lost, and delayRate the fraction of the others that are delayed.
	lossRate, delayRate float64
	// delayed holds the messages that are not delivered yet.
	delayed []delayedMessage
	// starts holds the start times of operations.
	starts []time.Time
	// refused is the number of operations that were refused.
	refused int
	trace   []string
	// faults are the kinds of faults that this seed injects.
	faults []func(*simulation, *simHost)
}

// delayedMessage is a message that is delivered at a later time, by calling action.
type delayedMessage struct {
	at     time.Time
	action func()
}

// simHost is a simulated host. A restart gives it a new process with an empty shard.
type simHost struct {
	id      string
	process int
	shard   *Shard
	// up is true while the process runs. unresponsive is true while the machine responds to nobody.
	up, unresponsive bool
	// partition is the network partition that the host is in.
	partition int
	// granterHost and holderToken are the granterHost of the duty and its fencing token, as far as this host knows.
	granterHost  *simHost
	granterToken int64
	// fencingToken is the fencing fencingToken of this host's own duty, or zero.
	fencingToken int64
	// renewedAt is when the host last renewed its duty.
	renewedAt time.Time
	// storeUnreachable is true while the host can't reach the store.
	storeUnreachable bool
	// loadPerStep is the average number of operations that the host's callers request per step.
	loadPerStep float64
}

const stepDuration = 50 * time.Millisecond

func newSimulation(seed uint64, hosts int, q account.Quota, t Tolerance) *simulation {
	s := &simulation{random: rand.New(rand.NewPCG(seed, 7)), quota: q, tolerance: t, now: time.UnixMilli(1_000_000)}
	for i := range hosts {
		s.hosts = append(s.hosts, &simHost{id: fmt.Sprint("h", i), shard: NewShard(), up: true})
		s.mayHold = append(s.mayHold, fmt.Sprint("h", i))
	}
	for _, i := range s.random.Perm(len(allFaults))[:2+s.random.IntN(4)] {
		s.faults = append(s.faults, allFaults[i])
	}
	s.acquireRole(s.hosts[0])
	return s
}

func (s *simulation) logf(format string, args ...any) {
	s.trace = append(s.trace, fmt.Sprintf("%6d ms ", s.now.Sub(time.UnixMilli(1_000_000)).Milliseconds())+fmt.Sprintf(format, args...))
}

// acquireRole makes the host the holder of the duty.
func (s *simulation) acquireRole(h *simHost) {
	s.latestToken++
	s.logf("%s takes the duty with fencing token %d", h.id, s.latestToken)
	h.fencingToken, h.renewedAt = s.latestToken, s.now
	h.shard.SetGranter(NewGranter(s.latestToken, s.tolerance, s.now, s.mayHold, s.formerGranters))
	if !slices.Contains(s.formerGranters, h.id) {
		s.formerGranters = append(s.formerGranters, h.id)
	}
	s.announceGranter()
}

// announceGranter tells the hosts that reach the store who holds the duty.
func (s *simulation) announceGranter() {
	for _, h := range s.hosts {
		for _, o := range s.hosts {
			if h.up && !h.unresponsive && !h.storeUnreachable && o.fencingToken == s.latestToken {
				h.granterHost, h.granterToken = o, o.fencingToken
				if h != o {
					h.shard.SetGranter(nil) // it learns that it has lost the duty
				}
			}
		}
	}
}

// learnGranter lets a host that has just started learn the holder of the duty from another host that it reaches. That
// host's knowledge may be out of date.
func (s *simulation) learnGranter(h *simHost) {
	o := s.hosts[s.random.IntN(len(s.hosts))]
	if h.granterHost == nil && o.granterHost != nil && s.reachable(h, o) {
		h.granterHost, h.granterToken = o.granterHost, o.granterToken
	}
}

func (s *simulation) reachable(a, b *simHost) bool {
	return a.up && b.up && !a.unresponsive && !b.unresponsive && a.partition == b.partition
}

func (s *simulation) delivered() bool { return s.random.Float64() >= s.lossRate }

// restart gives the host a new process.
func (s *simulation) restart(h *simHost) {
	s.logf("%s is restarted", h.id)
	h.process++
	h.shard, h.fencingToken, h.granterHost, h.up = NewShard(), 0, nil, true
}

func (h *simHost) processName() string { return fmt.Sprint(h.id, ".", h.process) }

// advance simulates one step: granters query unreported hosts, callers request operations, and hosts send requests to
// their granters.
func (s *simulation) advance() {
	s.now = s.now.Add(stepDuration)
	s.announceGranter()
	s.deliver()
	for _, g := range s.hosts {
		if g.shard.Granter() != nil && g.up && !g.unresponsive {
			s.runGranter(g)
		}
	}
	for _, i := range s.random.Perm(len(s.hosts)) {
		if h := s.hosts[i]; h.up && !h.unresponsive {
			s.serveCallers(h)
		}
	}
}

// runGranter renews the granter's duty and queries hosts for their holdings.
func (s *simulation) runGranter(g *simHost) {
	granter := g.shard.Granter()
	if g.fencingToken == s.latestToken && !g.storeUnreachable {
		g.renewedAt = s.now
		granter.Extend(s.now)
		s.formerGranters = append(granter.FormerGranters(), g.id)
	}
	for _, h := range s.hosts {
		if !granter.needsReport(h.id, h.processName(), s.now) {
			continue
		}
		switch {
		case s.reachable(g, h):
			holds, ok := h.shard.Report(g.fencingToken, s.now)
			if ok && s.delivered() {
				granter.RecordReport(h.id, h.processName(), holds, s.now)
			}
		case !h.up && !h.unresponsive && !g.unresponsive && g.partition == h.partition:
			granter.RecordExit(h.id, s.now) // the connection is refused
		}
	}
}

// needsReport reports whether the granter must query the host: it has not reported, it has not been heard from for a
// second, or it runs another process.
func (g *Granter) needsReport(id, process string, now time.Time) bool {
	h := g.hosts[id]
	return h != nil && (h.unreported || h.process != process || now.Sub(h.heardAt) > time.Second)
}

// serveCallers simulates the requests of the host's callers in one step, and the host's request to the granter.
func (s *simulation) serveCallers(h *simHost) {
	s.learnGranter(h)
	n := int(h.loadPerStep)
	if s.random.Float64() < h.loadPerStep-float64(n) {
		n++
	}
	waiting := 0
	for range n {
		switch v, _ := h.shard.Begin("a", s.quota, s.now); v {
		case Admitted:
			s.startOperation(h)
		case AskGranter:
			h.shard.AddWaiter("a")
			waiting++
		case Refused:
			s.refused++
		}
	}
	s.request(h)
	for range waiting {
		if v, _ := h.shard.RemoveWaiter("a", s.now); v == Admitted {
			s.startOperation(h)
		} else {
			s.refused++
		}
	}
}

// startOperation records the start of an operation. One in ten action not run, as if its upstream had refused it, and
// returns its token.
func (s *simulation) startOperation(h *simHost) {
	if s.random.IntN(10) == 0 {
		h.shard.ReturnToken("a")
		return
	}
	s.starts = append(s.starts, s.now)
}

// deliver delivers the delayed messages that are due.
func (s *simulation) deliver() {
	var left []delayedMessage
	for _, m := range s.delayed {
		if m.at.After(s.now) {
			left = append(left, m)
			continue
		}
		m.action()
	}
	s.delayed = left
}

// send delivers a message to another host now, later or never.
func (s *simulation) send(from, to *simHost, action func()) {
	switch {
	case !s.reachable(from, to) || !s.delivered():
	case s.random.Float64() < s.delayRate:
		delay := time.Duration(1+s.random.IntN(60)) * stepDuration
		s.delayed = append(s.delayed, delayedMessage{s.now.Add(delay), action})
	default:
		action()
	}
}

// request sends a request to the granter that the host knows. Without an immediate response the host may send another in
// the next step.
func (s *simulation) request(h *simHost) {
	g := h.granterHost
	if g == nil {
		return
	}
	h.shard.Follow(h.granterToken)
	req, ok := h.shard.NextRequest(s.now)
	if !ok {
		return
	}
	shard, process, asker, asked := h.shard, h.process, h.processName(), s.now
	s.send(h, g, func() {
		granter := g.shard.Granter()
		if !g.up || g.unresponsive || granter == nil {
			return
		}
		response, ok := granter.HandleRequest(h.id, asker, req, s.now)
		if !ok {
			return
		}
		s.send(g, h, func() {
			if h.process == process && h.up && !h.unresponsive {
				shard.HandleResponse(req.ID, req.FencingToken, response, s.now)
			}
		})
	})
	if s.now.Equal(asked) && s.random.IntN(4) == 0 {
		shard.Abandon(req.ID)
	}
}

// allFaults holds the kinds of faults and recoveries. Each seed uses a few of them, so that these coincide often.
var allFaults = []func(s *simulation, h *simHost){
	func(s *simulation, h *simHost) { s.restart(h) },
	func(s *simulation, h *simHost) {
		for _, each := range s.hosts {
			s.restart(each)
		}
		s.acquireRole(h)
	},
	func(s *simulation, h *simHost) {
		if h.up = !h.up; h.up {
			s.restart(h)
			return
		}
		s.logf("%s stops", h.id)
	},
	func(s *simulation, h *simHost) {
		h.unresponsive = !h.unresponsive
		s.logf("%s unresponsive: %v", h.id, h.unresponsive)
	},
	func(s *simulation, h *simHost) {
		h.partition = s.random.IntN(2)
		s.logf("%s in partition %d", h.id, h.partition)
	},
	func(s *simulation, h *simHost) {
		h.storeUnreachable = !h.storeUnreachable
		s.logf("%s can't reach the store: %v", h.id, h.storeUnreachable)
	},
	func(s *simulation, _ *simHost) {
		s.lossRate, s.delayRate = s.random.Float64()*0.5, s.random.Float64()*0.5
	},
	func(s *simulation, h *simHost) {
		h.loadPerStep = s.random.Float64() * 3 * s.quota.Rate * stepDuration.Seconds()
		s.logf("%s gets %.2f operations per step", h.id, h.loadPerStep)
	},
	func(s *simulation, h *simHost) { s.transferRole(h) },
	func(s *simulation, h *simHost) { s.splitNetwork(h) },
	func(s *simulation, _ *simHost) {
		for _, each := range s.hosts {
			each.partition, each.unresponsive, each.storeUnreachable = 0, false, false
		}
		s.lossRate, s.delayRate = 0, 0
		s.logf("all faults end")
	},
}

// injectFault injects one of the seed's faults on a random host.
func (s *simulation) injectFault() {
	h := s.hosts[s.random.IntN(len(s.hosts))]
	s.faults[s.random.IntN(len(s.faults))](s, h)
}

// splitNetwork separates the holder of the duty and some other hosts from the store, and some of them also from the
// other hosts. It then moves the duty to the given host, before or after the holder's lease has ended.
func (s *simulation) splitNetwork(h *simHost) {
	for _, o := range s.hosts {
		o.storeUnreachable = o != h && (o.fencingToken == s.latestToken || s.random.IntN(2) == 0)
		o.partition = 0
		if o.storeUnreachable && s.random.IntN(3) > 0 {
			o.partition = 1
		}
	}
	s.logf("%s is separated from some of the other hosts", h.id)
	s.transferRole(h)
}

// transferRole moves the duty to the host: because the holder resigned, because its entry was removed without its
// knowledge, or because it has not renewed its lease in time.
func (s *simulation) transferRole(h *simHost) {
	if !h.up || h.unresponsive || h.storeUnreachable {
		return
	}
	var before *simHost
	for _, o := range s.hosts {
		if o.fencingToken == s.latestToken {
			before = o
		}
	}
	if before == h {
		return
	}
	if before != nil && !before.storeUnreachable && s.random.IntN(2) == 0 {
		before.shard.SetGranter(nil) // it resigned
	}
	s.acquireRole(h)
}

// busiestWindow returns the largest number of operations that started within one window, and the start of that window.
func (s *simulation) busiestWindow() (most int, at time.Time) {
	from := 0
	for i, t := range s.starts {
		for t.Sub(s.starts[from]) > s.tolerance.Window {
			from++
		}
		if n := i - from + 1; n > most {
			most, at = n, s.starts[from]
		}
	}
	return most, at
}
