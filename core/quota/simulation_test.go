package quota

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"pearlatch/core/account"
	"pearlatch/core/quota/reserve"
	"pearlatch/core/quota/share"
)

// simulation simulates hosts, their granters, the coordinator role, and a network that partitions and loses or delays
// messages. It records when operations start. The hosts run the package's own Shard; the simulation only transports messages.
type simulation struct {
	random    *rand.Rand
	tolerance Tolerance
	quota     account.Quota
	// shares are the portion shares of granters. Each uses one of them.
	shares []share.Portions
	now    time.Time
	hosts  []*simHost
	// latestToken is the fencing token of the present coordinator. mayHold and formerGranters are the hosts that it has
	// recorded in the store for its successor.
	latestToken             int64
	mayHold, formerGranters []string
	// recordedHolders are the hosts that may hold reserves according to the record. Any may if it is nil.
	recordedHolders []string
	// lossRate is the fraction of messages that are lost, and delayRate the fraction of the others that are delayed.
	lossRate, delayRate float64
	// delayed holds the messages that are not delivered yet.
	delayed []delayedMessage
	// starts holds the start times of operations.
	starts []time.Time
	// refused is the number of operations that were refused.
	refused int
	trace   []string
	// reserveHolders are the hosts that hold reserves.
	reserveHolders []*simHost
	// listed is the number of times that a granter recorded the hosts that may hold reserves.
	listed int
	// given is the number of operations that began with a token of a reserve holder.
	given int
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
	// gone is true if the host never responds again.
	gone bool
	// partition is the network partition that the host is in.
	partition int
	// granterHost is the host that this host takes for the granter, and granterToken that host's fencing token.
	granterHost  *simHost
	granterToken int64
	// fencingToken is the one with which this host became coordinator, or zero if it did not.
	fencingToken int64
	// renewedAt is when the host last renewed its role.
	renewedAt time.Time
	// storeUnreachable is true while the host can't reach the store.
	storeUnreachable bool
	// reserveHolders are the hosts that this host takes for the reserve holders.
	reserveHolders []*simHost
	// lastReserve is the ID of the last request to a reserve holder.
	lastReserve uint64
	// waiting holds the operations that wait for a token.
	waiting []simWaiter
	// loadPerStep is the average number of operations that the host's callers request per step.
	loadPerStep float64
}

// simWaiter is an operation that waits for a token until a time.
type simWaiter struct {
	ticket uint64
	until  time.Time
}

const stepDuration = 50 * time.Millisecond

func newSimulation(seed uint64, hosts int, q account.Quota, t Tolerance, shares ...share.Portions) *simulation {
	s := &simulation{random: rand.New(rand.NewPCG(seed, 7)), quota: q, tolerance: t, shares: shares, now: time.UnixMilli(1_000_000)}
	for i := range hosts {
		s.hosts = append(s.hosts, &simHost{id: fmt.Sprint("h", i), shard: NewShard(), up: true})
		s.mayHold = append(s.mayHold, fmt.Sprint("h", i))
	}
	for _, i := range s.random.Perm(len(allFaults))[:2+s.random.IntN(4)] {
		s.faults = append(s.faults, allFaults[i])
	}
	s.chooseReserveHolders()
	if seed%4 > 0 {
		s.recordedHolders = []string{} // a record of this version, before there are reserves
	}
	s.acquireRole(s.hosts[0])
	return s
}

func (s *simulation) logf(format string, args ...any) {
	s.trace = append(s.trace, fmt.Sprintf("%6d ms ", s.now.Sub(time.UnixMilli(1_000_000)).Milliseconds())+fmt.Sprintf(format, args...))
}

// acquireRole makes the host the coordinator.
func (s *simulation) acquireRole(h *simHost) {
	s.latestToken++
	s.logf("%s acquires the role with fencing token %d", h.id, s.latestToken)
	h.fencingToken, h.renewedAt = s.latestToken, s.now
	h.shard.SetGranter(NewGranter(s.latestToken, s.tolerance, s.now, s.mayHold, s.formerGranters))
	h.shard.Granter().SetReserveHolders(s.recordedHolders)
	if len(s.shares) > 0 {
		h.shard.Granter().SetPortionShare(s.shares[int(s.latestToken)%len(s.shares)])
	}
	if !slices.Contains(s.formerGranters, h.id) {
		s.formerGranters = append(s.formerGranters, h.id)
	}
	s.announceGranter()
}

// chooseReserveHolders makes up to three hosts the reserve holders. In some seeds there are none.
func (s *simulation) chooseReserveHolders() {
	s.reserveHolders = nil
	for _, i := range s.random.Perm(len(s.hosts))[:s.random.IntN(reserve.MaxHolders+1)] {
		s.reserveHolders = append(s.reserveHolders, s.hosts[i])
		s.logf("%s holds reserves", s.hosts[i].id)
	}
}

