package pool

import (
	"slices"
	"testing"
	"time"
)

// Guards against serving every statement too late when statements arrive faster
// than a member runs them. While the oldest has waited too long, the newest
// goes first, but never before statements of a lower rank.
func TestServingOrder(t *testing.T) {
	now := time.UnixMilli(10_000)
	p := New(nil)
	add := func(account string, rank int, ago time.Duration) {
		p.Enqueue(ConnRequest{Account: account, Rank: rank, ArrivedAt: now.Add(-ago)}, now)
	}
	accounts := func() []string {
		var out []string
		for _, w := range p.servingOrder(now) {
			out = append(out, w.Request.Account)
		}
		return out
	}
	add("label 1", 2, 40*time.Millisecond)
	add("label 2", 2, 30*time.Millisecond)
	add("save 1", 1, 10*time.Millisecond)
	add("save 2", 1, 5*time.Millisecond)
	if got, want := accounts(), []string{"save 1", "save 2", "label 1", "label 2"}; !slices.Equal(got, want) {
		t.Errorf("queue below the threshold is served as %v, want %v", got, want)
	}
	now = now.Add(lifoThreshold)
	if got, want := accounts(), []string{"save 2", "save 1", "label 2", "label 1"}; !slices.Equal(got, want) {
		t.Errorf("queue beyond the threshold is served as %v, want %v", got, want)
	}
}
