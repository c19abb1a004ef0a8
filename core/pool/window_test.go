package pool

import (
	"testing"
	"time"
)

// Guards against hosts that keep a member's queue full by sending refused
// statements again at once, so that most clients get a refusal instead of an
// answer. The window must fall to one within a few refusals, and grow back
// slowly.
func TestWindowShrinksFastAndGrowsSlowly(t *testing.T) {
	var w Window
	now := time.UnixMilli(0)
	for range 4 {
		now = now.Add(minShrinkInterval)
		w.Shrink(now, 8)
	}
	if w.Limit() != 1 {
		t.Errorf("after four refusals the window is %d, want 1", w.Limit())
	}
	grown := 0
	for w.Limit() < initialWindow {
		w.Grow()
		grown++
	}
	if grown < 2*initialWindow {
		t.Errorf("the window grew back after only %d statements", grown)
	}
	for range 10000 {
		w.Grow()
	}
	if w.Limit() != maxWindow {
		t.Errorf("the window grew to %d, want %d", w.Limit(), maxWindow)
	}
}

func TestWindowShrinksOncePerInterval(t *testing.T) {
	var w Window
	now := time.UnixMilli(1000)
	w.size = maxWindow
	for range 5 {
		w.Shrink(now, 8)
	}
	if w.Limit() != maxWindow/2 {
		t.Errorf("five refusals at once left a window of %d", w.Limit())
	}
}

func TestBurst(t *testing.T) {
	var b burst
	now := time.UnixMilli(0)
	b.grow(now, true)
	b.grow(now, true)
	if b.extra != 1 {
		t.Errorf("extra = %d after growing twice at once, want 1", b.extra)
	}
	b.grow(now.Add(burstGrowthInterval), false)
	b.grow(now.Add(burstGrowthInterval), true)
	if b.extra != 2 {
		t.Errorf("extra = %d, want 2", b.extra)
	}
	b.reset(now)
	b.grow(now.Add(burstCooldown/2), true)
	if b.extra != 0 {
		t.Error("extra grew during the cooldown")
	}
}

// Guards against a member's queue staying full of statements that it then
// refuses. Sixty hosts send a member one statement each, are refused, and would
// otherwise all retry after the duration of one statement.
func TestManyHostsBackOffFromRefusingMember(t *testing.T) {
	for _, c := range []struct {
		hosts int
		want  bool
	}{{8, true}, {60, false}} {
		var w Window
		now := time.UnixMilli(0)
		for range 8 {
			now = now.Add(minShrinkInterval)
			w.Shrink(now, c.hosts)
			if now.Before(w.closedUntil) {
				now = w.closedUntil
			}
		}
		w.Shrink(now, c.hosts)
		if got := w.Allows(0, now.Add(minBackoff)); got != c.want {
			t.Errorf("%d hosts: Allows = %v soon after the ninth refusal", c.hosts, got)
		}
	}
}
