package follow

import (
	"context"
	"math/rand/v2"
	"net/netip"

	"github.com/pkg/errors"

	"pearlatch/core/joining"
	"pearlatch/core/kv"
	"pearlatch/internal/fleet"
	"pearlatch/internal/pause"
)

// join learns what is in the store for the first time, from the store or from a host that knows it.
func (f *Follower) join(ctx context.Context) {
	j := joining.New(f.settings.Self, f.settings.Seeds, rand.Float64)
	started, reads, asked := f.now(), 0, 0
	for ctx.Err() == nil && f.view.Revision() == 0 {
		var err error
		var from Source = StoreSource{}
		switch step := j.Next().(type) {
		case joining.ReadStore:
			reads++
			err = f.listAll(ctx)
		case joining.ListHosts:
			var hosts []netip.AddrPort
			if hosts, err = f.listHostAddrs(ctx); err == nil {
				j.SetListedHosts(hosts)
			}
		case joining.AskHost:
			asked++
			from = HostSource{step.Addr}
			err = from.follow(ctx, f, 0)
			if busy := (*busyError)(nil); errors.As(err, &busy) {
				j.Redirect(busy.referrals)
			}
		case joining.Backoff:
			pause.For(ctx, step.For)
		}
		if err != nil && f.view.Revision() == 0 {
			f.logFailure(ctx, from, err)
			f.failures++
		}
	}
	f.failures = 0
	f.log("joined", "took_ms", f.now().Sub(started).Milliseconds(), "store_reads", reads, "hosts_asked", asked)
}

// listHostAddrs returns the addresses of the hosts that the store lists, as of some seconds ago at most.
func (f *Follower) listHostAddrs(ctx context.Context) ([]netip.AddrPort, error) {
	list, err := f.list(ctx, kv.Range{Prefix: f.settings.HostsPrefix, AllowStale: true})
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
