package gateway

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"pearlatch/core/kv"
)

const (
	// watchWait is how long the store may hold a watch back. A watch whose
	// connection went silent is noticed after that and watchSlack, well within the 3 s
	// in which a configuration must be in force.
	watchWait = time.Second
	// watchSlack is how much longer the answer may take.
	watchSlack = 500 * time.Millisecond
	// pageTimeout bounds the reading of a page of a list, which carries up to a megabyte. After the first one, a page
	// that failed is read again, pageTries times in all: a list of 20 pages from a store that refuses every third call
	// would else hardly ever end.
	pageTimeout = 1500 * time.Millisecond
	pageTries   = 4
	pagePause   = 60 * time.Millisecond
	// catchUpWait is how long the store may hold a watch back after one that failed: what that missed is asked for, not
	// waited for.
	catchUpWait = time.Millisecond
	// watchSpacing is the least time between two watches. When all hosts start, their entries come
	// one by one: a watch for each cost five hosts 319 calls in two seconds, and callers notice
	// nothing of a tenth of a second by which a host later learns of the next change.
	watchSpacing = 100 * time.Millisecond
)

// followStore asks the store once for what has changed.
func (h *Host) followStore(ctx context.Context) error {
	h.mu.Lock()
	revision, wait := h.view.Revision(), watchWait
	if h.missed {
		wait = catchUpWait
	}
	h.mu.Unlock()
	if revision == 0 {
		return h.listAll(ctx)
	}
	if !sleep(ctx, watchSpacing-h.now().Sub(h.watchedAt)) {
		return ctx.Err()
	}
	h.watchedAt = h.now()
	call, cancel := context.WithTimeout(ctx, watchWait+watchSlack)
	defer cancel()
	s, err := h.ports.Store.Watch(call, "", revision, wait)
	if errors.Is(err, ErrCompacted) {
		h.log("store_history_gone", "revision", revision)
		return h.listAll(ctx)
	}
	h.mu.Lock()
	h.missed = err != nil
	h.mu.Unlock()
	if err != nil {
		return err
	}
	err = h.apply(News{News: kv.News{Snapshot: s}})
	if errors.Is(err, kv.ErrPartial) {
		return h.listAll(ctx)
	}
	return err
}

// listAll reads everything anew.
func (h *Host) listAll(ctx context.Context) error {
	s, err := h.list(ctx, kv.Range{})
	if err != nil {
		return err
	}
	return h.apply(News{News: kv.News{Snapshot: s, Whole: true}})
}