// announceReserveHolders tells the hosts that reach the store which hosts hold reserves.
func (s *simulation) announceReserveHolders() {
	for _, h := range s.hosts {
		if h.up && !h.unresponsive && !h.storeUnreachable {
			h.reserveHolders = s.reserveHolders
		}
		fraction := 0.0
		var others []string
		for _, o := range h.reserveHolders {
			if o == h {
				fraction = ReserveFraction(len(h.reserveHolders))
			} else {
				others = append(others, o.id)
			}
		}
		h.shard.SetReserve("a", s.quota, fraction, s.now)
		h.shard.SetReserveHolders(others)
	}
}

// announceGranter tells the hosts that reach the store which host is the coordinator.
func (s *simulation) announceGranter() {
	for _, h := range s.hosts {
		for _, o := range s.hosts {
			if h.up && !h.unresponsive && !h.storeUnreachable && o.fencingToken == s.latestToken {
				h.granterHost, h.granterToken = o, o.fencingToken
				if h != o {
					h.shard.SetGranter(nil) // it learns that it has lost the role
				}
			}
		}
	}
}

// learnGranter lets a host that has just started learn the granter from another host that it reaches. That host's
// knowledge may be out of date.
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
	h.shard, h.fencingToken, h.granterHost, h.up, h.waiting = NewShard(), 0, nil, true, nil
}

func (h *simHost) processName() string { return fmt.Sprint(h.id, ".", h.process) }

// advance simulates one step: granters query unreported hosts, callers request operations, and hosts send requests to
// their granters.
func (s *simulation) advance() {
	s.now = s.now.Add(stepDuration)
	for _, h := range s.hosts {
		h.unresponsive = h.unresponsive || h.gone
	}
	s.announceGranter()
	s.announceReserveHolders()
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

// runGranter renews the granter's role and queries hosts for their holdings.
func (s *simulation) runGranter(g *simHost) {
	granter := g.shard.Granter()
	if g.fencingToken == s.latestToken && !g.storeUnreachable {
		g.renewedAt = s.now
		granter.Extend(s.now)
		s.formerGranters = append(granter.FormerGranters(), g.id)
	}
	if granter.ReserveHolders().Due(s.now) {
		s.recordReserveHolders(g)
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

// recordReserveHolders records the hosts that may hold reserves. The write of a host that does not reach the store, or no
// longer has the role, fails. Others fail at times, or succeed without the host's knowledge.
func (s *simulation) recordReserveHolders(g *simHost) {
	ids := g.shard.Granter().ReserveHolders().Prepare(s.now)
	if g.fencingToken != s.latestToken || g.storeUnreachable || !s.delivered() {
		return
	}
	s.recordedHolders = ids
	if s.delivered() {
		g.shard.Granter().ReserveHolders().Recorded(ids)
		s.listed++
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
	for range n {
		until := s.now.Add(time.Duration(s.random.IntN(8)) * stepDuration)
		switch v, _ := h.shard.Begin("a", s.quota, s.now, until); v {
		case Admitted:
			s.startOperation(h)
		case Wait:
			h.waiting = append(h.waiting, simWaiter{h.shard.AddWaiter("a"), until})
		case Refused:
			s.refused++
		}
	}
	s.request(h)
	s.decide(h)
	s.requestReserve(h)
	s.requestReserve(h)
	s.decide(h)
}

// decide ends the wait of the host's operations that are admitted or refused.
func (s *simulation) decide(h *simHost) {
	h.waiting = slices.DeleteFunc(h.waiting, func(w simWaiter) bool {
		switch v, _ := h.shard.Decide("a", w.ticket, s.now, w.until); v {
		case Admitted:
			s.startOperation(h)
			return true
		case Refused:
			s.refused++
			return true
		}
		return false
	})
}

// requestReserve sends a request to the reserve holder that the host asks next. Without an immediate reply the host may
// send another in the next step.
func (s *simulation) requestReserve(h *simHost) {
	id, req, ok := h.shard.NextReserveRequest(s.now)
	if !ok {
		if s.random.IntN(4) == 0 {
			h.shard.AbandonReserve(h.lastReserve, s.now)
		}
		return
	}
	o := s.hosts[slices.IndexFunc(s.hosts, func(o *simHost) bool { return o.id == id })]
	h.lastReserve = req.ID
	shard, process := h.shard, h.process
	s.send(h, o, func() {
		if !o.up || o.unresponsive {
			return
		}
		reply := o.shard.Give(req, func(string) (account.Quota, bool) { return s.quota, true }, s.now)
		s.send(o, h, func() {
			if h.process == process && h.up && !h.unresponsive {
				s.given += shard.HandleReserveReply(req.ID, reply, s.now)
			}
		})
	})
}

// startOperation records the start of an operation. One in ten operations is not run, as if its upstream had refused it,
// and returns its token.
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
		shard.Abandon(req.ID, s.now)
	}
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
