package leadership

import (
	"testing"
	"time"
)

func TestRenewalDue(t *testing.T) {
	for _, c := range []struct {
		name           string
		renewed, tried time.Duration
		want           bool
	}{
		{"renewed just now", 100 * time.Millisecond, 100 * time.Millisecond, false},
		{"renewal due", time.Second, time.Second, true},
		{"attempted just now", 2 * time.Second, 300 * time.Millisecond, false},
		{"retry after a failure", 2 * time.Second, 700 * time.Millisecond, true},
	} {
		if got := RenewalDue(c.renewed, c.tried); got != c.want {
			t.Errorf("%s: %t", c.name, got)
		}
	}
}
