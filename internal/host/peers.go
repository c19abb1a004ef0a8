package host

import (
	"context"
	stderrors "errors"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"pearlatch/core/group"
	"pearlatch/core/membership"
	"pearlatch/core/statement"
	"pearlatch/io/peer"
	"pearlatch/io/upstream"
)

// maxWitnesses is how many other hosts are asked whether a member is reachable.
const maxWitnesses = 2

// maxRelays is how many other hosts are asked to probe a silent one.
const maxRelays = 2

// peerHandler answers other hosts.
type peerHandler struct{ *Host }

var _ peer.Handler = peerHandler{}

// Begin implements peer.Handler.
func (h peerHandler) Begin(r *statement.Request) (peer.Exchange, error) {
	owner := h.owner(r.Group)
	if owner == nil {
		// The sender believes that the hosts ranked before this one are gone.
		if first := h.ranked(r.Group)[0]; first.ID != h.settings.Host {
			h.probeNow(first)
		}
		return nil, h.notOwnerRefusal(r.Group)
	}
	x := &cancelableExchange{Exchange: owner.Begin(r), host: h.Host, key: r.CancelKey}
	h.exchanges.add(r.CancelKey, x)
	return x, nil
}

// cancelableExchange is an exchange that cancel requests can find.
type cancelableExchange struct {
	*upstream.Exchange
	host *Host
	key  statement.CancelKey
}

// Do implements peer.Exchange.
func (t *cancelableExchange) Do(ctx context.Context, u *statement.Unit, sink func([]byte) error) (statement.Outcome, error) {
	return t.Exchange.Do(ctx, u, sink)
}

// Close implements peer.Exchange.
func (t *cancelableExchange) Close() {
	t.host.exchanges.remove(t.key, t)
	t.Exchange.Close()
}

// Probe implements peer.Handler.
func (h peerHandler) Probe(_ context.Context, m *peer.Probe) (*peer.Probe, error) {
	h.mergeProbe(m)
	return h.ownProbe(), nil
}

// Relay implements peer.Handler.
func (h peerHandler) Relay(ctx context.Context, m *peer.Relay) (*peer.Verdict, error) {
	ctx, cancel := context.WithTimeout(ctx, h.timing.ProbeTimeout)
	defer cancel()
	_, err := h.client.Probe(ctx, m.Target, h.ownProbe())
	return &peer.Verdict{Yes: err == nil}, nil
}

// Reach implements peer.Handler.
func (h peerHandler) Reach(ctx context.Context, m *peer.Reach) (*peer.Verdict, error) {
	doc := h.conf.document()
	if doc == nil {
		return &peer.Verdict{}, nil
	}
	g, ok := doc.Group(m.Group)
	if !ok {
		return &peer.Verdict{}, nil
	}
	c := h.settings.Credentials[g.Credential]
	o := upstream.Options{Host: h.settings.Host, Group: *g, User: c.User, Password: c.Password, Local: h.settings.Peers.Addr()}
	member, ok := g.Member(m.Member)
	return &peer.Verdict{Yes: ok && upstream.Reachable(ctx, o, member)}, nil
}

// Cancel implements peer.Handler.
func (h peerHandler) Cancel(ctx context.Context, m *peer.Cancel) (*peer.Verdict, error) {
	if !m.Owner {
		return &peer.Verdict{Yes: h.callers.CancelLocal(ctx, m.Key)}, nil
	}
	x := h.exchanges.get(m.Key)
	if x == nil {
		return &peer.Verdict{}, nil
	}
	return &peer.Verdict{Yes: true}, x.Cancel(ctx)
}

// Pull implements peer.Handler.
func (h peerHandler) Pull(_ context.Context, m *peer.Pull) (*peer.Pulled, error) {
	return h.conf.pullResponse(m.Have), nil
}

// ownProbe returns what this host sends with a probe.
func (h *Host) ownProbe() *peer.Probe {
	return &peer.Probe{From: h.settings.Host, Claims: h.table.Gossip(), Revision: h.conf.inForceNumber(), Received: h.conf.newestNumber()}
}

// mergeProbe takes in another host's probe.
func (h *Host) mergeProbe(m *peer.Probe) {
	now := time.Now()
	for _, c := range m.Claims {
		if c.Host.ID == m.From {
			h.table.MarkAlive(c.Host, now)
			if m.Received > h.conf.newestNumber() {
				h.startPull(c.Host)
			}
		}
	}
	h.table.Merge(m.Claims, now)
}

// probeLoop probes one host a period, and refreshes the platform's list.
func (h *Host) probeLoop(ctx context.Context) {
	t := time.NewTicker(h.timing.ProbeInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			h.table.Tick(time.Now())
			if target, ok := h.table.NextProbe(rand.Shuffle); ok {
				h.background.Go(func() { h.probe(ctx, target) })
			}
		case <-ctx.Done():
			return
		}
	}
}

// minGossipInterval is the least time between two rounds of news, so that many changes
// at once share their messages. It doubles up to maxGossipInterval while changes keep
// coming, as at the start of a fleet: the messages would otherwise take so much
// time that probes go unanswered, and that is news again.
const (
	minGossipInterval = 50 * time.Millisecond
	maxGossipInterval = 2 * time.Second
)

// gossipLoop passes a change of the live hosts on at once, rather than with the
// next probes: what a death costs callers is the time until the next owner knows.
func (h *Host) gossipLoop(ctx context.Context) {
	pause := minGossipInterval
	var last time.Time
	for {
		select {
		case <-h.gossipWake:
		case <-ctx.Done():
			return
		}
		if time.Since(last) < 2*pause {
			pause = min(2*pause, maxGossipInterval)
		} else {
			pause = minGossipInterval
		}
		for _, other := range h.randomNeighbours(pushFanout) {
			h.background.Go(func() { _ = h.probeOnce(ctx, other) })
		}
		sleep(ctx, pause)
		last = time.Now()
	}
}

