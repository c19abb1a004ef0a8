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

// fleet is a fleet whose hosts start together, before a store that tells who is listed.
type fleet struct {
	random *rand.Rand
	hosts  []*simHost
	// listed are those that the store lists, which need not run.
	listed []netip.AddrPort
	// refusedShare is the share of hosts that the store turns refusedShare.
	refusedShare float64
	// reads are the moments at which a host read the whole store.
	reads []time.Duration
	now   time.Duration
}

type simHost struct {
	addr     netip.AddrPort
	joiner   *Joiner
	nextStep time.Duration
	// informed hosts pass on from knows on, to so many at once; dead ones answer nothing.
	informed, dead, refused bool
	informedAt              time.Duration
	transferEnds            []time.Duration
	pauses                  int
}

const (
	roundTrip    = 2 * time.Millisecond
	transferTime = 300 * time.Millisecond
	readTime     = 400 * time.Millisecond
	maxTransfers = 8
	tick         = 10 * time.Millisecond
)

func hostAddr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 1)
}

func newFleet(seed uint64, n, informed int, listed bool) *fleet {
	w := &fleet{random: rand.New(rand.NewPCG(seed, 7))}
	seeds := []netip.AddrPort{hostAddr(0), hostAddr(1), hostAddr(2)}
	for i := range n {
		s := &simHost{addr: hostAddr(i), informed: i >= n-informed, nextStep: time.Duration(w.random.IntN(300)) * time.Millisecond}
		s.joiner = New(s.addr, seeds, w.random.Float64)
		w.hosts = append(w.hosts, s)
		if listed {
			w.listed = append(w.listed, s.addr)
		}
	}
	return w
}

// run runs until all are informed, and returns how long that took, or false if it took over half a minute.
func (w *fleet) run() (time.Duration, bool) {
	for _, s := range w.hosts {
		s.refused = w.random.Float64() < w.refusedShare
	}
	waiting := slices.DeleteFunc(slices.Clone(w.hosts), func(s *simHost) bool { return s.informed || s.dead })
	for w.now = 0; w.now < 30*time.Second; w.now += tick {
		for _, s := range waiting {
			for s.nextStep <= w.now && !s.informed {
				w.step(s)
			}
		}
		waiting = slices.DeleteFunc(waiting, func(s *simHost) bool { return s.informed })
		if len(waiting) == 0 {
			return w.now, true
		}
	}
	return w.now, false
}

func (w *fleet) step(s *simHost) {
	switch step := s.joiner.Next().(type) {
	case Pause:
		s.pauses++
		s.nextStep += step.For
	case ListHosts:
		s.nextStep += 2 * roundTrip
		if !s.refused {
			s.joiner.SetListedHosts(w.listed)
		}
	case ReadStore:
		w.reads = append(w.reads, w.now)
		s.nextStep += readTime
		if !s.refused {
			w.markInformed(s)
		}
	case AskHost:
		s.nextStep += roundTrip
		from := w.hosts[int(step.Addr.Addr().As4()[2])<<8|int(step.Addr.Addr().As4()[3])]
		from.transferEnds = slices.DeleteFunc(from.transferEnds, func(until time.Duration) bool { return until < w.now })
		switch {
		case from.dead:
			s.nextStep += 300 * time.Millisecond
		case !from.informed || from.informedAt > w.now:
		case len(from.transferEnds) < maxTransfers:
			from.transferEnds = append(from.transferEnds, w.now+transferTime)
			s.nextStep += transferTime
			w.markInformed(s)
		default:
			s.joiner.Redirect(w.sampleInformed())
		}
	}
}

// sampleInformed returns informed hosts, as a busy one names them.
func (w *fleet) sampleInformed() []netip.AddrPort {
	var out []netip.AddrPort
	for range 20 {
		if s := w.hosts[w.random.IntN(len(w.hosts))]; s.informed && len(out) < 4 {
			out = append(out, s.addr)
		}
	}
	return out
}

func (w *fleet) markInformed(s *simHost) {
	s.informed, s.informedAt = true, s.nextStep
	if !slices.Contains(w.listed, s.addr) {
		w.listed = append(w.listed, s.addr)
	}
}

// maxReadsWithin returns the most reads of the store in a second.
func (w *fleet) maxReadsWithin(span time.Duration) int {
	most := 0
	for i, from := range w.reads {
		n := 0
		for _, at := range w.reads[i:] {
			if at < from+span {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// All hosts of a fleet start, or half of them start again, or all do while their entries stand, or the seeds are gone, or
// the store turns a third away. Each must learn what is in the store within seconds, and no more hosts must read all of it
// at a time than the store carries, however large the fleet is.
func TestFleetStartLimitsStoreReads(t *testing.T) {
	for _, c := range []struct {
		name     string
		informed float64
		listed   bool
		change   func(*fleet)
		within   time.Duration
	}{
		{"first start", 0, false, nil, 5 * time.Second},
		{"half start again", 0.45, true, nil, 4 * time.Second},
		{"all start again", 0, true, nil, 5 * time.Second},
		{"first start with dead seeds", 0, false, func(w *fleet) {
			for _, s := range w.hosts[:3] {
				s.dead = true
			}
		}, 10 * time.Second},
		{"the store turns a third away", 0, true, func(w *fleet) { w.refusedShare = 0.33 }, 8 * time.Second},
	} {
		for _, n := range []int{100, 1000, 2000} {
			t.Run(fmt.Sprintf("%s/%d", c.name, n), func(t *testing.T) {
				w := newFleet(uint64(n), n, int(c.informed*float64(n)), c.listed)
				if c.change != nil {
					c.change(w)
				}
				took, ok := w.run()
				if !ok || took > c.within {
					t.Errorf("all know the list after %s, want %s", took, c.within)
				}
				if most := w.maxReadsWithin(time.Second); most > 5*serving.TargetStoreReaders {
					t.Errorf("%d hosts read the store within a second, want at most %d", most, 5*serving.TargetStoreReaders)
				}
				t.Logf("%s, %d reads, %d in a second", took, len(w.reads), w.maxReadsWithin(time.Second))
			})
		}
	}
}

// A few hosts that start again read the store at once: it is nearer than another host that may be starting as well.
func TestSmallFleetReadsStore(t *testing.T) {
	w := newFleet(1, 8, 0, true)
	for _, s := range w.hosts[3:] {
		s.joiner.Next()
		s.joiner.SetListedHosts(w.listed)
		if _, ok := s.joiner.Next().(ReadStore); !ok {
			t.Errorf("%s does not read the store at once", s.addr)
		}
	}
}

// A host without seeds and one that is a seed ask the store before all else, and others when it fails.
func TestSeedsReadStore(t *testing.T) {
	for _, j := range []*Joiner{New(hostAddr(1), []netip.AddrPort{hostAddr(0), hostAddr(1)}, rand.Float64), New(hostAddr(1), nil, rand.Float64)} {
		if _, ok := j.Next().(ReadStore); !ok {
			t.Error("the store is not asked first")
		}
		for {
			if _, ok := j.Next().(Pause); ok {
				break
			}
		}
	}
}
