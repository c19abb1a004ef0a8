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
	// SampleSize is the number of hosts outside the update tree that are tried at a time, and samplesPerBackoff how often
	// during a wait, but not more often than every minSampleInterval. The hosts near the roots of the tree follow one
	// another if the store rejects all of them, so that their updates stay old although other hosts have recent ones.
	SampleSize        = 2
	samplesPerBackoff = 2
	minSampleInterval = 100 * time.Millisecond
	// AlternativeDuration is how long a host uses a source other than the preferred one before it retries that one.
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
// recent again as soon as those of any host above it are, and tries random hosts meanwhile.
type SourceSelector struct {
	// round holds the sources that are tried one after the other, the preferred one first, and next the index of the one
	// in use.
	round []Source
	next  int
	// since is when the use of the present source began.
	since time.Time
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

// Updated records that the present source has sent a recent update.
func (s *SourceSelector) Updated() {
	if s.waiting && len(s.samples) > 0 {
		s.round, s.next = []Source{s.round[0], s.samples[0]}, 1
	}
	s.backoff, s.waiting, s.samples = 0, false, nil
}

// Ended records that the host stopped following a source that has not failed.
func (s *SourceSelector) Ended(now time.Time) {
	if s.next > 0 && now.Sub(s.since) > AlternativeDuration {
		s.next, s.since = 0, now
	}
}

// Failed records that the present source has failed.
func (s *SourceSelector) Failed(lists SourceLists, now time.Time) {
	s.since = now
	switch {
	case !s.waiting:
		s.next++
	case len(s.samples) > 0:
		s.samples = s.samples[1:]
		return
	default:
		s.Waited(lists, now)
		return
	}
	if s.next == len(s.round) {
		s.startWait(now)
	}
}

// Waited records that the host has waited for its preferred source.
func (s *SourceSelector) Waited(lists SourceLists, now time.Time) {
	if now.Before(s.waitUntil) {
		s.samples = lists.Sample(SampleSize)
		return
	}
	s.waiting, s.since = false, now
	s.round, s.next = lists.Sources(), 0
	if _, ok := s.round[0].(HostSource); !ok {
		return
	}
	if s.next = 1; s.next == len(s.round) {
		s.startWait(now)
	}
}

// startWait begins a wait after all sources of a round have failed.
func (s *SourceSelector) startWait(now time.Time) {
	maxBackoff := maxHostBackoff
	if _, ok := s.round[0].(StoreSource); ok {
		maxBackoff = MaxStoreBackoff
	}
	s.backoff = min(max(2*s.backoff, initialSourceBackoff), maxBackoff)
	s.waiting, s.waitUntil, s.next = true, now.Add(s.backoff), 0
}
