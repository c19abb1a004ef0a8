package serving

import (
	"encoding/binary"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"pearlatch/core/membership"
)

const (
	// simTick is the resolution of the simulated time, and simCall how long a call to the store or the opening of a feed
	// takes.
	simTick, simCall = 5 * time.Millisecond, 5 * time.Millisecond
	// simHeartbeat, simContact, simWatch, simMaxAge, simTransit and simResponse are the limits that package follow sets.
	simHeartbeat, simContact = 500 * time.Millisecond, 500 * time.Millisecond
	simWatch, simResponse    = time.Second, 500 * time.Millisecond
	simMaxAge, simMaxTransit = 1800 * time.Millisecond, 50 * time.Millisecond
)

// simHost is a host of a simulated fleet.
type simHost struct {
	selector SourceSelector
	self     netip.AddrPort
	sources  UpdateSources
	fleet    *simFleet
	// rejected is true if the store rejects its calls, and unanswered if it does not answer them.
	rejected, unanswered bool
	// contact is when the store confirmed the host's view, and version what the view contains.
	contact time.Duration
	version int
	// step is the present step, which began at started, and due is when the host acts next. received is the version of the
	// last update of the source, which came at updatedAt. following is true once the source has sent a recent update.
	step         SourceStep
	started, due time.Duration
	received     int
	updatedAt    time.Duration
	following    bool
	// receivedContact is the contact of the last update of the source, and path the hosts through which updates come.
	receivedContact time.Duration
	path            []netip.AddrPort
	// watchFailed is true after a call to the store has failed.
	watchFailed bool
	// test is the source that is tested beside the present one until testDue, or nil.
	test    Source
	testDue time.Duration
}

// simFleet is a simulated fleet whose hosts receive updates as their SourceSelectors decide.
type simFleet struct {
	hosts  []*simHost
	random *rand.Rand
	now    time.Duration
	// version is what the store contains, and silent is true while it rejects all hosts.
	version int
	silent  bool
	// feeds and calls count opened feeds and calls to the store.
	feeds, calls int
}

func simAddr(i int) netip.AddrPort {
	var a [4]byte
	binary.BigEndian.PutUint32(a[:], uint32(0x0a000000+i))
	return netip.AddrPortFrom(netip.AddrFrom4(a), 1)
}

// newSimFleet returns a fleet of n hosts in three availability zones that all have seen the store's first version.
func newSimFleet(n int, seed uint64) *simFleet {
	f := &simFleet{random: rand.New(rand.NewPCG(seed, 0)), version: 1}
	hosts := testHosts(n, 3)
	for i := range hosts {
		hosts[i].Peer = simAddr(i)
	}
	table := newTable(hosts)
	for i := range hosts {
		f.hosts = append(f.hosts, &simHost{fleet: f, self: simAddr(i), sources: table.UpdateSources(hosts[i]), version: 1, due: time.Duration(f.random.IntN(1000)) * time.Millisecond})
	}
	return f
}

// Sources implements SourceLists.
func (h *simHost) Sources() []Source {
	return h.sources.Order(h.sampleHosts(SampleSize), ShouldReadStore(len(h.fleet.hosts), h.fleet.random.Float64()))
}

// Sample implements SourceLists.
func (h *simHost) Sample(n int) []Source {
	var out []Source
	for _, o := range h.sampleHosts(n) {
		out = append(out, HostSource{o.Peer})
	}
	return out
}

func (h *simHost) sampleHosts(n int) []membership.Host {
	var out []membership.Host
	for range n {
		if i := h.fleet.random.IntN(len(h.fleet.hosts)); h.fleet.hosts[i] != h {
			out = append(out, membership.Host{Peer: simAddr(i)})
		}
	}
	return out
}

// at returns the host with the address.
func (f *simFleet) at(a netip.AddrPort) *simHost {
	b := a.Addr().As4()
	return f.hosts[binary.BigEndian.Uint32(b[:])-0x0a000000]
}

// run lets the simulated time pass.
func (f *simFleet) run(d time.Duration) {
	for end := f.now + d; f.now < end; f.now += simTick {
		for _, h := range f.hosts {
			if f.now >= h.due {
				h.act()
			}
		}
	}
}

// time returns the simulated time as a time.Time.
func (f *simFleet) time() time.Time { return time.Unix(1000, 0).Add(f.now) }

