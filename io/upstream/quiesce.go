package upstream

import (
	"context"

	"github.com/pkg/errors"

	"pearlatch/core/group"
)

// quiesce waits until no transaction is open on the primary, no write waits for
// its confirmation, and a replica that stays holds everything.
func (o *Owner) quiesce(ctx context.Context, a switchOver) error {
	for !o.pool.isIdle(a.primary) || !o.caughtUp(a.primary) {
		o.probeAll()
		sleep(ctx, statusPollInterval)
		if ctx.Err() != nil {
			return errors.New("work on the primary did not end in time")
		}
	}
	return nil
}

// caughtUp reports whether a replica that stays holds all of the primary's log.
func (o *Owner) caughtUp(primary int) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	p := o.samples[primary].Status
	for i, s := range o.samples {
		if i != primary && !o.leaving[i] && group.Follows(s.Status, p) && s.Status.Received == p.Received && len(o.waiters) == 0 {
			return true
		}
	}
	return false
}
