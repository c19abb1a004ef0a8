package gateway

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"pearlatch/core/group"
	"pearlatch/core/leadership"
	"pearlatch/internal/pause"
)

// successorChoice is the basis on which a successor of the primary was chosen. The zero value means that it is not known.
type successorChoice struct {
	// listedAt is when the members from which it was chosen were listed.
	listedAt time.Time
	// received is the end of the successor's log when it was chosen.
	received group.Position
}

// promotionOutcome is what became of a promotion.
type promotionOutcome int

const (
	// promotionNotRequested means that no request was sent, or that the platform refused it.
	promotionNotRequested promotionOutcome = iota
	// promotionRequested means that the platform may carry out a request.
	promotionRequested
	// promotionLed means that the member leads.
	promotionLed
)

// promote requests the promotion of the member and waits until it leads, for up to promotionTimeout. If another member's
// promotion is pending, it either requests that one again or invalidates it first.
func (w *groupMonitor) promote(ctx context.Context, id string, c successorChoice) promotionOutcome {
	if pending := w.pendingPromotion(); pending != "" && pending != id {
		if s, err := w.probe(pending); err == nil && s.Received.Compare(c.received) >= 0 {
			// The pending promotion may be carried out at any moment. That member lacks nothing, so its promotion is
			// requested again.
			id, c = pending, successorChoice{}
		} else if err := w.invalidatePromotion(ctx); err != nil {
			w.log("promotion_held_back", "member", id, "open", pending, "err", err)
			return promotionNotRequested
		}
	}
	if w.mayBeUndone(id) {
		if err := w.invalidatePromotion(ctx); err != nil {
			w.log("promotion_held_back", "member", id, "why", "an earlier request got no answer", "err", err)
			return promotionNotRequested
		}
	}
	if err := w.recordPromotion(ctx, id); err != nil {
		w.log("order_not_recorded", "member", id, "err", err)
		if !w.host.settings.PromotionTokens {
			return promotionNotRequested // the next coordinator would not know of the promotion
		}
	}
	started, outcome := w.host.now(), promotionNotRequested
	for w.mayPromote() && ctx.Err() == nil && w.host.now().Sub(started) < promotionTimeout {
		if !w.requestPromotion(ctx, id) {
			return outcome
		}
		outcome = promotionRequested
		if answer, ok := w.awaitPromoted(ctx, id); ok {
			w.recordPrimaryAnswer(answer)
			w.demotePredecessor(id, answer.status.Term)
			w.primary = answer.member
			w.group.metrics.Promotion(w.group.name, "led", w.host.now().Sub(started))
			w.log("promoted", "member", id, "took_ms", w.host.now().Sub(started).Milliseconds())
			w.overloadDetector.Promoted(w.host.now())
			w.clearPendingPromotion()
			// Writes that only the old primary had are lost, so a position that no replica had received does not
			// count against the new primary.
			w.silentRounds = 0
			w.stuckWrites.Reset()
			w.group.renewFloor(c)
			return promotionLed
		}
	}
	w.group.metrics.Promotion(w.group.name, "open", w.host.now().Sub(started))
	w.log("promotion_open", "member", id)
	return outcome
}

// invalidatePromotion makes sure that a pending promotion of a member that does not answer, or is behind, is not carried out
// later, for example when the member is back. If the platform checks fencing tokens, it obtains a higher token: the
// platform refuses the old request once it has seen that token. Otherwise it returns errPromotionPending until the request
// is too old.
func (w *groupMonitor) invalidatePromotion(ctx context.Context) error {
	if w.host.settings.PromotionTokens {
		return w.renewToken(ctx)
	}
	if !w.pendingPromotionExpired() {
		return errPromotionPending
	}
	return nil
}

// errPromotionPending means that an earlier promotion may still be carried out.
var errPromotionPending = errors.New("an earlier promotion may still be carried out")

// resumePromotion requests a pending promotion again while the old primary still leads, since the earlier request may be
// carried out at any moment. The fences that make the promotion safe stay in place. If a replica is not fenced, the
// promotion was abandoned or the replica was restarted: all replicas but the pending member are fenced again, and that
// member must first receive everything that the primary has.
func (w *groupMonitor) resumePromotion(ctx context.Context, pending string, primary controlResult, replicas []controlResult) {
	var unfenced []Member
	target := controlResult{err: errNotProbed}
	for _, r := range replicas {
		switch {
		case r.member.ID == pending:
			target = r
		case r.err != nil || r.status.Fenced <= primary.status.Term:
			unfenced = append(unfenced, r.member)
		}
	}
	if len(unfenced) > 0 {
		if w.predecessorMayAct() {
			return // the previous coordinator may still switch over to another target
		}
		w.group.controlAll(unfenced, Fence{Term: max(highestTerm(replicas), primary.status.Term) + 1}, controlTimeout)
		if target.err != nil || target.status.Received.Compare(primary.status.Received) < 0 {
			w.log("order_awaits_log", "member", pending, "unfenced", len(unfenced))
			return
		}
	}
	w.promote(ctx, pending, successorChoice{})
}

// isReachable reports whether the member answers, even if only with a failure.
func (w *groupMonitor) isReachable(id string) bool {
	_, err := w.probe(id)
	return err == nil || isMemberFailure(err)
}

// probe asks the member for its status. It returns errNotProbed for an unknown member.
func (w *groupMonitor) probe(id string) (Status, error) {
	m, ok := w.group.lookupMember(id)
	if !ok {
		return Status{}, errNotProbed
	}
	return w.group.control(m, Probe{}, controlTimeout)
}

// requestPromotion asks the platform to promote the member. It returns false if the platform refused the token, or if the
// role was lost since the round began so that nothing was requested. An unanswered request counts as made.
func (w *groupMonitor) requestPromotion(ctx context.Context, id string) bool {
	w.mu.Lock()
	if !w.held || w.resigning || !w.predecessor.AcquiredAt.Equal(w.roundAcquiredAt) {
		// The role was lost since the round began, and may have been acquired again: leases may be valid that this round
		// has not waited for. Or the role is being handed back, and the next coordinator expects no promotion.
		w.mu.Unlock()
		w.log("promotion_off", "member", id, "why", "the coordinator role was lost or handed back since the round began")
		return false
	}
	token := w.token
	w.pendingMember, w.pendingToken, w.pendingAt = id, token, w.host.now()
	w.mu.Unlock()
	call, cancel := context.WithTimeout(ctx, promoteCallTimeout)
	defer cancel()
	err := w.host.ports.Promoter.Promote(call, w.host.settings.Host, int64(token), w.group.name, id)
	if errors.Is(err, ErrPromotionRefused) {
		w.log("promotion_refused", "member", id, "token", int64(token), "err", err)
		w.handleRefusedToken(ctx)
		return false
	}
	if err != nil {
		w.log("promotion_unanswered", "member", id, "token", int64(token), "err", err)
		w.mu.Lock()
		w.unanswered = leadership.UnansweredPromotion{Member: id, Token: token, SentAt: w.host.now()}
		w.mu.Unlock()
		return true
	}
	// The platform refuses older tokens from now on. This token's promotion is pending until the member leads.
	w.noteTokenRaised(token - 1)
	return true
}

// awaitPromoted waits until the member leads and returns its answer. It returns false after promotionRetryDelay, or when
// ctx ends.
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

// demotePredecessor tells the old primary in the background that another member leads. Until it knows, it accepts writes
// that hang, since no replica receives them.
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