// act carries out the host's present step, or begins the next one.
func (h *simHost) act() {
	f := h.fleet
	switch s := h.step.(type) {
	case nil:
		h.testPreferred()
		h.step, h.started, h.updatedAt = h.selector.Next(h, f.random.Float64()), f.now, -time.Hour
		h.due = f.now + simCall
		if follow, ok := h.step.(FollowSource); ok {
			f.countFeed(follow.Source)
		}
	case AwaitSource:
		if f.now-h.started >= s.For {
			h.selector.Waited(h, f.time(), f.random.Float64())
			h.step = nil
		}
	case FollowSource:
		switch source := s.Source.(type) {
		case StoreSource:
			h.watch()
		case HostSource:
			h.receive(source.Addr, s)
		}
	}
}

// countFeed counts a feed if the source is a host.
func (f *simFleet) countFeed(s Source) {
	if _, ok := s.(HostSource); ok {
		f.feeds++
	}
}

// age returns the age of the host's view.
func (h *simHost) age() time.Duration { return h.fleet.now - h.contact }

// watch carries out a watch of the store, which lasts until something changes.
func (h *simHost) watch() {
	f := h.fleet
	h.due = f.now + simTick
	wait := simWatch
	if h.watchFailed || h.age() > simMaxAge {
		wait = 0
	}
	followed := f.now - h.started
	switch {
	case h.unanswered && followed < wait+simResponse:
		return
	case h.unanswered || f.silent || h.rejected:
		f.calls++
		h.watchFailed = true
		h.fail()
	case h.version == f.version && followed < wait:
		return
	default:
		f.calls++
		h.watchFailed = false
		h.contact, h.version, h.path = f.now, f.version, nil
		h.selector.Updated(f.time(), f.random.Float64())
		h.testPreferred()
		h.step = nil
	}
}

// fail records that the present source has failed.
func (h *simHost) fail() {
	h.selector.Failed(h, h.fleet.time(), h.fleet.random.Float64())
	h.step, h.following, h.received = nil, false, 0
}

// receive receives an update from the host at the address if it has one.
func (h *simHost) receive(addr netip.AddrPort, s FollowSource) {
	f := h.fleet
	from := f.at(addr)
	h.due = f.now + simTick
	if from.version == h.received && from.contact-h.receivedContact < simContact && f.now-h.updatedAt < simHeartbeat {
		return
	}
	h.received, h.receivedContact, h.updatedAt = from.version, from.contact, f.now
	contact := from.contact - simMaxTransit
	h.contact, h.version = max(h.contact, contact), max(h.version, from.version)
	switch {
	case f.now-contact <= simMaxAge && !slices.Contains(from.path, h.self):
		h.path = append([]netip.AddrPort{addr}, from.path...)
		h.selector.Updated(f.time(), f.random.Float64())
		h.following = true
	case h.following || f.now-h.started >= s.Patience:
		h.fail()
		return
	}
	if h.testPreferred() {
		h.step, h.following, h.received = nil, false, 0
	}
}

// testPreferred tests the preferred source if a test is due, and returns true if one has succeeded.
func (h *simHost) testPreferred() bool {
	f := h.fleet
	if h.test == nil {
		source, due := h.selector.SourceToTest(h, f.time(), f.random.Float64())
		if !due {
			return false
		}
		h.test, h.testDue = source, f.now+2*simCall
		if _, ok := source.(StoreSource); ok && h.unanswered {
			h.testDue = f.now + simResponse
		}
		f.countFeed(source)
		return false
	}
	if f.now < h.testDue {
		return false
	}
	works := h.works(h.test)
	h.test = nil
	if works {
		h.selector.Return()
	}
	return works
}

// works reports whether the source has recent updates.
func (h *simHost) works(s Source) bool {
	f := h.fleet
	switch s := s.(type) {
	case HostSource:
		from := f.at(s.Addr)
		return f.now-from.contact+simMaxTransit <= simMaxAge && !slices.Contains(from.path, h.self)
	default:
		return !f.silent && !h.rejected && !h.unanswered
	}
}

// reject makes the store reject the given share of the hosts, or leave them unanswered: those that read it first, and others
// at random.
func (f *simFleet) reject(share float64, unanswered bool) {
	n := int(share * float64(len(f.hosts)))
	cut := func(h *simHost) {
		h.rejected, h.unanswered = !unanswered, unanswered
		n--
	}
	for _, h := range f.hosts {
		if h.sources.StoreFirst {
			cut(h)
		}
	}
	for _, i := range f.random.Perm(len(f.hosts)) {
		if h := f.hosts[i]; n > 0 && !h.rejected && !h.unanswered {
			cut(h)
		}
	}
}

