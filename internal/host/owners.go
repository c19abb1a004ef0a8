package host

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"pearlatch/core/config"
	"pearlatch/core/group"
	"pearlatch/core/membership"
	"pearlatch/io/peer"
	"pearlatch/io/upstream"
)

// handOverTimeout bounds how long open transactions may delay handing a group
// over.
const handOverTimeout = 10 * time.Second

// membersChanged is called by the membership table when the set of live hosts has
// changed.
func (h *Host) membersChanged() {
	for _, c := range h.table.Statuses() {
		if c.State == membership.Dead {
			h.client.CloseHost(c.Host.Peer)
		}
	}
	h.wakeReconcile()
	select {
	case h.gossipWake <- struct{}{}:
	default:
	}
}

func (h *Host) wakeReconcile() {
	select {
	case h.reconcileWake <- struct{}{}:
	default:
	}
}

// reconcileLoop starts and closes owners when the live hosts or the configuration
// have changed. It returns when ctx ends.
func (h *Host) reconcileLoop(ctx context.Context) {
	for {
		select {
		case <-h.reconcileWake:
			h.reconcile()
		case <-ctx.Done():
			return
		}
	}
}

// reconcile starts, updates and closes owners so that this host owns exactly the
// groups for which it ranks first.
func (h *Host) reconcile() {
	doc := h.conf.document()
	if doc == nil || h.stopping.Load() || !h.membershipKnown.Load() {
		return
	}
	h.ownersMu.Lock()
	defer h.ownersMu.Unlock()
	for i := range doc.Groups {
		g := &doc.Groups[i]
		mine := h.ranked(g.Name)[0].ID == h.settings.Host
		owner := h.owners[g.Name]
		switch {
		case mine && owner == nil:
			h.startOwner(*g)
		case !mine && owner != nil:
			h.handOver(owner)
		case mine && owner != nil:
			h.reconfigure(owner, g)
		}
	}
	for name, owner := range h.owners {
		if _, ok := doc.Group(name); !ok {
			h.handOver(owner)
		}
	}
}

// startOwner starts the owner of a group. h.ownersMu must be held.
func (h *Host) startOwner(g config.Group) {
	c := h.settings.Credentials[g.Credential]
	_ = level.Info(h.logger).Log("step", "own", "group", g.Name)
	h.owners[g.Name] = upstream.Start(upstream.Options{
		Host: h.settings.Host, Group: g, User: c.User, Password: c.Password,
		Local: h.settings.Peers.Addr(), Serial: h.ownerSerial.Add(1),
		ControlBytes: &h.controlBytes,
		HostGone:     h.isGone,
		Yield:        func(to string) { h.background.Go(func() { h.yieldGroup(g.Name, to) }) },
		Binding:      h.binding,
		Unsafe:       h.unsafe,
		Successor:    successor{host: h, group: g.Name},
		Witness: func(ctx context.Context, m config.Member) upstream.WitnessResult {
			return h.askWitnesses(ctx, g.Name, m.Name)
		},
		Logger: h.logger, Metrics: h.metrics,
	})
}

// handOver closes an owner in the background, which lets its open transactions
// end. h.ownersMu must be held.
func (h *Host) handOver(owner *upstream.Owner) {
	name := owner.Group().Name
	delete(h.owners, name)
	_ = level.Info(h.logger).Log("step", "hand_over", "group", name)
	h.background.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), handOverTimeout)
		defer cancel()
		owner.Close(ctx)
	})
	h.wakeReconcile()
}

// reconfigure applies a new revision to an owner. If the revision changes how
// connections are opened, the owner is closed, and reconcile starts a new one.
// h.ownersMu must be held.
func (h *Host) reconfigure(owner *upstream.Owner, g *config.Group) {
	if !owner.Group().SameUpstreams(g) {
		h.handOver(owner)
		return
	}
	owner.SetLeaving(func(member string) bool {
		m, ok := g.Member(member)
		return !ok || m.Leaving
	})
}

// owner returns the owner of the group if this host owns it, or nil.
func (h *Host) owner(group string) *upstream.Owner {
	h.ownersMu.Lock()
	defer h.ownersMu.Unlock()
	return h.owners[group]
}

// Owns reports whether this host owns the group.
func (h *Host) Owns(group string) bool { return h.owner(group) != nil }

// closeOwners hands all groups over and waits until their owners are closed.
func (h *Host) closeOwners(ctx context.Context) {
	h.ownersMu.Lock()
	all := h.owners
	h.owners = map[string]*upstream.Owner{}
	h.ownersMu.Unlock()
	var wg sync.WaitGroup
	for _, owner := range all {
		wg.Go(func() { owner.Close(ctx) })
	}
	wg.Wait()
}

// isGone reports whether a host is known not to be live. An unknown host counts as
// gone only once the platform's host list was received.
func (h *Host) isGone(id string) bool {
	_, live := h.table.Lookup(id)
	return !live && h.membershipKnown.Load()
}

// successor calls the next owner of a group, on this host or another one.
type successor struct {
	host  *Host
	group string
}

var _ upstream.Successor = successor{}

// successorRetryInterval is the delay between attempts to confirm with the next
// owner.
const successorRetryInterval = 5 * time.Millisecond

// Confirm implements upstream.Successor. It retries until the next owner confirms
// or ctx ends, because that owner may not have started yet.
func (s successor) Confirm(ctx context.Context, term group.Term, session string) error {
	for {
		err := s.confirmOnce(ctx, term, session)
		if err == nil || ctx.Err() != nil {
			return err
		}
		sleep(ctx, successorRetryInterval)
	}
}

func (s successor) confirmOnce(ctx context.Context, term group.Term, session string) error {
	next := s.host.ranked(s.group)[0]
	if next.ID == s.host.settings.Host {
		owner := s.host.owner(s.group)
		if owner == nil {
			return errNoOwner
		}
		return owner.ConfirmFor(ctx, term, session)
	}
	m := &peer.Confirm{Group: s.group, Term: uint64(term), Session: session}
	if deadline, ok := ctx.Deadline(); ok {
		m.TimeLeft = time.Until(deadline)
	}
	v, err := s.host.client.Confirm(ctx, next.Peer, m)
	if err == nil && !v.Yes {
		err = errNoOwner
	}
	return err
}

// Released implements upstream.Successor.
func (s successor) Released(ctx context.Context) {
	next := s.host.ranked(s.group)[0]
	if next.ID == s.host.settings.Host {
		if owner := s.host.owner(s.group); owner != nil {
			owner.PredecessorReleased()
		}
		return
	}
	_, err := s.host.client.Released(ctx, next.Peer, &peer.Released{Group: s.group})
	if err != nil {
		_ = level.Warn(s.host.logger).Log("step", "tell_successor", "peer", next.ID, "group", s.group, "err", err)
	}
}
