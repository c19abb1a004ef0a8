package quota

import (
	"flag"
	"testing"
	"time"

	"pearlatch/core/account"
)

var seeds = flag.Int("seeds", 300, "how many worlds are played")

// Callers come as fast as they can on hosts that restart, stand dark, part from each other and from the store,
// while the duty of the granter passes on, with and without the knowledge of the one before, and answers get
// lost. Whatever happens, no span of the window holds more operations than the quota and its tolerance allow.
func TestNoWindowExceedsTheQuota(t *testing.T) {
	for _, c := range []struct {
		name  string
		quota account.Quota
		terms Tolerance
	}{
		{"a small account", account.Quota{Rate: 6, Burst: 6}, Tolerance{5 * time.Second, 0.1, 20}},
		{"a large account", account.Quota{Rate: 180, Burst: 180}, Tolerance{5 * time.Second, 0.1, 20}},
		{"a small burst", account.Quota{Rate: 60, Burst: 1}, Tolerance{5 * time.Second, 0.1, 20}},
		{"without tolerance", account.Quota{Rate: 40, Burst: 40}, Tolerance{Window: 5 * time.Second}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			worstShare := 0.0
			for seed := range uint64(*seeds) {
				w := runSimulation(seed, c.quota, c.terms)
				most, at := w.busiestWindow()
				worstShare = max(worstShare, float64(most)/c.terms.MaxOperations(c.quota))
				if float64(most) > c.terms.MaxOperations(c.quota) {
					t.Fatalf("seed %d: %d operations began within %s from %s, allowed %.0f\n%s", seed, most, c.terms.Window,
						at.Sub(time.UnixMilli(1_000_000)), c.terms.MaxOperations(c.quota), joinLines(w.trace))
				}
			}
			t.Logf("the fullest window held %.2f of what is allowed", worstShare)
		})
	}
}

func joinLines(trace []string) string {
	out := ""
	for _, l := range trace {
		out += l + "\n"
	}
	return out
}

// runSimulation plays a minute of a world with troubles one after the other.
func runSimulation(seed uint64, q account.Quota, terms Tolerance) *simulation {
	w := newSimulation(seed, 4, q, terms)
	for _, h := range w.hosts {
		h.loadPerStep = q.Rate * stepDuration.Seconds()
	}
	every := 2 + w.random.IntN(300)
	for i := range int(time.Minute / stepDuration) {
		if i > 100 && i%every == 0 {
			w.injectFault()
		}
		w.advance()
	}
	return w
}
