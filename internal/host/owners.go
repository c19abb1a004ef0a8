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

// handOverTimeout bounds how long open transactions may delay a hand-over.
const handOverTimeout = 10 * time.Second

// membersChanged is called when the set of live hosts has changed.
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

// reconcileLoop starts and closes owners as the live hosts and the
// configuration change.
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

// startOwner begins to own a group. h.ownersMu is held.
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

// handOver closes an owner in the background, so that its open transactions
// end. h.ownersMu is held.
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

// reconfigure brings a new revision to an owner. A change of what connections
// are made of takes a new owner. h.ownersMu is held.
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

func (h *Host) owner(group string) *upstream.Owner {
	h.ownersMu.Lock()
	defer h.ownersMu.Unlock()
	return h.owners[group]
}

// Owns reports whether this host owns the group.
func (h *Host) Owns(group string) bool { return h.owner(group) != nil }

// closeOwners hands all groups over.
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

// isGone reports whether a host is known to be isGone. A host never heard of counts
// as isGone only once the platform's list was seen.
func (h *Host) isGone(id string) bool {
	_, live := h.table.Lookup(id)
	return !live && h.membershipKnown.Load()
}

// successor reaches the next owner of a group.
type successor struct {
	host  *Host
	group string
}

var _ upstream.Successor = successor{}

// successorRetryInterval is the pause before the next owner is asked again.
const successorRetryInterval = 5 * time.Millisecond

// Confirm implements upstream.Successor. It asks until the next owner, which may
// still have to start, has answered.
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
