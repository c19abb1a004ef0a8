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

// balancer is the platform's balancer: it asks hosts whether they are ready, and sends new sessions
// to those that are.
type balancer struct {
	site *site.Site

	mu sync.Mutex
	// missedProbes counts the questions in a row that a host did not answer well.
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
	// probeInterval is the pause between two questions to a host.
	probeInterval = 300 * time.Millisecond
	// unreadyThreshold is after how many questions in a row without a good answer a host gets no new
	// sessions.
	unreadyThreshold = 2
)

// run asks the hosts until ctx ends.
func (r *balancer) run(ctx context.Context) {
	client := &http.Client{Timeout: probeInterval}
	var wait sync.WaitGroup
	for i := range r.missedProbes {
		wait.Go(func() {
			for pause.For(ctx, probeInterval) {
				r.recordProbe(i, isReady(ctx, client, r.site.Ready(i)))
			}
		})
	}
	wait.Wait()
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

func (r *balancer) recordProbe(i int, good bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if good {
		r.missedProbes[i] = 0
		return
	}
	r.missedProbes[i]++
}

// pickHost returns a host for a new session: one that is ready, or any where none is.
func (r *balancer) pickHost(random *rand.Rand) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	var in []int
	for i, n := range r.missedProbes {
		if n < unreadyThreshold {
			in = append(in, i)
		}
	}
	if len(in) == 0 {
		return random.IntN(len(r.missedProbes))
	}
	return in[random.IntN(len(in))]
}
