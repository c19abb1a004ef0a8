package outage

import (
	"testing"
	"time"
)

func TestRemaining(t *testing.T) {
	const second = time.Second
	for _, c := range []struct {
		name   string
		seen   []time.Duration
		lasted time.Duration
		want   time.Duration
	}{
		{"just begun, none seen", nil, 0, 0},
		{"none seen", nil, 300 * time.Millisecond, 300 * time.Millisecond},
		{"within the typical length", []time.Duration{2 * second}, second / 2, 3 * second / 2},
		{"longer than typical", []time.Duration{second}, 3 * second, 3 * second},
		{"the last one weighs half", []time.Duration{3 * second, second}, 0, 2 * second},
	} {
		t.Run(c.name, func(t *testing.T) {
			var f Estimator
			for _, d := range c.seen {
				f.Observe(d)
			}
			if got := f.Remaining(c.lasted); got != c.want {
				t.Errorf("%s, want %s", got, c.want)
			}
		})
	}
}
