package gateway

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"pearlatch/core/group"
)

// choice says on what a successor was chosen. The zero value says nothing.
type choice struct {
	// listed is when the members were listed out of which it was chosen.
	listed time.Time
	// held is the end of its log then.
	held group.Position
}

// promote orders the promotion and waits until the member leads.
func (w *watcher) promote(ctx context.Context, id string, c choice) {
	if open := w.openOrder(); open != "" && open != id {
		if w.answers(open) {
			// The order for that member may be carried out at any moment. It lacks
			// nothing, so it is ordered again.
			id, c = open, choice{}
		} else if err := w.renewToken(ctx); err != nil {
			// That member is gone, but may come back and be promoted late: only a
			// higher token makes the platform refuse that.
			w.log("promotion_held_back", "member", id, "open", open, "err", err)
			return
		}
	}
	started := w.host.now()
	for w.holds() && ctx.Err() == nil && w.host.now().Sub(started) < leadTimeout {
		if !w.order(ctx, id) {
			return
		}
		if w.leads(ctx, id) {
			w.group.meters.promotion(w.group.name, "led", w.host.now().Sub(started))
			w.log("promoted", "member", id, "took_ms", w.host.now().Sub(started).Milliseconds())
			w.mu.Lock()
			w.ordered = ""
			w.mu.Unlock()
			w.silent = 0
			w.group.renewed(c)
			return
		}
	}
	w.group.meters.promotion(w.group.name, "open", w.host.now().Sub(started))
	w.log("promotion_open", "member", id)
}

// answers reports whether the member answers.
func (w *watcher) answers(id string) bool {
	m, ok := w.group.lookup(id)
	if !ok {
		return false
	}
	_, err := w.group.command(m, Probe{}, orderTimeout)
	return err == nil || refusedByMember(err)
}

// order names the successor to the platform. It returns false when the order was
// refused.
func (w *watcher) order(ctx context.Context, id string) bool {
	w.mu.Lock()
	token := w.token
	w.ordered, w.orderedToken = id, token
	w.mu.Unlock()
	call, cancel := context.WithTimeout(ctx, promoteTimeout)
	defer cancel()
	err := w.host.ports.Promoter.Promote(call, w.host.settings.Host, token, w.group.name, id)
	if errors.Is(err, ErrFenced) {
		w.log("promotion_refused", "member", id, "token", token, "err", err)
		w.refused(ctx)
		return false
	}
	if err != nil {
		w.log("promotion_unanswered", "member", id, "token", token, "err", err)
		return true
	}
	// Older tokens are refused from now on. This one's order is open until the member
	// leads.
	w.acknowledged(token - 1)
	return true
}

// leads waits until the member leads.
func (w *watcher) leads(ctx context.Context, id string) bool {
	for until := w.host.now().Add(leadWait); w.host.now().Before(until); {
		if m, ok := w.group.lookup(id); ok && w.group.adopt(w.group.orderAll([]Member{m}, Probe{}, orderTimeout)) {
			return true
		}
		if !sleep(ctx, leadPoll) {
			return false
		}
	}
	return false
}
