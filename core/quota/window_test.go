package quota

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"pearlatch/core/account"
	"pearlatch/core/quota/share"
)

var seeds = flag.Int("seeds", 300, "number of seeds that are simulated")

// Simulates callers that ask for the whole quota on each host, while hosts restart, become unresponsive and lose contact
// with each other and with the store, the granter's role moves with and without its holder's knowledge, and messages are
// lost or delayed. In no time window may more operations start than the quota and its tolerance allow.
func TestNoWindowExceedsTheQuota(t *testing.T) {
	for _, c := range []struct {
		name      string
		quota     account.Quota
		tolerance Tolerance
	}{
		{"a small account", account.Quota{Rate: 6, Burst: 6}, Tolerance{Window: 5 * time.Second, Share: 0.1, Operations: 20}},
		{"a large account", account.Quota{Rate: 180, Burst: 180}, Tolerance{Window: 5 * time.Second, Share: 0.1, Operations: 20}},
		{"a small burst", account.Quota{Rate: 60, Burst: 1}, Tolerance{Window: 5 * time.Second, Share: 0.1, Operations: 20}},
		{"without tolerance", account.Quota{Rate: 40, Burst: 40}, Tolerance{Window: 5 * time.Second}},
	} {
		for _, shares := range [][]share.Portions{{share.MinPortions}, {share.MaxPortions}, {share.MinPortions, share.MaxPortions}} {
			t.Run(fmt.Sprint(c.name, " with shares ", shares), func(t *testing.T) {
				t.Parallel()
				maxRatio, given, listed := 0.0, 0, 0
				for seed := range uint64(*seeds) {
					s := runSimulation(seed, c.quota, c.tolerance, shares)
					count, at := s.busiestWindow()
					given += s.given
					listed += s.listed
					maxRatio = max(maxRatio, float64(count)/c.tolerance.MaxOperations(c.quota))
					if float64(count) > c.tolerance.MaxOperations(c.quota) {
						t.Fatalf("seed %d: %d operations began within %s from %s, allowed %.0f\n%s", seed, count, c.tolerance.Window,
							at.Sub(time.UnixMilli(1_000_000)), c.tolerance.MaxOperations(c.quota), joinLines(s.trace))
					}
				}
				t.Logf("the busiest window used %.2f of the allowed operations; %d operations got tokens from reserve holders, which were recorded %d times", maxRatio, given, listed)
			})
		}
	}
}

func joinLines(trace []string) string {
	out := ""
	for _, l := range trace {
		out += l + "\n"
	}
	return out
}

// runSimulation simulates one minute with faults at regular intervals.
func runSimulation(seed uint64, q account.Quota, tolerance Tolerance, shares []share.Portions) *simulation {
	s := newSimulation(seed, 4, q, tolerance, shares...)
	for _, h := range s.hosts {
		h.loadPerStep = q.Rate * stepDuration.Seconds()
	}
	every := 2 + s.random.IntN(300)
	for i := range int(time.Minute / stepDuration) {
		if i > 100 && i%every == 0 {
			s.injectFault()
		}
		s.advance()
	}
	return s
}
