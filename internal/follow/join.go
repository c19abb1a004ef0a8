package follow

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"pearlatch/core/joining"
	"pearlatch/core/kv"
	"pearlatch/internal/fleet"
	"pearlatch/internal/pause"
)

// joinReportInterval is the time between two lines of a host that does not know the contents of the store yet.
const joinReportInterval = 5 * time.Second

// joinProgress counts what a host has tried to learn the contents of the store.
type joinProgress struct {
	started, reported                 time.Time
	storeReads, hostLists, hostsAsked int
}

// fields returns the fields of a log line.
func (p *joinProgress) fields(now time.Time) []any {
	return []any{"took_ms", now.Sub(p.started).Milliseconds(), "store_reads", p.storeReads, "host_lists", p.hostLists, "hosts_asked", p.hostsAsked}
}

// join fetches the contents of the store for the first time, from the store or from a host that has them.
func (f *Follower) join(ctx context.Context) {
	j := joining.New(f.settings.Self, f.settings.Seeds, rand.Float64)
	tried := joinProgress{started: f.now(), reported: f.now()}
	for ctx.Err() == nil && f.view.Revision() == 0 {
		var err error
		var source Source = StoreSource{}
		switch step := j.Next().(type) {
		case joining.ReadStore:
			tried.storeReads++
			err = f.listAll(ctx)
		case joining.ListHosts:
			tried.hostLists++
			var hosts []netip.AddrPort
			if hosts, err = f.listHostAddrs(ctx); err == nil {
				j.SetListedHosts(hosts)
			}
		case joining.AskHost:
			tried.hostsAsked++
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
		if now := f.now(); f.view.Revision() == 0 && now.Sub(tried.reported) >= joinReportInterval {
			tried.reported = now
			f.log("joining", tried.fields(now)...)
		}
	}
	f.failures = 0
	f.log("joined", tried.fields(f.now())...)
}

// reportAnswer reports the result of an AskHost step, given as the error of the feed.
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
