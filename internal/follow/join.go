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

// join fetches the contents of the store for the first time, from the store or from a host that has them.
func (f *Follower) join(ctx context.Context) {
	j := joining.New(f.settings.Self, f.settings.Seeds, rand.Float64)
	started, storeReads, hostsAsked := f.now(), 0, 0
	for ctx.Err() == nil && f.view.Revision() == 0 {
		var err error
		var source Source = StoreSource{}
		switch step := j.Next().(type) {
		case joining.ReadStore:
			storeReads++
			err = f.listAll(ctx)
		case joining.ListHosts:
			var hosts []netip.AddrPort
			if hosts, err = f.listHostAddrs(ctx); err == nil {
				j.SetListedHosts(hosts)
			}
		case joining.AskHost:
			hostsAsked++
			source = HostSource{step.Addr}
			err = source.follow(ctx, f, 0)
			reportAnswer(j, err)
		case joining.Backoff:
			pause.For(ctx, step.For)
		}
		if err != nil && f.view.Revision() == 0 {
			f.logFailure(ctx, source, err)
			f.failures++
		}
	}
	f.failures = 0
	f.log("joined", "took_ms", f.now().Sub(started).Milliseconds(), "store_reads", storeReads, "hosts_asked", hostsAsked)
}

// reportAnswer reports to the joiner how a host answered that did not send the contents.
func reportAnswer(j *joining.Joiner, err error) {
	busy, unreached := (*busyError)(nil), (*unreachedError)(nil)
	switch {
	case errors.As(err, &busy):
		j.Redirect(busy.referrals)
	case err != nil && !errors.As(err, &unreached):
		j.Reached()
	}
}

// listHostAddrs returns the addresses of the hosts that the store lists. The list may be some seconds old.
func (f *Follower) listHostAddrs(ctx context.Context) ([]netip.AddrPort, error) {
	list, err := f.list(ctx, kv.Range{Prefix: f.settings.HostsPrefix, AllowStale: true})
	if err != nil {
		return nil, err
	}
	var out []netip.AddrPort
	for _, i := range list.Items {
		if h := fleet.ParseEntry("", i.Value); h.Peer.IsValid() {
			out = append(out, h.Peer)
		}
	}
	return out, nil
}
