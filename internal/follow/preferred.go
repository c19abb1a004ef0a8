package follow

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"
)

// testPreferred starts a test of the preferred source if one is due. It returns true once a test has shown that the source
// works, and the caller should then choose a source again.
func (f *Follower) testPreferred(ctx context.Context) bool {
	if f.test != nil {
		select {
		case works := <-f.test:
			f.test = nil
			if works {
				f.selector.Return()
			}
			return works
		default:
			return false
		}
	}
	if source, due := f.selector.SourceToTest(sourceLists{f}, f.now(), rand.Float64()); due {
		result, storeTimeout := make(chan bool, 1), f.catchUpLimit()
		go func() { result <- toSource(source).sendsUpdates(ctx, f, storeTimeout) }()
		f.test = result
	}
	return false
}

// sendsUpdates implements Source.
func (StoreSource) sendsUpdates(ctx context.Context, f *Follower, storeTimeout time.Duration) bool {
	return f.watchShortly(ctx, storeTimeout) == nil
}

// sendsUpdates implements Source.
func (s HostSource) sendsUpdates(ctx context.Context, f *Follower, _ time.Duration) bool {
	openCtx, cancel := context.WithTimeout(ctx, feedOpenTimeout)
	defer cancel()
	feed, err := f.peers.Feed(openCtx, s.Addr, f.feedRequest())
	if err != nil {
		return false
	}
	defer feed.Close()
	update, err := f.nextUpdate(feed)
	return err == nil && update.Age <= maxUpdateAge && !slices.Contains(update.Path, f.settings.Self)
}
