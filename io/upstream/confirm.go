package upstream

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"pearlatch/core/group"
)

// errUnconfirmed means that it is unknown whether a write survives a failover.
var errUnconfirmed = errors.New("the outcome could not be confirmed")

// confirmWaiter waits until everything that the primary had written by the time
// since is confirmed.
type confirmWaiter struct {
	term  group.Term
	since time.Time
	// target is an upper bound of the end of the write: the primary's position in
	// a sample requested at or after since. It is zero until there is such a
	// sample.
	target group.LSN
	done   chan error // buffered, receives one value
}

// confirm waits until a majority of the members holds everything that the primary
// of the term had written at the time of the call, and returns a position that
// includes it. It returns errUnconfirmed if that does not happen before ctx ends.
// The position may be set even then.
func (o *Owner) confirm(ctx context.Context, term group.Term) (group.Position, error) {
	w := &confirmWaiter{term: term, since: time.Now(), done: make(chan error, 1)}
	o.mu.Lock()
	o.waiters[w] = struct{}{}
	o.mu.Unlock()
	o.probeAll()
	var err error
	select {
	case err = <-w.done:
	case <-ctx.Done():
		err = errUnconfirmed
	}
	o.mu.Lock()
	delete(o.waiters, w)
	p := group.Position{Term: w.term, LSN: w.target}
	o.mu.Unlock()
	return p, err
}

// resolveWaiters ends the waiters whose outcome follows from the samples, and has
// the members probed if others remain. o.mu must be held, and the primary's sample
// must come from l's control connection.
func (o *Owner) resolveWaiters(l *leadership) {
	if len(o.waiters) == 0 {
		return
	}
	primary := o.samples[l.primary]
	waiting := false
	for w := range o.waiters {
		if w.term != l.term {
			o.resolveEndedTerm(w, l)
			waiting = true
			continue
		}
		if w.target == 0 && !primary.SentAt.Before(w.since) {
			w.target = primary.Status.Received
		}
		if o.isConfirmed(w, l) {
			o.finishWaiter(w, nil)
			continue
		}
		waiting = true
	}
	if waiting {
		o.probeAll()
	}
}

// isConfirmed reports whether a majority holds w's target and the lease of an
// earlier owner has ended. o.mu must be held.
func (o *Owner) isConfirmed(w *confirmWaiter, l *leadership) bool {
	if w.target == 0 || time.Now().Before(l.ackAfter) {
		return false
	}
	c, ok := group.Confirm(o.samples, l.primary, w.since)
	return ok && c.LSN >= w.target
}

// resolveEndedTerm handles a waiter whose term has ended. If the log of the
// promoted member includes the waiter's target, the write survived, and the waiter
// continues until the new term's first record is confirmed. Otherwise the write
// itself may still end below that point, so its outcome is unknown. o.mu must be
// held.
func (o *Owner) resolveEndedTerm(w *confirmWaiter, l *leadership) {
	if w.target == 0 || w.term != o.lastTerm || w.target > o.lastEnd {
		o.finishWaiter(w, errUnconfirmed)
		return
	}
	w.term, w.target, w.since = l.term, l.floor.LSN, time.Now()
}

// finishWaiter removes a waiter and passes it err. o.mu must be held.
func (o *Owner) finishWaiter(w *confirmWaiter, err error) {
	delete(o.waiters, w)
	w.done <- err
}

// failWaiters ends all waiters with errUnconfirmed.
func (o *Owner) failWaiters() {
	o.mu.Lock()
	defer o.mu.Unlock()
	for w := range o.waiters {
		o.finishWaiter(w, errUnconfirmed)
	}
}

// awaitLease waits until the owner holds a valid lease. It returns errUnconfirmed
// if ctx ends or the owner stops first.
func (o *Owner) awaitLease(ctx context.Context) error {
	for {
		v := o.view()
		now := time.Now()
		if now.Before(v.leaseUntil) {
			return nil
		}
		if v.phase == Stopped {
			return errUnconfirmed
		}
		o.probeAll()
		t := time.NewTimer(leasePollInterval)
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			return errUnconfirmed
		}
	}
}

// leasePollInterval is the interval at which awaitLease checks the lease.
const leasePollInterval = time.Millisecond
