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
	// watchTimeout is how long the store may hold a watch back. A watch whose
	// connection went silent is noticed after that and watchSlack, well within the 3 s
	// in which a configuration must be in force.
	watchTimeout = time.Second
	// watchResponseDelay is how much longer the answer may take.
	watchResponseDelay = 500 * time.Millisecond
	// pageTimeout bounds the reading of a page of a list, which carries up to a megabyte. After the first one, a page
	// that failed is read again, pageTries times in all: a list of 20 pages from a store that refuses every third call
	// would else hardly ever end.
	pageTimeout      = 1500 * time.Millisecond
	maxPageAttempts  = 4
	pageRetryBackoff = 60 * time.Millisecond
	// catchUpTimeout is how long the store may hold a watch back after one that failed: what that missed is asked for, not
	// waited for.
	catchUpTimeout = time.Millisecond
	// minWatchInterval is the least time between two watches. When all hosts start, their entries come
	// one by one: a watch for each cost five hosts 319 calls in two seconds, and callers notice
	// nothing of a tenth of a second by which a host later learns of the next change.
	minWatchInterval = 100 * time.Millisecond
)

// followStore asks the store once for what has changed.
func (f *Follower) followStore(ctx context.Context) error {
	revision, wait := f.view.Revision(), watchTimeout
	if f.watchFailed {
		wait = catchUpTimeout
	}
	if revision == 0 {
		return f.listAll(ctx)
	}
	if !pause.For(ctx, minWatchInterval-f.now().Sub(f.watchedAt)) {
		return ctx.Err()
	}
	f.watchedAt = f.now()
	call, cancel := context.WithTimeout(ctx, watchTimeout+watchResponseDelay)
	defer cancel()
	s, err := f.store.Watch(call, "", revision, wait)
	if errors.Is(err, ErrCompacted) {
		f.log("store_history_gone", "revision", revision)
		return f.listAll(ctx)
	}
	f.watchFailed = err != nil
	if err != nil {
		return err
	}
	err = f.apply(StoreUpdate{Update: kv.Update{Snapshot: s}})
	if errors.Is(err, kv.ErrGap) {
		return f.listAll(ctx)
	}
	return err
}

// listAll reads everything anew.
func (f *Follower) listAll(ctx context.Context) error {
	s, err := f.list(ctx, kv.Range{})
	if err != nil {
		return err
	}
	return f.apply(StoreUpdate{Update: kv.Update{Snapshot: s, Full: true}})
}

// list reads all pages of a range. They are no snapshot, and the revision is that of the first one.
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

// listPage reads a listPage. again is true if one that fails is to be tried again.
func (f *Follower) listPage(ctx context.Context, r kv.Range, again bool) (kv.Page, error) {
	for tries := 1; ; tries++ {
		call, cancel := context.WithTimeout(ctx, pageTimeout)
		p, err := f.store.List(call, r)
		cancel()
		if err == nil || !again || tries == maxPageAttempts || !pause.For(ctx, pageRetryBackoff+rand.N(pageRetryBackoff)) {
			return p, err
		}
	}
}
