package serving

import (
	"net/netip"
	"time"
)

const (
	// initialSourceBackoff is how long a host waits for its preferred source after all sources have failed. The wait
	// doubles each time that they fail again.
	initialSourceBackoff = 100 * time.Millisecond
	// MaxStoreBackoff bounds the wait of hosts that read the store themselves.
	MaxStoreBackoff = 400 * time.Millisecond
	// maxHostBackoff bounds the wait of all other hosts, which leave a silent store to the hosts that read it first. It is
	// shorter than the time in which hosts must recover.
	maxHostBackoff = 3 * time.Second
	// waitJitter is the range of the length of a wait, as a fraction of the backoff.
	waitJitter = 0.5
	// SampleSize is the number of hosts outside the update tree that are tried at a time, and samplesPerBackoff how often
	// during a wait, but not more often than every minSampleInterval. The hosts near the roots of the tree follow one
	// another if the store rejects all of them, so that their updates stay old although other hosts have recent ones.
	SampleSize        = 2
	samplesPerBackoff = 2
	minSampleInterval = 100 * time.Millisecond
	// AlternativeDuration is how long a host uses a source other than the preferred one before it tests that one. It is
	// extended at random by up to half, since a fault makes many hosts choose alternatives at the same moment.
	AlternativeDuration = 3 * time.Second
)

// Source is where a host receives store updates from. Its implementations are StoreSource and HostSource.
type Source interface{ isSource() }

type (
	// StoreSource is the store itself.
	StoreSource struct{}
	// HostSource is another host.
	HostSource struct{ Addr netip.AddrPort }
)

func (StoreSource) isSource() {}
func (HostSource) isSource()  {}

// SourceStep is what a host does next to receive store updates. Its implementations are FollowSource and AwaitSource.
type SourceStep interface{ isSourceStep() }

type (
	// FollowSource follows a source until it fails. A source whose updates are old fails after Patience.
	FollowSource struct {
		Source   Source
		Patience time.Duration
		// Alternative is true if another source is preferred.
		Alternative bool
	}
	// AwaitSource waits for the duration For, since the preferred source is not to be asked yet.
	AwaitSource struct{ For time.Duration }
)

func (FollowSource) isSourceStep() {}
func (AwaitSource) isSourceStep()  {}

// SourceLists lists the sources of a host.
type SourceLists interface {
	// Sources returns the sources in the order in which they are tried, at least one.
	Sources() []Source
	// Sample returns up to n other hosts, drawn at random.
	Sample(n int) []Source
}

// SourceSelector chooses the update source of a host. The zero value is ready for use. It is not safe for concurrent use.
//
// A host tries its sources in order, then random hosts. If all fail, it waits for the preferred source, whose updates are
// recent again as soon as those of any host above it are, and tries random hosts meanwhile. It keeps a source other than the
// preferred one until that one has been tested with success: otherwise its own view, and those of the hosts that follow it,
// would grow old with each attempt to return.
type SourceSelector struct {
	// round holds the sources that are tried one after the other, the preferred one first, and next the index of the one
	// in use. joined is true once that one has sent a recent update.
	round  []Source
	next   int
	joined bool
	// testAt is when the preferred source is tested next.
	testAt time.Time
	// backoff is the length of the present or last wait, which ends at waitUntil. waiting is true during a wait.
	// samples are the random hosts that are still to be tried before the wait goes on.
	backoff   time.Duration
	waiting   bool
	waitUntil time.Time
	samples   []Source
}

// Next returns the next step. random is a number in [0, 1).
func (s *SourceSelector) Next(lists SourceLists, random float64) SourceStep {
	if !s.waiting {
		if s.next == 0 {
			s.round = lists.Sources()
		}
		return FollowSource{Source: s.round[s.next], Alternative: s.next > 0}
	}
	if len(s.samples) > 0 {
		return FollowSource{Source: s.samples[0], Alternative: true}
	}
	interval := max(minSampleInterval, s.backoff/samplesPerBackoff)
	interval += time.Duration(random * float64(interval) / 2)
	if _, ok := s.round[0].(StoreSource); ok {
		return AwaitSource{interval}
	}
	return FollowSource{Source: s.round[0], Patience: interval}
}

