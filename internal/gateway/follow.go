package gateway

import (
	"context"
	"strings"
	"time"

	"github.com/pkg/errors"
)

const (
	// watchWait is how long the store may hold a watch back. A watch whose
	// connection went silent is noticed after that, well within the 4 s after
	// which a host must know what happened during an outage.
	watchWait = 2 * time.Second
	// watchSlack is how much longer the answer may take.
	watchSlack = 500 * time.Millisecond
	// listTimeout bounds the reading of a prefix.
	listTimeout = 1500 * time.Millisecond
	// storePause is the pause after a call that failed.
	storePause = 100 * time.Millisecond
	// storePauseMax bounds that pause when calls keep failing.
	storePauseMax = 400 * time.Millisecond
)

// follow keeps the host's view of the store up to date.
func (h *Host) follow(ctx context.Context) {
	pause := storePause
	up := true
	for ctx.Err() == nil {
		err := h.followOnce(ctx)
		if err == nil {
			if !up {
				h.log("store_regained")
			}
			up, pause = true, storePause
			continue
		}
		if up {
			h.log("store_lost", "err", err)
		}
		up = false
		if !sleep(ctx, pause) {
			return
		}
		pause = min(2*pause, storePauseMax)
	}
}

func (h *Host) followOnce(ctx context.Context) error {
	h.mu.Lock()
	revision := h.revision
	h.mu.Unlock()
	if revision == 0 {
		return h.listAll(ctx)
	}
	call, cancel := context.WithTimeout(ctx, watchWait+watchSlack)
	defer cancel()
	s, err := h.ports.Store.Watch(call, "", revision, watchWait)
	if errors.Is(err, ErrCompacted) {
		h.log("store_history_gone", "revision", revision)
		return h.listAll(ctx)
	}
	if err != nil {
		// What the watch missed is read anew: the list tells in one call what
		// holds now.
		h.mu.Lock()
		h.revision = 0
		h.mu.Unlock()
		return err
	}
	h.apply(s)
	return nil
}

// listAll reads everything anew.
func (h *Host) listAll(ctx context.Context) error {
	call, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	s, err := h.ports.Store.List(call, "")
	if err != nil {
		return err
	}
	h.mu.Lock()
	fresh := map[string]bool{}
	for _, i := range s.Items {
		fresh[i.Key] = true
	}
	for key := range h.items {
		if !fresh[key] {
			delete(h.items, key)
		}
	}
	h.mu.Unlock()
	h.apply(s)
	return nil
}

// apply takes over changes of the store.
func (h *Host) apply(s Snapshot) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, i := range s.Items {
		if old, ok := h.items[i.Key]; ok && old.Revision > i.Revision {
			continue
		}
		if i.Removed {
			delete(h.items, i.Key)
			delete(h.decoded, i.Key)
			continue
		}
		h.items[i.Key] = i
	}
	h.revision = max(h.revision, s.Revision)
	h.applyConfig()
	if h.config == nil {
		return
	}
	h.applyMembers()
	h.synced.Store(true)
}

func (h *Host) applyConfig() {
	i, ok := h.items[h.ports.Keys.Config]
	if !ok || i.Revision == h.configRevision {
		return
	}
	h.configRevision = i.Revision
	c, err := h.ports.Decode.Config(i.Value)
	if err != nil {
		h.log("config_refused", "revision", i.Revision, "err", err)
		return
	}
	if h.config != nil && c.Version <= h.config.Version {
		return
	}
	if h.config == nil {
		close(h.configured)
	}
	h.config = c
	h.log("config", "version", c.Version, "routes", len(c.Routes))
	for name := range c.Groups {
		if h.groups[name] == nil {
			h.groups[name] = newGroup(name, h)
		}
	}
}

