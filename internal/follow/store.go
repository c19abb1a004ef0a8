package follow

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"pearlatch/core/kv"
	"pearlatch/internal/pause"
)

const (
	// watchTimeout is how long the store may wait for changes before it responds to a watch. A silent connection is
	// detected after watchTimeout and watchResponseDelay, well within the 3 s in which a configuration must be in force.
	watchTimeout = time.Second
	// watchResponseDelay is the additional time that the response may take.
	watchResponseDelay = 500 * time.Millisecond
	// pageTimeout bounds the read of one page of a list, which has up to a megabyte. A page after the first one is tried
	// up to maxPageAttempts times: a list of 20 pages from a store that rejects every third call would otherwise hardly
	// ever complete.
	pageTimeout      = 1500 * time.Millisecond
	maxPageAttempts  = 4
	pageRetryBackoff = 60 * time.Millisecond
	// catchUpTimeout replaces watchTimeout after a failed watch, and while the view is old: the changes that it missed are
	// requested without waiting for new ones.
	catchUpTimeout = time.Millisecond
	// slowStoreAge is the age of the view from which on a watch that does not wait is given more time.
	slowStoreAge = 3 * time.Second
	// maxWatchTimeouts is after how many watches that took too long, of a store that answers short ones, a list is read. If
	// the missed changes are long, each watch asks for all of them again and takes longer than the one before. A list
	// consists of pages of bounded length, and holds each key once.
	maxWatchTimeouts = 2
	// minWatchInterval is the shortest time between two watches. When all hosts start, their entries are written one by
	// one. A watch for each entry cost five hosts 319 calls in two seconds. Callers don't notice that a host learns of
	// the next change a tenth of a second later.
	minWatchInterval = 100 * time.Millisecond
)

// followStore applies the store's changes by one watch, or by a full list if there is no view yet, the store no longer
// keeps the changes or they are too long for a watch.
func (f *Follower) followStore(ctx context.Context) error {
	revision, wait, limit := f.view.Revision(), watchTimeout, watchTimeout+watchResponseDelay
	if f.watchFailed || f.storeSlow || !f.view.IsRecent() {
		wait, limit = catchUpTimeout, f.catchUpLimit()
	}
	if revision == 0 {
		return f.listAll(ctx)
	}
	if !pause.For(ctx, minWatchInterval-f.now().Sub(f.watchedAt)) {
		return ctx.Err()
	}
	if f.watchTimeouts > 0 {
		if err := f.watchShortly(ctx, limit); err != nil {
			f.watchTimeouts = 1 // the store is silent
			return err
		}
	}
	if f.watchTimeouts >= maxWatchTimeouts {
		f.log("store_changes_too_long", "revision", revision)
		f.watchTimeouts = 0
		return f.listAll(ctx)
	}
	f.watchedAt = f.now()
	watchCtx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	s, err := f.store.Watch(watchCtx, "", revision, wait)
	if needsList(err) {
		f.log("store_history_gone", "revision", revision, "why", err)
		return f.listAll(ctx)
	}
	f.watchFailed = err != nil
	if errors.Is(err, context.DeadlineExceeded) {
		f.watchTimeouts++
	}
	if err != nil {
		return err
	}
	f.storeSlow = f.now().Sub(f.watchedAt) > wait+watchResponseDelay
	err = f.apply(StoreUpdate{Update: kv.Update{Snapshot: s}})
	if errors.Is(err, kv.ErrGap) {
		return f.listAll(ctx)
	}
	return err
}

// watchShortly asks for the missed changes of the hosts' entries alone, and returns an error unless the store answers
// within the limit.
func (f *Follower) watchShortly(ctx context.Context, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	_, err := f.store.Watch(ctx, f.settings.HostsPrefix, f.view.Revision(), catchUpTimeout)
	if needsList(err) {
		return nil
	}
	return err
}

// catchUpLimit returns how long a watch may take that does not wait for changes. It is short, since other hosts may have what
// a store that does not answer keeps back, unless none of them has had it for long: the store may be slow.
func (f *Follower) catchUpLimit() time.Duration {
	if f.storeSlow || f.view.Age() > slowStoreAge {
		return watchTimeout + watchResponseDelay
	}
	return watchResponseDelay
}

// listAll reads all items of the store and applies them as a full update.
func (f *Follower) listAll(ctx context.Context) error {
	defer f.view.beginStoreRead()()
	s, err := f.list(ctx, kv.Range{})
	if err != nil {
		return err
	}
	return f.apply(StoreUpdate{Update: kv.Update{Snapshot: s, Full: true}})
}

// list reads all pages of a range. The pages are not a consistent snapshot; the revision is that of the first page.
func (f *Follower) list(ctx context.Context, r kv.Range) (kv.Snapshot, error) {
	var list kv.ListBuilder
	for more := true; more; {
		p, err := f.listPage(ctx, r, list.Started())
		if err == nil {
			err = list.Add(p)
		}
		if err != nil {
			return kv.Snapshot{}, err
		}
		r.After, more = list.Next()
	}
	return list.Snapshot, nil
}

// listPage reads one page. If retry is true, it retries a failed read, up to maxPageAttempts attempts.
func (f *Follower) listPage(ctx context.Context, r kv.Range, retry bool) (kv.Page, error) {
	for attempts := 1; ; attempts++ {
		callCtx, cancel := context.WithTimeout(ctx, pageTimeout)
		p, err := f.store.List(callCtx, r)
		cancel()
		if err == nil || !retry || attempts == maxPageAttempts || !pause.For(ctx, pageRetryBackoff+rand.N(pageRetryBackoff)) {
			return p, err
		}
	}
}
