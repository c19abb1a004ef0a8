package pool

import (
	"testing"
	"time"
)

// A member's queue is full and refuses statements. Hosts that send them again at once
// keep it full, and most of its callers get a refusal rather than an answer. The
// window of each host must fall to one within a few refusals, and grow back slowly.
func TestWindowShrinksFastAndGrowsSlowly(t *testing.T) {
	var w Window
	now := time.UnixMilli(0)
	for range 4 {
		now = now.Add(minShrinkInterval)
		w.Shrink(now, 8)
	}
	if w.Limit() != 1 {
		t.Errorf("after four refusals the window is %d", w.Limit())
	}
	grown := 0
	for w.Limit() < initialWindow {
		w.Grow()
		grown++
	}
	if grown < 2*initialWindow {
		t.Errorf("the window was back after %d statements", grown)
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
	var a burst
	now := time.UnixMilli(0)
	a.grow(now, true)
	a.grow(now, true)
	if a.extra != 1 {
		t.Errorf("two wishes at once gave %d connections", a.extra)
	}
	a.grow(now.Add(burstGrowthInterval), false)
	a.grow(now.Add(burstGrowthInterval), true)
	if a.extra != 2 {
		t.Errorf("extra = %d, want 2", a.extra)
	}
	a.reset(now)
	a.grow(now.Add(burstCooldown/2), true)
	if a.extra != 0 {
		t.Error("a host grew again right after the member had no connection left")
	}
}

// Sixty hosts send a member one statement each and are refused. If each came back after
// one statement's time, the member's queue would stay full of what it refuses.
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
			t.Errorf("%d hosts: open soon after the ninth refusal: %v", c.hosts, got)
		}
	}
}