func (h *Host) applyMembers() {
	lists := map[string][]Member{}
	for key, i := range h.items {
		if id, ok := strings.CutPrefix(key, h.hostsPrefix()); ok {
			h.hostsSeen[id] = h.now()
		}
		if !strings.HasPrefix(key, h.ports.Keys.Members) {
			continue
		}
		if m, ok := h.decodeMember(i); ok {
			lists[m.Group] = append(lists[m.Group], m)
		}
	}
	for name, g := range h.groups {
		g.update(lists[name])
		g.configure(h.config.Groups[name], h.countHosts(), h.config.shortestAge(name))
	}
}

// decoded is a member's entry as it was read at a revision.
type decoded struct {
	revision int64
	member   Member
	err      error
}

// decodeMember reads a member's entry, once for each revision: the list is looked at
// with each change of the store.
func (h *Host) decodeMember(i Item) (Member, bool) {
	d, ok := h.decoded[i.Key]
	if !ok || d.revision != i.Revision {
		d = decoded{revision: i.Revision}
		d.member, d.err = h.ports.Decode.Member(i.Key, i.Value)
		h.decoded[i.Key] = d
		if d.err != nil {
			h.log("member_refused", "key", i.Key, "err", d.err)
		}
	}
	return d.member, d.err == nil
}

// hostMemory is how long a host counts after its entry has lapsed. It may be cut off
// from the store and hold its connections all the same.
const hostMemory = 20 * time.Second

// countHosts returns how many hosts may hold connections to members.
func (h *Host) countHosts() int {
	now := h.now()
	for id, seen := range h.hostsSeen {
		if now.Sub(seen) > hostMemory {
			delete(h.hostsSeen, id)
		}
	}
	return len(h.hostsSeen)
}

func (h *Host) hostsPrefix() string { return h.ports.Keys.Own + "hosts/" }

const (
	// hostLease is the life of a host's entry: the lease outlives a pause of the
	// store, and a dead host's share is given to others after it.
	hostLease = 8 * time.Second
	// hostRenewal is the pause between renewals.
	hostRenewal = 2500 * time.Millisecond
	// leaseTimeout bounds calls about leases.
	leaseTimeout = time.Second
)

// register keeps the host's entry in the store.
func (h *Host) register(ctx context.Context) {
	var lease int64
	for ctx.Err() == nil {
		if lease == 0 {
			lease = h.announce(ctx)
		} else if err := h.renew(ctx, lease); errors.Is(err, ErrNoLease) {
			lease = 0
			continue
		}
		pause := hostRenewal
		if lease == 0 {
			pause = storePauseMax
		}
		if !sleep(ctx, pause) {
			break
		}
	}
	h.endLease(lease)
}

func (h *Host) renew(ctx context.Context, lease int64) error {
	call, cancel := context.WithTimeout(ctx, leaseTimeout)
	defer cancel()
	return h.ports.Store.Renew(call, lease)
}

// endLease gives a lease back at the end, so that others need not wait for it.
func (h *Host) endLease(lease int64) {
	if lease == 0 {
		return
	}
	call, cancel := context.WithTimeout(context.Background(), leaseTimeout)
	defer cancel()
	if err := h.ports.Store.End(call, lease); err != nil {
		h.log("lease_end", "err", err)
	}
}

// announce writes the host's entry and returns its lease, or zero.
func (h *Host) announce(ctx context.Context) int64 {
	call, cancel := context.WithTimeout(ctx, leaseTimeout)
	defer cancel()
	lease, err := h.ports.Store.Grant(call, max(hostLease, h.settings.LeaseFloor))
	if err != nil {
		h.log("announce", "err", err)
		return 0
	}
	key := h.hostsPrefix() + h.settings.Host
	h.mu.Lock()
	revision := h.items[key].Revision
	h.mu.Unlock()
	if _, err := h.ports.Store.Put(call, key, revision, []byte(h.settings.Zone), lease); err != nil {
		h.log("announce", "err", err)
		h.endLease(lease)
		return 0
	}
	return lease
}
