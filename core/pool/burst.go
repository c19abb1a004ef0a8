package pool

import "time"

// burst is the number of connections that a host may open to a member above its
// equal share. It grows slowly while statements wait, and is reset when the
// member has no connection left, so that hosts with few clients lend
// connections to hosts with many.
type burst struct {
	extra      int
	nextGrowth time.Time
}

const (
	// burstGrowthInterval is the minimum time between two increments.
	burstGrowthInterval = 40 * time.Millisecond
	// burstCooldown is how long a host keeps to its share after the member had
	// no connection left. Within this time the other hosts close the
	// connections above their shares.
	burstCooldown = 1500 * time.Millisecond
)

// grow adds a connection if one is wanted and the last change is long enough
// ago.
func (b *burst) grow(now time.Time, wanted bool) {
	if !wanted || now.Before(b.nextGrowth) {
		return
	}
	b.extra++
	b.nextGrowth = now.Add(burstGrowthInterval)
}

// reset returns the host to its share because the member had no connection
// left.
func (b *burst) reset(now time.Time) {
	b.extra = 0
	b.nextGrowth = now.Add(burstCooldown)
}
