package joining

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"pearlatch/core/serving"
)

// fleet simulates hosts that start together, the link of a store that lists hosts, and the links of the hosts.
type fleet struct {
	random *rand.Rand
	hosts  []*simHost
	// listed are the hosts that the store lists. They need not be running.
	listed []netip.AddrPort
	// refusedShare is the share of hosts whose requests the store refuses.
	refusedShare float64
	// reads are the times at which hosts read the whole store.
	reads []time.Duration
	// storeCalls are the calls that the store is answering. They share its link.
	storeCalls []*storeCall
	now        time.Duration
}

// simHost is a simulated host.
type simHost struct {
	addr     netip.AddrPort
	joiner   *Joiner
	nextStep time.Duration
	// An informed host has the contents from informedAt on, and passes them on to at most maxTransfers hosts at
	// once. A dead host does not respond. The store refuses the requests of a refused host.
	informed, dead, refused bool
	informedAt              time.Duration
	transferEnds            []time.Duration
	backoffs                int
	// reading is true while the host reads from the store, and readsAll while it reads the contents.
	reading, readsAll bool
	// The host waits until waitUntil for the contents that the host waitsFor reads, which serves it as one of at most
	// maxWaiting.
	waitsFor  *simHost
	waitUntil time.Duration
	waiting   int
	// receivers are the hosts that have received the contents from this one.
	receivers Receivers
}

// storeCall is the read of a page. pages is the number of pages that are left, with this one, and attempts how often this
// one was tried.
type storeCall struct {
	host            *simHost
	pages, attempts int
	left            float64 // bytes
	deadline        time.Duration
	whole, first    bool
}

const (
	roundTrip    = 2 * time.Millisecond
	transferTime = 300 * time.Millisecond
	maxTransfers = 8
	maxWaiting   = 48
	maxWait      = 300 * time.Millisecond
	tick         = 10 * time.Millisecond

	// The users' store answers after 4 ms over a link of 1,000 Mbit/s, with pages of 500 items and some 200 bytes an item.
	// Their hosts have links of 20 Mbit/s.
	storeDelay    = 4 * time.Millisecond
	storeBytes    = 125e6 // per second
	hostBytes     = 2.5e6 // per second
	itemsPerPage  = 500
	bytesPerItem  = 200
	keysPerHost   = 6
	pageTimeout   = 1500 * time.Millisecond
	pageAttempts  = 4
	pageRetryTime = 90 * time.Millisecond
)

func hostAddr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 1)
}

func newFleet(seed uint64, n, informed int, listed bool) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 7))}
	seeds := []netip.AddrPort{hostAddr(0), hostAddr(1), hostAddr(2)}
	for i := range n {
		s := &simHost{addr: hostAddr(i), informed: i >= n-informed, nextStep: time.Duration(f.random.IntN(300)) * time.Millisecond}
		s.joiner = New(s.addr, seeds, f.random.Float64)
		f.hosts = append(f.hosts, s)
		if listed {
			f.listed = append(f.listed, s.addr)
		}
	}
	return f
}

// run simulates until all hosts are informed. It returns the time that this took, and false if it exceeds a minute.
func (f *fleet) run() (time.Duration, bool) {
	for _, s := range f.hosts {
		s.refused = f.random.Float64() < f.refusedShare
	}
	waiting := slices.DeleteFunc(slices.Clone(f.hosts), func(s *simHost) bool { return s.informed || s.dead })
	for f.now = 0; f.now < 60*time.Second; f.now += tick {
		f.transfer()
		for _, s := range waiting {
			f.endWait(s)
			for s.nextStep <= f.now && !s.informed && !s.reading && s.waitsFor == nil {
				f.step(s)
			}
		}
		waiting = slices.DeleteFunc(waiting, func(s *simHost) bool { return s.informed })
		if len(waiting) == 0 {
			return f.now, true
		}
	}
	return f.now, false
}

