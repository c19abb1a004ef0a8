package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"pearlatch/internal/pause"
	"pearlatch/internal/site"
	"pearlatch/platform"
)

// balancer stands for the platform's load balancer: it probes the readiness endpoint of each host and
// sends new sessions to the ready hosts.
type balancer struct {
	site *site.Site

	mu sync.Mutex
	// missedProbes counts the consecutive failed probes of each host.
	missedProbes []int
}

func newBalancer(s *site.Site) *balancer {
	r := &balancer{site: s, missedProbes: make([]int, s.Options().Hosts)}
	for i := range r.missedProbes {
		r.missedProbes[i] = unreadyThreshold
	}
	return r
}

const (
	// probeInterval is the pause between two probes of a host, and the timeout of a probe.
	probeInterval = 300 * time.Millisecond
	// unreadyThreshold is the number of consecutive failed probes after which a host gets no new
	// sessions.
	unreadyThreshold = 2
)

// run probes the hosts until ctx ends.
func (r *balancer) run(ctx context.Context) {
	client := &http.Client{Timeout: probeInterval}
	var probes sync.WaitGroup
	for i := range r.missedProbes {
		probes.Go(func() {
			for pause.For(ctx, probeInterval) {
				r.recordProbe(i, isReady(ctx, client, r.site.Ready(i)))
			}
		})
	}
	probes.Wait()
}

func isReady(ctx context.Context, client *http.Client, addr netip.AddrPort) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr.String()+platform.ReadyPath, nil)
	if err != nil {
		return false
	}
	res, err := client.Do(req)
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

func (r *balancer) recordProbe(host int, ready bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if ready {
		r.missedProbes[host] = 0
		return
	}
	r.missedProbes[host]++
}

// pickHost returns a random ready host for a new session, or any host if none is ready.
func (r *balancer) pickHost(random *rand.Rand) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	var ready []int
	for i, n := range r.missedProbes {
		if n < unreadyThreshold {
			ready = append(ready, i)
		}
	}
	if len(ready) == 0 {
		return random.IntN(len(r.missedProbes))
	}
	return ready[random.IntN(len(ready))]
}