// probe asks a host whether it is alive, by way of others if it is silent.
func (h *Host) probe(ctx context.Context, target membership.Host) {
	err := h.probeOnce(ctx, target)
	switch {
	case err == nil:
	case ctx.Err() != nil:
	case stderrors.Is(err, syscall.ECONNREFUSED):
		h.table.MarkDead(target.ID, time.Now())
	case !h.reachedByRelay(ctx, target):
		h.table.MarkSuspect(target.ID, time.Now())
	}
}

func (h *Host) probeOnce(ctx context.Context, target membership.Host) error {
	ctx, cancel := context.WithTimeout(ctx, h.timing.ProbeTimeout)
	defer cancel()
	answer, err := h.client.Probe(ctx, target.Peer, h.ownProbe())
	if err != nil {
		return err
	}
	h.mergeProbe(answer)
	return nil
}

// reachedByRelay reports whether another host reaches the target.
func (h *Host) reachedByRelay(ctx context.Context, target membership.Host) bool {
	ctx, cancel := context.WithTimeout(ctx, 2*h.timing.ProbeTimeout)
	defer cancel()
	return h.askAny(h.randomHosts(maxRelays, target.ID), func(other membership.Host) bool {
		v, err := h.client.Relay(ctx, other.Peer, &peer.Relay{Target: target.Peer})
		return err == nil && v.Yes
	}).Reached > 0
}

// randomHosts returns up to n random live hosts besides this one and the excluded.
func (h *Host) randomHosts(n int, except string) []membership.Host {
	live := h.table.Live()
	var out []membership.Host
	for _, i := range rand.Perm(len(live)) {
		if id := live[i].ID; id != h.settings.Host && id != except && len(out) < n {
			out = append(out, live[i])
		}
	}
	return out
}

// randomNeighbours returns up to n random neighbours.
func (h *Host) randomNeighbours(n int) []membership.Host {
	near := h.table.Neighbours()
	var out []membership.Host
	for _, i := range rand.Perm(len(near)) {
		if len(out) < n {
			out = append(out, near[i])
		}
	}
	return out
}

// askAny asks hosts in parallel and returns as soon as one said yes.
func (h *Host) askAny(hosts []membership.Host, ask func(membership.Host) bool) upstream.WitnessResult {
	answers := make(chan string, len(hosts))
	for _, other := range hosts {
		h.background.Go(func() {
			if ask(other) {
				answers <- other.ID
			} else {
				answers <- ""
			}
		})
	}
	out := upstream.WitnessResult{Asked: len(hosts)}
	for range hosts {
		if by := <-answers; by != "" {
			out.Reached, out.ReachedBy = 1, by
			return out
		}
	}
	return out
}

// askWitnesses asks the next owners of the group whether they reach a member.
func (h *Host) askWitnesses(ctx context.Context, group, member string) upstream.WitnessResult {
	var next []membership.Host
	for _, other := range h.ranked(group) {
		if other.ID != h.settings.Host && len(next) < maxWitnesses {
			next = append(next, other)
		}
	}
	return h.askAny(next, func(other membership.Host) bool {
		v, err := h.client.Reach(ctx, other.Peer, &peer.Reach{Group: group, Member: member})
		return err == nil && v.Yes
	})
}

// probeNow probes a host at once, because a request to it has failed.
func (h *Host) probeNow(target membership.Host) {
	if target.ID == h.settings.Host {
		return
	}
	h.ownersMu.Lock()
	running := h.probing[target.ID]
	h.probing[target.ID] = true
	h.ownersMu.Unlock()
	if running {
		return
	}
	h.background.Go(func() {
		h.probe(context.Background(), target)
		h.ownersMu.Lock()
		delete(h.probing, target.ID)
		h.ownersMu.Unlock()
	})
}

// probeIfSlow doubts the target if the caller does not call the returned function
// soon.
func (h *Host) probeIfSlow(target membership.Host) (stop func()) {
	if target.ID == h.settings.Host {
		return func() {}
	}
	t := time.AfterFunc(slowOwnerTimeout, func() { h.probeNow(target) })
	return func() { t.Stop() }
}

// announce tells all hosts at once that this one is leaving.
func (h *Host) announce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, other := range h.randomHosts(maxAnnounced, "") {
		wg.Go(func() { _ = h.probeOnce(ctx, other) })
	}
	wg.Wait()
	h.wakeReconcile()
}

const (
	announceTimeout = 200 * time.Millisecond
	// maxAnnounced bounds how many hosts a leaving one tells itself. Claims carry
	// the news on.
	maxAnnounced = 16
)

// Confirm implements peer.Handler.
func (h peerHandler) Confirm(ctx context.Context, m *peer.Confirm) (*peer.Verdict, error) {
	owner := h.owner(m.Group)
	if owner == nil {
		return &peer.Verdict{}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, m.TimeLeft)
	defer cancel()
	return &peer.Verdict{Yes: owner.ConfirmFor(ctx, group.Term(m.Term), m.Session) == nil}, nil
}

// Released implements peer.Handler.
func (h peerHandler) Released(_ context.Context, m *peer.Released) (*peer.Verdict, error) {
	owner := h.owner(m.Group)
	if owner != nil {
		owner.PredecessorReleased()
	}
	return &peer.Verdict{Yes: owner != nil}, nil
}
