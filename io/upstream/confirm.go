package upstream

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"pearlatch/core/group"
)

// errUnconfirmed means that the write may or may not survive.
var errUnconfirmed = errors.New("the outcome could not be confirmed")

// confirmWaiter waits until what the primary held after since is confirmed.
type confirmWaiter struct {
	term  group.Term
	since time.Time
	// target is an upper bound of the write's end: the primary's position asked
	// for at or after since. Zero until there is one.
	target group.LSN
	done   chan error // buffered, gets one value
}

// confirm waits until a majority holds everything that the primary of term had
// written by now, and returns a position that includes it.
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

// resolveWaiters answers the waiters that the samples allow to be answered. o.mu is
// held and l's control connection is that of the primary's sample.
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

func (o *Owner) isConfirmed(w *confirmWaiter, l *leadership) bool {
	if w.target == 0 || time.Now().Before(l.ackAfter) {
		return false
	}
	c, ok := group.Confirm(o.samples, l.primary, w.since)
	return ok && c.LSN >= w.target
}

// resolveEndedTerm decides a waiter whose term has ended. The promoted member's log tells
// whether the write survived: it does if its upper bound is included, and then
// the waiter goes on until the new term's first record is confirmed. If not, the
// write itself may still lie below, so the outcome stays unknown.
func (o *Owner) resolveEndedTerm(w *confirmWaiter, l *leadership) {
	if w.target == 0 || w.term != o.lastTerm || w.target > o.lastEnd {
		o.finishWaiter(w, errUnconfirmed)
		return
	}
	w.term, w.target, w.since = l.term, l.floor.LSN, time.Now()
}

func (o *Owner) finishWaiter(w *confirmWaiter, err error) {
	delete(o.waiters, w)
	w.done <- err
}

func (o *Owner) failWaiters() {
	o.mu.Lock()
	defer o.mu.Unlock()
	for w := range o.waiters {
		o.finishWaiter(w, errUnconfirmed)
	}
}

// awaitLease waits until the owner's lease covers the present moment.
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

// leasePollInterval is how often awaitLease looks again.
const leasePollInterval = time.Millisecond
