package host

import (
	"context"
	stderrors "errors"
	"sync"
	"time"

	"github.com/go-kit/log/level"
	"github.com/pkg/errors"

	"pearlatch/core/membership"
	"pearlatch/core/statement"
	"pearlatch/internal/pause"
	"pearlatch/io/caller"
	"pearlatch/io/peer"
	"pearlatch/io/postgres"
)

// ownerRetryInterval is the pause before a unit is offered to the owner again while the
// ownership of its group changes hands.
const ownerRetryInterval = 5 * time.Millisecond

// slowOwnerTimeout is how long an owner may take for a unit before the entry asks
// whether its host is alive at all.
const slowOwnerTimeout = 100 * time.Millisecond

// exchanges holds the exchanges that run here for other hosts' callers, for
// cancel requests.
type exchanges struct {
	mu    sync.Mutex
	byKey map[statement.CancelKey]peer.Exchange
}

func (e *exchanges) add(key statement.CancelKey, x peer.Exchange) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.byKey == nil {
		e.byKey = map[statement.CancelKey]peer.Exchange{}
	}
	e.byKey[key] = x
}

func (e *exchanges) remove(key statement.CancelKey, x peer.Exchange) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.byKey[key] == x {
		delete(e.byKey, key)
	}
}

func (e *exchanges) get(key statement.CancelKey) peer.Exchange {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.byKey[key]
}

// routedExchange is an exchange with whichever host owns the group when its first unit
// is sent.
type routedExchange struct {
	host            *Host
	request         *statement.Request
	responseStarted bool

	mu    sync.Mutex // guards inner against Cancel, which comes from elsewhere
	inner caller.Exchange
}

var _ caller.Exchange = (*routedExchange)(nil)

// Begin implements caller.Router.
func (h *Host) Begin(r *statement.Request) caller.Exchange {
	return &routedExchange{host: h, request: r}
}

// Do implements caller.Exchange.
func (x *routedExchange) Do(ctx context.Context, u *statement.Unit, sink func([]byte) error) (statement.Outcome, error) {
	if x.inner != nil {
		out, err := x.inner.Do(ctx, u, sink)
		return out, x.callerError(u, err)
	}
	counted := func(b []byte) error {
		x.responseStarted = true
		return sink(b)
	}
	for {
		target := x.host.ranked(x.request.Group)[0]
		x.open(target)
		stop := x.host.probeIfSlow(target)
		out, err := x.inner.Do(ctx, u, counted)
		stop()
		if err == nil {
			return out, nil
		}
		x.Close()
		if !x.prepareRetry(ctx, u, target, err) {
			return out, x.callerError(u, err)
		}
	}
}

// open prepares the exchange with the host that owns the group.
func (x *routedExchange) open(target membership.Host) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.inner = x.host.exchangeWith(target, x.request)
}

func (h *Host) exchangeWith(target membership.Host, r *statement.Request) caller.Exchange {
	if target.ID != h.settings.Host {
		return h.client.Begin(target.Peer, r)
	}
	if owner := h.owner(r.Group); owner != nil {
		return owner.Begin(r)
	}
	return noOwnerExchange{}
}

// noOwnerExchange stands for the exchange of a host that is about to own the group.
type noOwnerExchange struct{}

var errNoOwner = &statement.Refusal{Code: postgres.CodeCannotConnectNow, Reason: "the group has no owner yet", NotRun: true, RetryElsewhere: true}

func (noOwnerExchange) Do(context.Context, *statement.Unit, func([]byte) error) (statement.Outcome, error) {
	return statement.Outcome{}, errNoOwner
}
func (noOwnerExchange) Cancel(context.Context) error { return nil }
func (noOwnerExchange) Close()                       {}

// prepareRetry reports whether the unit may be offered to an owner once more, and waits
// a little before.
func (x *routedExchange) prepareRetry(ctx context.Context, u *statement.Unit, target membership.Host, err error) bool {
	if ctx.Err() != nil || !time.Now().Add(ownerRetryInterval).Before(u.Deadline) {
		return false
	}
	var r *statement.Refusal
	switch {
	case stderrors.As(err, &r):
		if !r.RetryElsewhere {
			return false
		}
		x.host.applyOwnerHint(x.request.Group, r)
	case errors.Is(err, peer.ErrNotSent):
		x.host.probeNow(target)
	case errors.Is(err, peer.ErrLost):
		x.host.probeNow(target)
		if x.responseStarted || u.Kind != statement.Read && !x.request.Idempotent && (u.RequestID == "" || u.ControlsTransaction) {
			return false
		}
	default:
		return false
	}
	return pause.For(ctx, ownerRetryInterval)
}

// callerError turns an error into what the caller is told.
func (x *routedExchange) callerError(u *statement.Unit, err error) error {
	var r *statement.Refusal
	switch {
	case err == nil || stderrors.As(err, &r):
		return err
	case errors.Is(err, peer.ErrNotSent):
		return statement.NewNotRunRefusal(postgres.CodeCannotConnectNow, err.Error())
	case errors.Is(err, peer.ErrLost) && u.Kind == statement.Read:
		return &statement.Refusal{Code: postgres.CodeConnectionFailure, Reason: "the read failed: " + err.Error()}
	case errors.Is(err, peer.ErrLost):
		return peer.UnknownOutcome(err)
	}
	return err
}

// Cancel implements caller.Exchange.
func (x *routedExchange) Cancel(ctx context.Context) error {
	x.mu.Lock()
	inner := x.inner
	x.mu.Unlock()
	if inner == nil {
		return nil
	}
	return inner.Cancel(ctx)
}

// Close implements caller.Exchange.
func (x *routedExchange) Close() {
	x.mu.Lock()
	inner := x.inner
	x.inner = nil
	x.mu.Unlock()
	if inner != nil {
		inner.Close()
	}
}

// cancelTimeout bounds the passing on of a cancel request.
const cancelTimeout = time.Second

// Cancel implements caller.Router. It finds the host by the number in the key;
// two hosts may share one, and then both are asked.
func (h *Host) Cancel(key statement.CancelKey) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	if h.callers.CancelLocal(ctx, key) {
		return
	}
	for _, other := range h.table.Live() {
		if other.ID != h.settings.Host && hostNumber(other.ID) == uint16(key.Process>>16) {
			_, err := h.client.Cancel(ctx, other.Peer, &peer.Cancel{Key: key})
			if err != nil {
				_ = level.Warn(h.logger).Log("step", "cancel", "peer", other.ID, "err", err)
			}
		}
	}
}
