package pool

import (
	"time"

	"pearlatch/core/admission"
)

// Waiter is a statement that waits for a connection.
type Waiter struct {
	Request ConnRequest
	entry   *admission.Entry[*Waiter]
}

// Class returns the class of the statement in the queue.
func (r ConnRequest) Class() admission.Class {
	if r.PrimaryOnly {
		return admission.PrimaryOnly
	}
	return admission.AnyMember
}

// waitUntil returns when the statement stops waiting, or zero if it is not to be
// refused before.
func (r ConnRequest) waitUntil() time.Time {
	if r.RefuseEarly {
		return r.Deadline
	}
	return time.Time{}
}

// Enqueue adds a statement to the queue. An Assign or Refuse action of a later
// call says what becomes of it.
func (p *Pool) Enqueue(r ConnRequest, now time.Time) *Waiter {
	w := &Waiter{Request: r}
	w.entry = p.queue.Push(w, admission.Request{
		Account: r.Account, Weight: r.Weight, Rank: r.Rank, Class: r.Class(), ArrivedAt: r.ArrivedAt, WaitUntil: r.waitUntil(),
	}, now)
	return w
}

// Dequeue removes from the queue a statement that has stopped waiting.
func (p *Pool) Dequeue(w *Waiter, now time.Time) { p.queue.Remove(w.entry, now) }

// Waiting returns the number of waiting statements.
func (p *Pool) Waiting() int { return p.queue.Len() }

// Backlog returns how many waiting statements are served before a request that
// arrives now, and how many of them are served per second, or zero if that is
// unknown.
func (p *Pool) Backlog(r ConnRequest, now time.Time) (ahead int, rate float64) {
	return p.queue.Ahead(r.Rank, r.Class()), p.queue.Rate(r.Class(), now)
}

// Dispatch assigns idle connections to waiting statements, and opens more
// connections where it may. It refuses statements that can't be served in time.
// If primaryLost is true, forwardable statements are forwarded to another host.
func (p *Pool) Dispatch(now time.Time, primaryLost bool) {
	p.measureIdleSlots(now)
	p.assignIdle(now, primaryLost)
	p.openForWaiters(now)
	p.refuseHopeless(now)
	p.countIdleSlots(now)
}

// assignIdle assigns idle connections to waiting statements.
func (p *Pool) assignIdle(now time.Time, primaryLost bool) {
	var assigned []*Waiter
	usable := p.hasUsableIdle(now)
	for e := range p.queue.All(now) {
		if !usable && !primaryLost {
			break
		}
		w := e.Value
		c := (*Conn)(nil)
		if !primaryLost || !w.Request.Forwardable {
			if !usable {
				continue
			}
			if c = p.takeIdle(w.Request, now); c == nil {
				continue
			}
			usable = p.hasUsableIdle(now)
		}
		p.actions = append(p.actions, Assign{w, c})
		assigned = append(assigned, w)
	}
	for _, w := range assigned {
		p.queue.Served(w.entry, now)
	}
}

// refuseHopeless refuses the statements that can't be served in time. While no
// member may serve a statement, as when the primary is being replaced, the rate
// at which others were served does not apply to it.
func (p *Pool) refuseHopeless(now time.Time) {
	for _, e := range p.queue.Hopeless(now) {
		if p.isSaturated(e.Value.Request, now) {
			p.queue.Remove(e, now)
			p.actions = append(p.actions, Refuse{e.Value})
		}
	}
}

// hasUsableIdle reports whether an idle connection of an account with waiting
// statements may be used.
func (p *Pool) hasUsableIdle(now time.Time) bool {
	if p.queue.Len() == 0 {
		return false
	}
	for _, m := range p.sorted {
		if !m.window.Allows(m.running, now) {
			continue
		}
		for _, c := range m.idle {
			if p.queue.Waits(c.Account) {
				return true
			}
		}
	}
	return false
}