// step executes the next step of a host.
func (f *fleet) step(s *simHost) {
	switch step := s.joiner.Next().(type) {
	case Backoff:
		s.backoffs++
		s.nextStep += step.For
	case ListHosts:
		f.readStore(s, len(f.listed), false)
	case ReadStore:
		f.reads = append(f.reads, f.now)
		f.readStore(s, keysPerHost*len(f.hosts), true)
	case AskHost:
		s.nextStep += roundTrip
		from := f.hosts[int(step.Addr.Addr().As4()[2])<<8|int(step.Addr.Addr().As4()[3])]
		if from.readsAll && !from.dead && from.waiting < maxWaiting {
			from.waiting++
			s.waitsFor, s.waitUntil = from, f.now+maxWait
			return
		}
		f.ask(s, from)
	}
}

// endWait ends the wait of a host for the contents that another one reads, if that has read them or the wait is too long.
func (f *fleet) endWait(s *simHost) {
	from := s.waitsFor
	if from == nil || from.readsAll && f.now < s.waitUntil {
		return
	}
	from.waiting--
	s.waitsFor, s.nextStep = nil, f.now
	f.ask(s, from)
}

// ask lets a host ask another one for the contents.
func (f *fleet) ask(s, from *simHost) {
	from.transferEnds = slices.DeleteFunc(from.transferEnds, func(until time.Duration) bool { return until < f.now })
	switch {
	case from.dead:
		s.nextStep += 300 * time.Millisecond
	case !from.informed || from.informedAt > f.now:
		s.joiner.Reached()
	case len(from.transferEnds) < maxTransfers:
		from.transferEnds = append(from.transferEnds, f.now+transferTime)
		from.receivers.Add(s.addr, f.time())
		s.nextStep += transferTime
		f.markInformed(s)
	default:
		s.joiner.Redirect(from.receivers.Sample(4, f.time(), f.random.Float64))
	}
}

// readStore begins to read a number of items from the store.
func (f *fleet) readStore(s *simHost, items int, whole bool) {
	s.nextStep += 2 * roundTrip
	if s.refused {
		return
	}
	s.reading, s.readsAll = true, whole
	c := &storeCall{host: s, pages: max(1, (items+itemsPerPage-1)/itemsPerPage), whole: whole, first: true}
	f.beginPage(c, items)
	f.storeCalls = append(f.storeCalls, c)
}

// beginPage begins a page with up to the given number of items.
func (f *fleet) beginPage(c *storeCall, items int) {
	c.attempts++
	c.left = bytesPerItem*float64(min(items, itemsPerPage)) + storeDelay.Seconds()*hostBytes
	c.deadline = f.now + pageTimeout
}

// transfer moves the bytes of a tick over the store's link, in equal parts for all calls.
func (f *fleet) transfer() {
	part := min(storeBytes/float64(max(1, len(f.storeCalls))), hostBytes) * tick.Seconds()
	f.storeCalls = slices.DeleteFunc(f.storeCalls, func(c *storeCall) bool {
		c.left -= part
		switch {
		case c.left > 0 && f.now < c.deadline:
			return false
		case c.left > 0 && (c.first || c.attempts == pageAttempts):
			f.endRead(c, false)
			return true
		case c.left > 0:
			f.beginPage(c, itemsPerPage)
			c.deadline += pageRetryTime
			return false
		case c.pages > 1:
			c.pages, c.first, c.attempts = c.pages-1, false, 0
			f.beginPage(c, itemsPerPage)
			return false
		}
		f.endRead(c, true)
		return true
	})
}

// endRead ends the host's read.
func (f *fleet) endRead(c *storeCall, ok bool) {
	s := c.host
	s.reading, s.readsAll, s.nextStep = false, false, f.now
	switch {
	case ok && c.whole:
		f.markInformed(s)
	case ok:
		s.joiner.SetListedHosts(f.listed)
	}
}

// time returns the time of the simulation.
func (f *fleet) time() time.Time { return time.Unix(0, 0).Add(f.now) }

func (f *fleet) markInformed(s *simHost) {
	s.informed, s.informedAt = true, s.nextStep
	if !slices.Contains(f.listed, s.addr) {
		f.listed = append(f.listed, s.addr)
	}
}

