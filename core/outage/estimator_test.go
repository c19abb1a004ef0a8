package outage

import (
	"testing"
	"time"
)

func TestRemaining(t *testing.T) {
	const second = time.Second
	for _, c := range []struct {
		name     string
		observed []time.Duration
		elapsed  time.Duration
		want     time.Duration
	}{
		{"just begun, none observed", nil, 0, 0},
		{"none observed", nil, 300 * time.Millisecond, 300 * time.Millisecond},
		{"shorter than average", []time.Duration{2 * second}, second / 2, 3 * second / 2},
		{"longer than average", []time.Duration{second}, 3 * second, 3 * second},
		{"the last outage weighs half", []time.Duration{3 * second, second}, 0, 2 * second},
	} {
		t.Run(c.name, func(t *testing.T) {
			var e Estimator
			for _, d := range c.observed {
				e.Observe(d)
			}
			if got := e.Remaining(c.elapsed); got != c.want {
				t.Errorf("%s, want %s", got, c.want)
			}
		})
	}
}