// list reads all pages of a range. They are no snapshot, and the revision is that of the first one.
func (h *Host) list(ctx context.Context, r kv.Range) (kv.Snapshot, error) {
	var list kv.List
	for more := true; more; {
		p, err := h.page(ctx, r, list.Begun())
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

// page reads a page. again is true if one that fails is to be tried again.
func (h *Host) page(ctx context.Context, r kv.Range, again bool) (kv.Page, error) {
	for tries := 1; ; tries++ {
		call, cancel := context.WithTimeout(ctx, pageTimeout)
		p, err := h.ports.Store.List(call, r)
		cancel()
		if err == nil || !again || tries == pageTries || !sleep(ctx, pagePause+rand.N(pagePause)) {
			return p, err
		}
	}
}

// apply takes over news of the store.
func (h *Host) apply(n News) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	applied, err := h.view.Apply(n.News)
	if err != nil {
		return err
	}
	h.logApplied(applied)
	h.remember(applied.Former)
	if applied.Before == 0 {
		close(h.informed)
	}
	for _, i := range applied.Changed {
		h.noteHost(i)
		h.noteMember(i)
	}
	if heard := h.now().Add(-n.Age); heard.After(h.heardAt) {
		h.heardAt = heard
	}
	known := h.view.Revision()
	if len(applied.Changed) > 0 || known != applied.Before {
		close(h.changed)
		h.changed = make(chan struct{})
	}
	h.seen.Store(int64(known))
	configured := h.applyConfig()
	listed := h.fleet.Apply(h.now())
	if h.config == nil {
		return nil
	}
	h.applyMembers(configured || listed)
	h.needConcerned(configured || listed, applied.Changed)
	h.synced.Store(true)
	return nil
}

// later reports whether the first of two values of a key is the later one: a configuration by its version, a member's
// entry by its own count, within one run of the member.
func (h *Host) later(key string, first, second []byte) bool {
	switch decode := h.ports.Decode; {
	case key == h.ports.Keys.Config:
		a, errA := decode.Config(first)
		b, errB := decode.Config(second)
		return errA == nil && errB == nil && a.Version > b.Version
	case strings.HasPrefix(key, h.ports.Keys.Members):
		a, errA := decode.Member(key, first)
		b, errB := decode.Member(key, second)
		return errA == nil && errB == nil && a.Born == b.Born && a.Sequence > b.Sequence
	}
	return false
}

// logApplied writes lines on what news did to the view, but for plain changes.
func (h *Host) logApplied(a kv.Applied) {
	if a.Restored {
		h.log("store_restored", "revision", h.view.Revision(), "known", a.Before, "changed", len(a.Former))
	}
	for _, c := range a.PassedOver {
		h.log("item_passed_over", "key", c.Found.Key, "revision", c.Found.Revision, "known", c.Known.Revision)
	}
}

// noteHost takes over a change of a host's entry.
func (h *Host) noteHost(i kv.Item) {
	if id, ok := strings.CutPrefix(i.Key, h.hostsPrefix()); ok {
		h.fleet.Note(id, i.Value, i.Removed, h.now())
	}
}

// applyConfig takes over the configuration and reports whether it is a newer one.
func (h *Host) applyConfig() (newer bool) {
	i, ok := h.view.Item(h.ports.Keys.Config)
	if !ok || i.Revision == h.configRevision {
		return false
	}
	h.configRevision = i.Revision
	c, err := h.ports.Decode.Config(i.Value)
	if err != nil {
		h.log("config_refused", "revision", i.Revision, "err", err)
		return false
	}
	if h.config != nil && c.Version <= h.config.Version {
		if c.Version < h.config.Version {
			h.log("config_passed_over", "version", c.Version, "in_force", h.config.Version, "revision", i.Revision)
		}
		return false
	}
	if h.config != nil && h.config.Accounts != nil && c.Accounts == nil {
		// Without accounts everybody would be let in.
		h.log("config_refused", "version", c.Version, "err", "it has no accounts, and the one before had")
		return false
	}
	if h.config == nil {
		close(h.configured)
	}
	h.config, h.ages = c, c.shortestAges()
	h.quotas.Configure(c.Accounts, slices.Collect(maps.Keys(c.Groups)))
	close(h.reconfigured)
	h.reconfigured = make(chan struct{})
	h.log("config", "version", c.Version, "routes", len(c.Routes), "accounts", c.Accounts.Len(), "news_age_ms", h.now().Sub(h.heardAt).Milliseconds())
	h.fleet.Consider(slices.Collect(maps.Keys(c.Groups)))
	return true
}

// applyMembers takes over what has changed of the groups' members, and who serves the groups if
// that may have changed.
func (h *Host) applyMembers(plans bool) {
	for name, change := range h.members.take() {
		if g := h.groups[name]; g != nil {
			g.update(change)
		}
	}
	if plans {
		for name, g := range h.groups {
			g.configure(h.config.Groups[name], h.ages[name], h.planOf(name), h.fleet.Seen())
		}
	}
}

// noteMember takes over a change of a member's entry.
func (h *Host) noteMember(i kv.Item) {
	if !strings.HasPrefix(i.Key, h.ports.Keys.Members) {
		return
	}
	if i.Removed {
		h.members.remove(i.Key)
		return
	}
	m, err := h.ports.Decode.Member(i.Key, i.Value)
	if h.members.put(i, m, err) {
		h.log("member_refused", "key", i.Key, "err", err)
	}
}
