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
	revision, err := d.commit(call, token.Epoch(), kv.Replace(d.host.dutyKey(d.group.name), token, []byte(d.host.settings.Host), lease))
	switch {
	case errors.Is(err, errStoreRestored):
		d.lose(reasonStoreRestored)
	case errors.Is(err, ErrConflict), errors.Is(err, ErrNoLease):
		d.lose("entry changed")
	case err != nil:
		d.mu.Lock()
		d.unsure = true
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

// openOrder returns the member that an order may still promote, or the empty string. A
// higher token makes the platform refuse the order, where it checks tokens.
func (d *coordinator) openOrder() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.host.settings.PromotionTokens && d.raised > d.orderedToken {
		return ""
	}
	return d.ordered
}

// settledOrder records that no order is open any more.
func (d *coordinator) settledOrder() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ordered = ""
}

// orderExpired reports whether the last order is too old to be carried out still.
func (d *coordinator) orderExpired() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.host.settings.PromotionTokens && d.host.now().Sub(d.orderedAt) > maxPromotionDelay
}

// acknowledged records that the platform has seen the token.
func (d *coordinator) acknowledged(token kv.Revision) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.raised = max(d.raised, token)
	if d.raisedAt.IsZero() {
		d.raisedAt = d.host.now()
	}
}

// current reports whether the platform has seen the newest token, where it checks tokens, or need not.
func (d *coordinator) current() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.host.settings.PromotionTokens || d.raised == d.token || d.first == d.token
}
