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

// ownerPause is the pause before a unit is offered to the owner again while the
// ownership of its group changes hands.
const ownerPause = 5 * time.Millisecond

// slowAnswer is how long an owner may take for a unit before the entry asks
// whether its host is alive at all.
const slowAnswer = 100 * time.Millisecond

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

// routed is an exchange with whichever host owns the group when its first unit
// is sent.
type routed struct {
	host    *Host
	request *statement.Request
	passed  bool

	mu    sync.Mutex // guards inner against Cancel, which comes from elsewhere
	inner caller.Exchange
}

var _ caller.Exchange = (*routed)(nil)

// Begin implements caller.Router.
func (h *Host) Begin(r *statement.Request) caller.Exchange {
	return &routed{host: h, request: r}
}

// Do implements caller.Exchange.
func (x *routed) Do(ctx context.Context, u *statement.Unit, sink func([]byte) error) (statement.Outcome, error) {
	if x.inner != nil {
		out, err := x.inner.Do(ctx, u, sink)
		return out, x.final(u, err)
	}
	counted := func(b []byte) error {
		x.passed = true
		return sink(b)
	}
	for {
		target := x.host.ranked(x.request.Group)[0]
		x.open(target)
		stop := x.host.watchPeer(target)
		out, err := x.inner.Do(ctx, u, counted)
		stop()
		if err == nil {
			return out, nil
		}
		x.Close()
		if !x.again(ctx, u, target, err) {
			return out, x.final(u, err)
		}
	}
}

// open prepares the exchange with the host that owns the group.
func (x *routed) open(target membership.Host) {
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
	return notYet{}
}

// notYet stands for the exchange of a host that is about to own the group.
type notYet struct{}

var errNotYet = &statement.Refusal{Code: postgres.CodeCannotConnectNow, Reason: "the group has no owner yet", NotRun: true, RetryElsewhere: true}

func (notYet) Do(context.Context, *statement.Unit, func([]byte) error) (statement.Outcome, error) {
	return statement.Outcome{}, errNotYet
}
func (notYet) Cancel(context.Context) error { return nil }
func (notYet) Close()                       {}

// again reports whether the unit may be offered to an owner once more, and waits
// a little before.
func (x *routed) again(ctx context.Context, u *statement.Unit, target membership.Host, err error) bool {
	if ctx.Err() != nil || !time.Now().Add(ownerPause).Before(u.Deadline) {
		return false
	}
	var r *statement.Refusal
	switch {
	case stderrors.As(err, &r):
		if !r.RetryElsewhere {
			return false
		}
		x.host.follow(x.request.Group, r)
	case errors.Is(err, peer.ErrNotSent):
		x.host.doubt(target)
	case errors.Is(err, peer.ErrLost):
		x.host.doubt(target)
		if x.passed || u.Kind != statement.Read && !x.request.Idempotent && (u.RequestID == "" || u.ControlsTransaction) {
			return false
		}
	default:
		return false
	}
	return pause.For(ctx, ownerPause)
}

// final turns an error into what the caller is told.
func (x *routed) final(u *statement.Unit, err error) error {
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
func (x *routed) Cancel(ctx context.Context) error {
	x.mu.Lock()
	inner := x.inner
	x.mu.Unlock()
	if inner == nil {
		return nil
	}
	return inner.Cancel(ctx)
}

// Close implements caller.Exchange.
func (x *routed) Close() {
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
