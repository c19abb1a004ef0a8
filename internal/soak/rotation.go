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

// rotation is the platform's balancer: it asks hosts whether they are ready, and sends new sessions
// to those that are.
type rotation struct {
	site *site.Site

	mu sync.Mutex
	// missed counts the questions in a row that a host did not answer well.
	missed []int
}

func newRotation(s *site.Site) *rotation {
	r := &rotation{site: s, missed: make([]int, s.Options().Hosts)}
	for i := range r.missed {
		r.missed[i] = missesAllowed
	}
	return r
}

const (
	// readyPause is the pause between two questions to a host.
	readyPause = 300 * time.Millisecond
	// missesAllowed is after how many questions in a row without a good answer a host gets no new
	// sessions.
	missesAllowed = 2
)

// run asks the hosts until ctx ends.
func (r *rotation) run(ctx context.Context) {
	client := &http.Client{Timeout: readyPause}
	var wait sync.WaitGroup
	for i := range r.missed {
		wait.Go(func() {
			for pause.For(ctx, readyPause) {
				r.note(i, ready(ctx, client, r.site.Ready(i)))
			}
		})
	}
	wait.Wait()
}

func ready(ctx context.Context, client *http.Client, addr netip.AddrPort) bool {
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

func (r *rotation) note(i int, good bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if good {
		r.missed[i] = 0
		return
	}
	r.missed[i]++
}

// pick returns a host for a new session: one that is ready, or any where none is.
func (r *rotation) pick(random *rand.Rand) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	var in []int
	for i, n := range r.missed {
		if n < missesAllowed {
			in = append(in, i)
		}
	}
	if len(in) == 0 {
		return random.IntN(len(r.missed))
	}
	return in[random.IntN(len(in))]
}
