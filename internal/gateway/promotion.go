package gateway

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"pearlatch/core/group"
	"pearlatch/internal/pause"
)

// successorChoice says on what a successor was chosen. The zero value says nothing.
type successorChoice struct {
	// listedAt is when the members were listed out of which it was chosen.
	listedAt time.Time
	// received is the end of its log then.
	received group.Position
}

// promote orders the promotion and waits until the member leads. It returns false if it gave no
// order.
func (w *groupMonitor) promote(ctx context.Context, id string, c successorChoice) (given bool) {
	if open := w.pendingPromotion(); open != "" && open != id {
		if s, err := w.probe(open); err == nil && s.Received.Compare(c.received) >= 0 {
			// The order for that member may be carried out at any moment. It lacks
			// nothing, so it is ordered again.
			id, c = open, successorChoice{}
		} else if err := w.invalidatePromotion(ctx); err != nil {
			w.log("promotion_held_back", "member", id, "open", open, "err", err)
			return false
		}
	}
	if err := w.recordPromotion(ctx, id); err != nil {
		w.log("order_not_recorded", "member", id, "err", err)
		if !w.host.settings.PromotionTokens {
			return false // the next holder would not know of the order
		}
	}
	started := w.host.now()
	for w.mayPromote() && ctx.Err() == nil && w.host.now().Sub(started) < promotionTimeout {
		given = true
		if !w.requestPromotion(ctx, id) {
			return given
		}
		if led, ok := w.awaitPromoted(ctx, id); ok {
			w.recordPrimaryAnswer(led)
			w.demotePredecessor(id, led.status.Term)
			w.primary = led.member
			w.group.metrics.promotion(w.group.name, "led", w.host.now().Sub(started))
			w.log("promoted", "member", id, "took_ms", w.host.now().Sub(started).Milliseconds())
			w.clearPendingPromotion()
			// What the old primary wrote alone is gone: it says nothing against the new one.
			w.silentRounds, w.unreceivedPosition = 0, group.Position{}
			w.group.renewFloor(c)
			return given
		}
	}
	w.group.metrics.promotion(w.group.name, "open", w.host.now().Sub(started))
	w.log("promotion_open", "member", id)
	return given
}

// invalidatePromotion makes sure that an open order for a member that is gone is not carried out late,
// when the member is back: by a higher token, which makes the platform refuse it, or by time
// where the platform checks no tokens.
func (w *groupMonitor) invalidatePromotion(ctx context.Context) error {
	if w.host.settings.PromotionTokens {
		return w.renewToken(ctx)
	}
	if !w.pendingPromotionExpired() {
		return errPromotionPending
	}
	return nil
}

// errPromotionPending means that an earlier order may still be carried out.
var errPromotionPending = errors.New("an earlier order may still be carried out")

// resumePromotion gives an open order again while the primary before still leads, since it may be
// carried out at any moment. The fences that make it safe stay. If one is missing, the order was
// given up or a replica was started again: then all but the member are fenced anew, and it must
// first receive what the primary has.
func (w *groupMonitor) resumePromotion(ctx context.Context, open string, primary controlResult, replicas []controlResult) {
	var unfenced []Member
	target := controlResult{err: errNotProbed}
	for _, r := range replicas {
		switch {
		case r.member.ID == open:
			target = r
		case r.err != nil || r.status.Fenced <= primary.status.Term:
			unfenced = append(unfenced, r.member)
		}
	}
	if len(unfenced) > 0 {
		w.group.controlAll(unfenced, Fence{Term: max(highestTerm(replicas), primary.status.Term) + 1}, controlTimeout)
		if target.err != nil || target.status.Received.Compare(primary.status.Received) < 0 {
			w.log("order_awaits_log", "member", open, "unfenced", len(unfenced))
			return
		}
	}
	w.promote(ctx, open, successorChoice{})
}

// isReachable reports whether the member answers.
func (w *groupMonitor) isReachable(id string) bool {
	_, err := w.probe(id)
	return err == nil || isMemberFailure(err)
}

// probe asks the member for its status.
func (w *groupMonitor) probe(id string) (Status, error) {
	m, ok := w.group.lookupMember(id)
	if !ok {
		return Status{}, errNotProbed
	}
	return w.group.control(m, Probe{}, controlTimeout)
}

// requestPromotion names the successor to the platform. It returns false when the order was
// refused.
func (w *groupMonitor) requestPromotion(ctx context.Context, id string) bool {
	w.mu.Lock()
	if !w.held || !w.acquiredAt.Equal(w.roundAcquiredAt) {
		// Lost and taken again since the round began: leases may hold that this round has not waited for.
		w.mu.Unlock()
		w.log("promotion_off", "member", id, "why", "the duty was lost meanwhile")
		return false
	}
	token := w.token
	w.pendingMember, w.pendingToken, w.pendingAt = id, token, w.host.now()
	w.mu.Unlock()
	call, cancel := context.WithTimeout(ctx, promoteCallTimeout)
	defer cancel()
	err := w.host.ports.Promoter.Promote(call, w.host.settings.Host, int64(token), w.group.name, id)
	if errors.Is(err, ErrFenced) {
		w.log("promotion_refused", "member", id, "token", int64(token), "err", err)
		w.handleRefusedToken(ctx)
		return false
	}
	if err != nil {
		w.log("promotion_unanswered", "member", id, "token", int64(token), "err", err)
		return true
	}
	// Older tokens are refused from now on. This one's order is open until the member
	// leads.
	w.noteTokenRaised(token - 1)
	return true
}

// awaitPromoted waits until the member leads, and returns its answer.
func (w *groupMonitor) awaitPromoted(ctx context.Context, id string) (controlResult, bool) {
	for until := w.host.now().Add(promotionRetryDelay); w.host.now().Before(until); {
		if m, ok := w.group.lookupMember(id); ok {
			answers := w.group.controlAll([]Member{m}, Probe{}, controlTimeout)
			if w.group.adoptPrimary(answers) {
				return answers[0], true
			}
		}
		if !pause.For(ctx, promotionPollInterval) {
			return controlResult{}, false
		}
	}
	return controlResult{}, false
}

// demotePredecessor tells the primary before that another member leads. Until it knows, it takes
// writes that hang, since no replica receives them.
func (w *groupMonitor) demotePredecessor(leader string, term group.Term) {
	old := w.primary
	if old.ID == "" || old.ID == leader {
		return
	}
	go func() {
		_, err := w.group.control(old, Demote{Term: term}, controlTimeout)
		w.log("replaced_primary_demoted", "member", old.ID, "term", term, "err", err)
	}()
}
