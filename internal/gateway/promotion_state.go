package gateway

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"pearlatch/core/kv"
	"pearlatch/core/leadership"
	"pearlatch/internal/pause"
)

// renewToken rewrites the role's entry to get a higher fencing token, either for a decision that invalidates a pending
// promotion, or after the platform refused the present token. If the entry or its store lease is no longer this host's, or
// the store was restored, the role is lost.
func (d *coordinator) renewToken(ctx context.Context) error {
	d.mu.Lock()
	token, storeLease := d.token, d.leaseID
	d.mu.Unlock()
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	revision, err := d.commitInEpoch(call, token.Epoch(), kv.Replace(d.host.coordinatorKey(d.group.name), token, []byte(d.host.settings.Host), storeLease))
	switch {
	case errors.Is(err, errStoreRestored):
		d.loseRole(reasonStoreRestored)
	case errors.Is(err, ErrConflict), errors.Is(err, ErrNoLease):
		d.loseRole("entry changed")
	case err != nil:
		d.mu.Lock()
		d.writeUncertain = true
		d.mu.Unlock()
	}
	if err != nil {
		return errors.Wrap(err, "renew fencing token")
	}
	d.host.quotas.RaiseToken(d.group.name, int64(revision))
	d.mu.Lock()
	defer d.mu.Unlock()
	d.token = revision
	return nil
}

// pendingPromotion returns the member whose promotion may still be carried out, or the empty string. If the platform checks
// tokens and has seen a higher one, it refuses the request, so that nothing is pending.
func (d *coordinator) pendingPromotion() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.host.settings.PromotionTokens && d.raisedToken > d.pendingToken {
		return ""
	}
	return d.pendingMember
}

// mayBeUndone reports whether a promotion of the member under the present token may be undone by an earlier request.
func (d *coordinator) mayBeUndone(id string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.unanswered.MayUndo(id, d.token, d.host.now())
}

// clearPendingPromotion records that no promotion is pending any more.
func (d *coordinator) clearPendingPromotion() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.pendingMember = ""
}

// pendingPromotionExpired reports whether the last promotion request is too old to be carried out. It is always false if
// the platform checks tokens.
func (d *coordinator) pendingPromotionExpired() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.host.settings.PromotionTokens && d.host.now().Sub(d.pendingAt) > leadership.MaxUnansweredPromotionDelay
}

// noteTokenRaised records that the platform has acknowledged the token.
func (d *coordinator) noteTokenRaised(token kv.Revision) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.raisedToken = max(d.raisedToken, token)
	if d.predecessor.TokenRaisedAt.IsZero() {
		d.predecessor.TokenRaisedAt = d.host.now()
	}
}

// tokenCurrent reports whether the platform has seen the newest token or need not see it: it checks no tokens, or no
// earlier coordinator can have requested a promotion.
func (d *coordinator) tokenCurrent() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.host.settings.PromotionTokens || d.raisedToken == d.token || d.exemptToken == d.token
}

// settledAt returns when no unrecorded promotion of an earlier coordinator can take effect any more.
func (d *coordinator) settledAt() (time.Time, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.predecessor.SettledAt()
}

// maxOwnEntryDelay bounds the wait for the role's own entry. Hosts watch the store every 100 ms at most, and pass changes
// on within about 60 ms.
const maxOwnEntryDelay = 250 * time.Millisecond

// awaitOwnEntry waits until the host has seen the store up to the role's entry, as checkPendingPromotions requires. Without
// the wait, the proof would come a probeInterval later.
func (w *groupMonitor) awaitOwnEntry(ctx context.Context) {
	w.mu.Lock()
	token := w.token
	w.mu.Unlock()
	for until := w.host.now().Add(maxOwnEntryDelay); kv.Revision(w.host.knownRevision.Load()) < token && !w.promotionsSettled(); {
		if !pause.For(ctx, idleConnPollInterval) || w.host.now().After(until) {
			return
		}
	}
}

// checkPendingPromotions notes whether the answers prove that no promotion of an earlier coordinator is pending. The host
// must have seen the store up to the role's entry, so that it knows which members restarted before it acquired the role.
func (w *groupMonitor) checkPendingPromotions(primary controlResult, replicas []controlResult) {
	runs, last := w.group.runs(), w.host.knownRevision.Load()
	w.mu.Lock()
	defer w.mu.Unlock()
	end, known := w.predecessor.PromotionsEnd()
	settled, _ := w.predecessor.SettledAt()
	if !known || !settled.After(w.host.now()) || !w.predecessor.RecordCertain || w.recordRevision == 0 || kv.Revision(last) < w.token {
		return
	}
	for _, a := range append(replicas[:len(replicas):len(replicas)], primary) {
		if a.sentAt.Before(end) || a.relayedBy != "" {
			return
		}
	}
	w.predecessor.NothingPending = leadership.NoPromotionPending(w.record.Record, w.predecessor.SameHost, runs, primary.member.ID, primary.status.Term, toProbeResults(replicas))
	if w.predecessor.NothingPending {
		w.log("no_promotion_pending", "member", primary.member.ID, "term", primary.status.Term, "saved_ms", settled.Sub(w.host.now()).Milliseconds())
	}
}
