package gateway

import (
	"context"
	"math/rand/v2"
	"net/netip"

	"github.com/pkg/errors"

	"pearlatch/core/joining"
	"pearlatch/core/kv"
	"pearlatch/internal/fleet"
)

// join learns what is in the store for the first time, from the store or from a host that knows it.
func (f *follower) join(ctx context.Context) {
	h := f.host
	j := joining.New(h.settings.Peer, h.settings.Seeds, rand.Float64)
	started, reads, asked := h.now(), 0, 0
	for ctx.Err() == nil && !h.knows() {
		var err error
		var from source = storeSource{}
		switch step := j.Next().(type) {
		case joining.ReadStore:
			reads++
			err = h.listAll(ctx)
		case joining.CountHosts:
			var hosts []netip.AddrPort
			if hosts, err = h.countHosts(ctx); err == nil {
				j.Counted(hosts)
			}
		case joining.AskHost:
			asked++
			from = peerSource{step.Addr}
			err = from.follow(ctx, f, 0)
			if busy := (*busyError)(nil); errors.As(err, &busy) {
				j.Busy(busy.elsewhere)
			}
		case joining.Pause:
			sleep(ctx, step.For)
		}
		if err != nil && !h.knows() {
			f.logFailure(ctx, from, err)
			f.failures++
		}
	}
	f.failures = 0
	h.log("joined", "took_ms", h.now().Sub(started).Milliseconds(), "store_reads", reads, "hosts_asked", asked)
}

// knows reports whether the host knows what is in the store, or was in it.
func (h *Host) knows() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.view.Revision() != 0
}

// countHosts returns the addresses of the hosts that the store lists, as of some seconds ago at most.
func (h *Host) countHosts(ctx context.Context) ([]netip.AddrPort, error) {
	list, err := h.list(ctx, kv.Range{Prefix: h.hostsPrefix(), Stale: true})
	if err != nil {
		return nil, err
	}
	var out []netip.AddrPort
	for _, i := range list.Items {
		if each := fleet.ParseEntry("", i.Value); each.Peer.IsValid() {
			out = append(out, each.Peer)
		}
	}
	return out, nil
}