// Updated records that the present source has sent a recent update. random is a number in [0, 1).
func (s *SourceSelector) Updated(now time.Time, random float64) {
	if s.waiting && len(s.samples) > 0 {
		s.round, s.next = []Source{s.round[0], s.samples[0]}, 1
	}
	s.backoff, s.waiting, s.samples = 0, false, nil
	if !s.joined {
		s.joined = true
		s.scheduleTest(now, random)
	}
}

// scheduleTest sets the time of the next test of the preferred source.
func (s *SourceSelector) scheduleTest(now time.Time, random float64) {
	s.testAt = now.Add(AlternativeDuration + time.Duration(random*float64(AlternativeDuration)/2))
}

// SourceToTest returns the preferred source if a test of it is due. The caller runs the test in the background. Tests are due
// while another source is in use, and while the host waits for the store: an unanswered call to the store takes longer than a
// round of all other sources.
func (s *SourceSelector) SourceToTest(lists SourceLists, now time.Time, random float64) (Source, bool) {
	inUse := s.joined && s.next > 0
	if !inUse && !s.awaitsStore() || now.Before(s.testAt) {
		return nil, false
	}
	s.scheduleTest(now, random)
	return lists.Sources()[0], true
}

// awaitsStore reports whether the host waits for the store, and has other sources to try meanwhile.
func (s *SourceSelector) awaitsStore() bool {
	if !s.waiting || len(s.round) == 1 {
		return false
	}
	_, ok := s.round[0].(StoreSource)
	return ok
}

// Return makes the preferred source the next one, after a test has shown that it sends recent updates.
func (s *SourceSelector) Return() { s.next, s.joined, s.waiting, s.samples = 0, false, false, nil }

// Failed records that the present source has failed. random is a number in [0, 1).
func (s *SourceSelector) Failed(lists SourceLists, now time.Time, random float64) {
	switch {
	case s.joined:
		preferred := s.round[0] // it failed just now, or its last test
		s.round, s.next, s.joined = lists.Sources(), 0, false
		if s.round[0] == preferred {
			s.next = 1
		}
	case !s.waiting:
		s.next++
	case len(s.samples) > 0:
		s.samples = s.samples[1:]
		return
	default:
		s.Waited(lists, now, random)
		return
	}
	if s.next == len(s.round) {
		s.startWait(now, random)
	}
}

// Waited records that the host has waited for its preferred source. random is a number in [0, 1).
func (s *SourceSelector) Waited(lists SourceLists, now time.Time, random float64) {
	if now.Before(s.waitUntil) {
		s.samples = lists.Sample(SampleSize)
		return
	}
	s.round, s.next = lists.Sources(), 0
	if s.awaitsStore() {
		s.samples = s.round[1:]
		s.startWait(now, random)
		s.testAt = now
		return
	}
	s.waiting = false
	if _, ok := s.round[0].(HostSource); !ok {
		return
	}
	if s.next = 1; s.next == len(s.round) {
		s.startWait(now, random)
	}
}

// startWait begins a wait after all sources of a round have failed. Its length is random: the hosts that lose their sources
// with the store would otherwise all look for one at the same moments, and for as long as the wait nobody would notice that
// it has returned.
func (s *SourceSelector) startWait(now time.Time, random float64) {
	maxBackoff, jitter := maxHostBackoff, (random-0.5)*waitJitter
	if _, ok := s.round[0].(StoreSource); ok {
		maxBackoff, jitter = MaxStoreBackoff, -random*waitJitter/2 // all hosts below wait for this one
	}
	s.backoff = min(max(2*s.backoff, initialSourceBackoff), maxBackoff)
	length := time.Duration((1 + jitter) * float64(s.backoff))
	s.waiting, s.waitUntil, s.next = true, now.Add(length), 0
	s.testAt = s.waitUntil
}
