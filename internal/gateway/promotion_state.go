package gateway

import (
	"context"

	"github.com/pkg/errors"

	"pearlatch/core/kv"
)

// renewToken takes a higher token for another decision.
func (d *coordinator) renewToken(ctx context.Context) error {
	d.mu.Lock()
	token, lease := d.token, d.lease
	d.mu.Unlock()
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	revision, err := d.commitInEpoch(call, token.Epoch(), kv.Replace(d.host.coordinatorKey(d.group.name), token, []byte(d.host.settings.Host), lease))
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
		return errors.Wrap(err, "higher token")
	}
	d.host.quotas.Raised(d.group.name, int64(revision))
	d.mu.Lock()
	defer d.mu.Unlock()
	d.token = revision
	return nil
}

// pendingPromotion returns the member that an order may still promote, or the empty string. A
// higher token makes the platform refuse the order, where it checks tokens.
func (d *coordinator) pendingPromotion() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.host.settings.PromotionTokens && d.raisedToken > d.pendingToken {
		return ""
	}
	return d.pendingMember
}

// clearPendingPromotion records that no order is open any more.
func (d *coordinator) clearPendingPromotion() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.pendingMember = ""
}

// pendingPromotionExpired reports whether the last order is too old to be carried out still.
func (d *coordinator) pendingPromotionExpired() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.host.settings.PromotionTokens && d.host.now().Sub(d.pendingAt) > maxPromotionDelay
}

// noteTokenRaised records that the platform has seen the token.
func (d *coordinator) noteTokenRaised(token kv.Revision) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.raisedToken = max(d.raisedToken, token)
	if d.tokenRaisedAt.IsZero() {
		d.tokenRaisedAt = d.host.now()
	}
}

// tokenCurrent reports whether the platform has seen the newest token, where it checks tokens, or need not.
func (d *coordinator) tokenCurrent() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.host.settings.PromotionTokens || d.raisedToken == d.token || d.firstToken == d.token
}