// behind returns how many hosts lack the store's version.
func (f *simFleet) behind() int {
	n := 0
	for _, h := range f.hosts {
		if h.version < f.version {
			n++
		}
	}
	return n
}

// Guards against hosts that act on a configuration which a newer one has replaced: the store rejects up to half of them, or
// does not answer these, and among them all that forward its updates, so that they have only one another's old updates.
func TestRejectedHostsFindRecentUpdates(t *testing.T) {
	for _, c := range []struct {
		hosts, versions int
		seeds           uint64
		unanswered      bool
	}{{75, 10, 12, false}, {1000, 1, 3, false}, {75, 10, 12, true}, {1000, 4, 4, true}} {
		for seed := range c.seeds {
			n := c.hosts
			f := newSimFleet(n, seed)
			f.run(5 * time.Second)
			f.reject([]float64{0.1, 0.34, 0.5}[seed%3], c.unanswered)
			f.version++
			f.run(3 * time.Second)
			if b := f.behind(); b > 0 {
				t.Errorf("%d hosts, seed %d, unanswered %t: %d are behind after 3 s", n, seed, c.unanswered, b)
			}
			for range c.versions {
				f.run(time.Second + time.Duration(f.random.IntN(1000))*time.Millisecond)
				f.version++
				f.run(3 * time.Second)
				if b := f.behind(); b > 0 {
					t.Errorf("%d hosts, seed %d, unanswered %t: %d are behind a later version after 3 s", n, seed, c.unanswered, b)
				}
			}
		}
	}
}

// Guards against a storm of feeds while the store rejects all hosts, and against hosts that look elsewhere too seldom to
// notice that it serves half of them again.
func TestFeedsAreBoundedWhileTheStoreRejectsAll(t *testing.T) {
	// A host spends at most 3 KB/s for control. A feed that is opened in vain takes 75 bytes and some ten packets with
	// headers of 40 bytes, and a host serves as many as it opens.
	const maxFeedsPerSecond = 3
	for _, n := range []int{75, 1000} {
		f := newSimFleet(n, 1)
		f.run(5 * time.Second)
		f.silent = true
		f.run(20 * time.Second)
		f.feeds, f.calls = 0, 0
		const observed = 20 * time.Second
		f.run(observed)
		perHost := func(count int) float64 { return float64(count) / float64(n) / observed.Seconds() }
		t.Logf("%d hosts: %.2f feeds and %.3f store calls a host and second", n, perHost(f.feeds), perHost(f.calls))
		if got := perHost(f.feeds); got > maxFeedsPerSecond {
			t.Errorf("%d hosts: %.2f feeds a host and second, want %d at most", n, got, maxFeedsPerSecond)
		}
		f.reject(0.5, false)
		f.silent = false
		f.version++
		f.run(3 * time.Second)
		if b := f.behind(); b > 0 {
			t.Errorf("%d hosts: %d are behind 3 s after the store serves half of the hosts again", n, b)
		}
	}
}

// listedSources are the sources of a host that reads the store first.
type listedSources []Source

func (l listedSources) Sources() []Source { return l }

func (listedSources) Sample(int) []Source { return nil }

// Guards against a host that leaves a source with recent updates for a store that still does not answer: its view, and those
// of the hosts that follow it, grew old with each attempt.
func TestWorkingSourceIsKeptUntilThePreferredOneWorks(t *testing.T) {
	other := HostSource{simAddr(7)}
	lists, now := listedSources{StoreSource{}, other}, time.Unix(1000, 0)
	var s SourceSelector
	s.Next(lists, 0)
	s.Failed(lists, now, 0)
	tests := 0
	for range 100 {
		want := FollowSource{Source: other, Alternative: true}
		if got := s.Next(lists, 0); got != SourceStep(want) {
			t.Fatalf("%s after the store failed: %+v, want %+v", now.Sub(time.Unix(1000, 0)), got, want)
		}
		s.Updated(now, 0)
		if source, due := s.SourceToTest(lists, now, 0); due {
			tests++
			if source != Source(StoreSource{}) {
				t.Errorf("%+v is tested", source)
			}
		}
		now = now.Add(100 * time.Millisecond)
	}
	if want := int(10 * time.Second / AlternativeDuration); tests != want {
		t.Errorf("%d tests in 10 s, want %d", tests, want)
	}
	s.Return()
	if got := s.Next(lists, 0); got != SourceStep(FollowSource{Source: StoreSource{}}) {
		t.Errorf("%+v after the store has answered a test", got)
	}
}