// maxReadsWithin returns the maximum number of store reads within any span of this length.
func (f *fleet) maxReadsWithin(span time.Duration) int {
	most := 0
	for i, from := range f.reads {
		n := 0
		for _, at := range f.reads[i:] {
			if at < from+span {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// killSeeds ends the hosts that are the seeds of all others.
func killSeeds(f *fleet) {
	for _, s := range f.hosts[:3] {
		s.dead = true
	}
}

// All hosts of a fleet start, half of them restart, all restart while the store still lists them, the seeds are
// gone, or the store refuses a third of the hosts. Each host must have the contents of the store within seconds.
// The number of hosts that read the whole store within a second must not exceed what the store can serve,
// whatever the size of the fleet. Guards against hosts that saturate the store's link with lists of hosts, so that none
// can read its contents.
func TestFleetStartLimitsStoreReads(t *testing.T) {
	for _, c := range []struct {
		name     string
		informed float64
		listed   bool
		change   func(*fleet)
		within   time.Duration
	}{
		{"first start", 0, false, nil, 5 * time.Second},
		{"half of the hosts restart", 0.45, true, nil, 4 * time.Second},
		{"all hosts restart", 0, true, nil, 5 * time.Second},
		{"first start with dead seeds", 0, false, killSeeds, 10 * time.Second},
		{"all hosts restart with dead seeds", 0, true, killSeeds, 10 * time.Second},
		{"the store refuses a third of the hosts", 0, true, func(f *fleet) { f.refusedShare = 0.33 }, 8 * time.Second},
	} {
		for _, n := range []int{100, 1000, 2000} {
			t.Run(fmt.Sprintf("%s/%d", c.name, n), func(t *testing.T) {
				f := newFleet(uint64(n), n, int(c.informed*float64(n)), c.listed)
				if c.change != nil {
					c.change(f)
				}
				took, ok := f.run()
				if !ok || took > c.within {
					t.Errorf("all hosts informed after %s, want at most %s", took, c.within)
				}
				if most := f.maxReadsWithin(time.Second); most > 5*serving.TargetStoreReaders {
					t.Errorf("%d hosts read the store within a second, want at most %d", most, 5*serving.TargetStoreReaders)
				}
				t.Logf("informed after %s, %d reads, at most %d within a second", took, len(f.reads), f.maxReadsWithin(time.Second))
			})
		}
	}
}

// In a small fleet, a host whose seeds do not answer lists the hosts and then reads the store, without asking the listed
// hosts first: they may be starting as well.
func TestSmallFleetReadsStore(t *testing.T) {
	f := newFleet(1, 8, 0, true)
	for _, s := range f.hosts[3:] {
		asked := 0
		for asked < 3 {
			if _, ok := s.joiner.Next().(AskHost); !ok {
				t.Fatalf("%s asks %d seeds first, want 3", s.addr, asked)
			}
			asked++
		}
		if _, ok := s.joiner.Next().(ListHosts); !ok {
			t.Errorf("%s does not list the hosts after its seeds", s.addr)
		}
		s.joiner.SetListedHosts(f.listed)
		if _, ok := s.joiner.Next().(ReadStore); !ok {
			t.Errorf("%s does not read the store first", s.addr)
		}
	}
}

// A host without seeds and a host that is a seed read the store first, and ask other hosts if that fails.
func TestSeedsReadStore(t *testing.T) {
	for _, j := range []*Joiner{New(hostAddr(1), []netip.AddrPort{hostAddr(0), hostAddr(1)}, rand.Float64), New(hostAddr(1), nil, rand.Float64)} {
		if _, ok := j.Next().(ReadStore); !ok {
			t.Error("the first step does not read the store")
		}
		for {
			if _, ok := j.Next().(Backoff); ok {
				break
			}
		}
	}
}

// Guards against a host that does not ask the hosts that a busy host named, since it then learned which hosts the store
// lists.
func TestReferralsAreAskedAfterTheListIsKnown(t *testing.T) {
	addr := func(i byte) netip.AddrPort { return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, i}), 1) }
	referrals := []netip.AddrPort{addr(8), addr(9)}
	j := New(addr(1), []netip.AddrPort{addr(2)}, func() float64 { return 0.5 })
	redirected := false
	for range 20 {
		switch step := j.Next().(type) {
		case ListHosts:
			j.SetListedHosts([]netip.AddrPort{addr(3), addr(4), addr(5)})
		case AskHost:
			if redirected && slices.Contains(referrals, step.Addr) {
				return
			}
			j.Redirect(referrals)
			redirected = true
		}
	}
	t.Error("no host that was named has been asked")
}
