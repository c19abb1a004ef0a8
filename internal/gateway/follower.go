package gateway

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"pearlatch/core/kv"
)

const (
	// sourcePause is the pause after all sources of news failed.
	sourcePause = 100 * time.Millisecond
	// sourcePauseMax bounds that pause for hosts that ask the store themselves, when the sources
	// keep failing.
	sourcePauseMax = 400 * time.Millisecond
	// followerPauseMax bounds it for all others. While the store is away they wait for the hosts that
	// ask it: at 195 hosts, an outage of six seconds cost 4,000 calls in which each looked for
	// the store by itself, and seven feeds opened and dropped for each of these. It is within
	// the time that hosts have to recover in.
	followerPauseMax = 3 * time.Second
	// askedElsewhere is how many of the hosts are tried that a busy one has named.
	askedElsewhere = 2
	// preferAgain is how long a host keeps to a source that it does not prefer.
	preferAgain = 3 * time.Second
)

// follower keeps a host's view of the store up to date, from the store itself or from
// another host.
type follower struct {
	host *Host
	// at is the index of the source in use, and since when it is in use.
	at    int
	since time.Time
	// failures counts sources that failed in a row, and reason says why the last of them did.
	failures int
	reason   string
	// pause is how long the preferred source is given once all have failed.
	pause time.Duration
}

// follow keeps the host's view of the store up to date.
func (h *Host) follow(ctx context.Context) {
	f := &follower{host: h, since: h.now(), pause: sourcePause}
	if h.ports.Peers != nil {
		f.join(ctx)
	}
	for ctx.Err() == nil {
		sources := h.sources()
		f.at %= len(sources)
		if f.at == 0 && f.failures > 0 {
			f.hold(ctx, sources[0])
			continue
		}
		f.turn(ctx, sources[f.at], 0)
	}
}

// hold keeps to the preferred source for a while after all have failed, though its news may be old: it
// is the first to tell when the store is back.
func (f *follower) hold(ctx context.Context, s source) {
	until := f.host.now().Add(f.pause + rand.N(f.pause/2))
	if f.turn(ctx, s, until.Sub(f.host.now())) {
		return
	}
	longest := followerPauseMax
	if _, asks := s.(storeSource); asks {
		longest = sourcePauseMax
	}
	f.pause = min(2*f.pause, longest)
	sleep(ctx, until.Sub(f.host.now()))
}

// turn follows a source for a while, for as long as patience though its news are old. It returns false
// if the source failed, and goes on to the next one.
func (f *follower) turn(ctx context.Context, s source, patience time.Duration) bool {
	h := f.host
	err := s.follow(ctx, f, patience)
	if busy := (*busyError)(nil); errors.As(err, &busy) {
		if f.turnElsewhere(ctx, busy.elsewhere) {
			return true
		}
	}
	if err != nil {
		f.logFailure(ctx, s, err)
		f.failures++
		f.at++
		f.since = h.now()
		return false
	}
	f.heard(s)
	if f.at > 0 && h.now().Sub(f.since) > preferAgain {
		f.at, f.since = 0, h.now()
	}
	return true
}

// turnElsewhere follows one of the hosts that a busy one has named for a while, and returns false if none has news.
func (f *follower) turnElsewhere(ctx context.Context, hosts []netip.AddrPort) bool {
	f.at++ // they are no preferred ones
	defer func() { f.at-- }()
	for _, a := range hosts[:min(len(hosts), askedElsewhere)] {
		if s := (peerSource{a}); s.follow(ctx, f, 0) == nil {
			return true
		}
	}
	return false
}

// logFailure writes a line when the first source fails, and whenever the next ones fail for another reason.
func (f *follower) logFailure(ctx context.Context, s source, err error) {
	if ctx.Err() != nil {
		return
	}
	reason := reasonOf(err)
	switch {
	case f.failures == 0:
		f.host.log("source_lost", "source", s.String(), "err", err)
	case reason != f.reason:
		f.host.log("source_failing", "source", s.String(), "failures", f.failures, "err", err)
	}
	f.reason = reason
}

// reasonOf names what kind of error a source failed with.
func reasonOf(err error) string {
	for _, known := range []error{kv.ErrBehind, kv.ErrPartial, errStaleNews, errNoNews, ErrCompacted} {
		if errors.Is(err, known) {
			return known.Error()
		}
	}
	return "it does not answer"
}

// heard records that a source brought news that are not old.
func (f *follower) heard(s source) {
	if f.failures > 0 {
		f.host.log("source_regained", "source", s.String(), "failures", f.failures)
	}
	f.failures, f.pause = 0, sourcePause
}
