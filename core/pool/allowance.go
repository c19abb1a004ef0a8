package pool

import "time"

// burst is how many connections above its equal share a host may open to a
// member. It grows slowly while statements wait, and is lost when the member has
// none left, so that hosts with few callers lend to hosts with many.
type burst struct {
	extra      int
	nextGrowth time.Time
}

const (
	// burstGrowthInterval is the pause between two steps of growth.
	burstGrowthInterval = 40 * time.Millisecond
	// burstCooldown is how long a host keeps to its share after the member had
	// no connection left: others' extra connections are closed by then.
	burstCooldown = 1500 * time.Millisecond
)

func (a *burst) grow(now time.Time, wanted bool) {
	if !wanted || now.Before(a.nextGrowth) {
		return
	}
	a.extra++
	a.nextGrowth = now.Add(burstGrowthInterval)
}

func (a *burst) reset(now time.Time) {
	a.extra = 0
	a.nextGrowth = now.Add(burstCooldown)
}
