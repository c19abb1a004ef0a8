package gateway

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"pearlatch/core/kv"
	"pearlatch/core/leadership"
)

const (
	// coordinatorLeaseTTL is the life of the lease under which a host's duties stand: after the host's death, others
	// take them this much later.
	coordinatorLeaseTTL = 3 * time.Second
	// recordWriteTimeout bounds the writing of what the next holder must know.
	recordWriteTimeout = 500 * time.Millisecond
	// maxPromotionDelay is how long an order without an answer may still be carried out where the
	// platform checks no fencing tokens: the users' late calls come up to 6 s after.
	maxPromotionDelay = 8 * time.Second
	// coordinatorPollInterval is the pause between looks at duties that others may leave. After a restart of
	// all hosts nobody grants leases until the duties are taken again.
	coordinatorPollInterval = 100 * time.Millisecond
	// minAcquireBackoff is the pause after a try to take a duty that failed, maxAcquireBackoff the longest one. A host
	// that hears no news tried ten times a second to take what another one had taken, three calls each.
	minAcquireBackoff = 200 * time.Millisecond
	maxAcquireBackoff = 3200 * time.Millisecond
	// acquireBatchSize is how many duties are taken in one transaction, of at most 32 entries: each needs two expectations
	// and two writes.
	acquireBatchSize = 8
	// acceptedPromotionDelay is how long an order may take to be carried out that was accepted: the users'
	// members take up to 1 s to lead.
	acceptedPromotionDelay = 1200 * time.Millisecond
)

// coordinator is this host's part in the promotions of one group.
type coordinator struct {
	host  *Host
	group *Group

	mu    sync.Mutex
	held  bool
	lease int64
	// token is the revision at which the duty's entry was last written: it rises
	// with each holder, and with each decision of one, also if the store came back from an older copy in
	// between. It is the fencing token.
	token kv.Revision
	// acquiredAt is when the duty was taken; renewedAt is when the entry was last known to be this host's.
	acquiredAt, renewedAt time.Time
	// renewalsUnbroken is true while each renewal of the lease since then has succeeded.
	renewalsUnbroken bool
	// writeUncertain is true after a write of the entry whose outcome is not known: an entry of this host may then be a later
	// one than the holder's before.
	writeUncertain bool
	// tokenRaisedAt is when the platform first acknowledged a token of this host since it took the duty, or
	// zero.
	tokenRaisedAt time.Time
	// record is the last one that this host has written of the group, in any time that it held the duty. It lies
	// in the store for the next holder, as written at recordRevision.
	// That is zero while it is not known.
	record         leadership.StoredRecord
	recordRevision kv.Revision
	// recordInherited is true once the record of the holder before was read.
	recordInherited bool
	// primaryStatus is what leases on the primary are granted on, and grants are those that may
	// hold.
	primaryStatus primaryStatus
	grants        leadership.Grants
	// reclaimed is true if the duty was an earlier process's of this host, and predecessorHandedBack if its
	// holder had given it back.
	reclaimed, predecessorHandedBack bool
	// lastWokenAt is when a question that brought no lease last woke the holder.
	lastWokenAt time.Time
	// resigning is true once the duty is being given up while its leases end.
	resigning bool
	// vacantSince is since when nobody has held the duty, or zero. After a try to take it that failed the next
	// one comes no sooner than nextAcquireAt, after acquireBackoff.
	vacantSince, nextAcquireAt time.Time
	acquireBackoff             time.Duration
	// recordSeparately is true if the record is to be read and written after the duty was taken, not along with it.
	recordSeparately bool
	// pendingMember is the member named by the last order, pendingToken its token and pendingAt
	// when it was given last, until it is seen to lead. Empty means that no order is open.
	pendingMember string
	pendingToken  kv.Revision
	pendingAt     time.Time
	// raisedToken is the highest token that the platform has acknowledged: orders with
	// lower ones are refused from then on.
	raisedToken kv.Revision
	// firstToken is the token if the group had no holder before that could have ordered anything, or zero: the platform need
	// not see it before leases are granted.
	firstToken kv.Revision
}

func (h *Host) coordinatorKey(group string) string { return h.ports.Keys.OwnPrefix + "duty/" + group }

// runCoordinators takes duties that fall to this host, and keeps those it holds. It looks after the leases of the same
// groups, beginning as soon as there is such a group.
func (h *Host) runCoordinators(ctx context.Context) {
	var wait sync.WaitGroup
	defer wait.Wait()
	for h.awaitCoordinatorPoll(ctx) {
		var due []*coordinator
		for _, g := range h.allGroups() {
			if d := h.startGroup(ctx, g, wait.Go); d != nil && d.step(ctx) {
				due = append(due, d)
			}
		}
		h.acquireCoordinators(ctx, due)
		h.dropUnusedGroups()
	}
	for _, d := range h.heldCoordinators() {
		d.loseRole("stopping")
	}
	h.coordinatorLease.end()
}

// heldCoordinators returns the duties that the host holds.
func (h *Host) heldCoordinators() []*coordinator {
	h.mu.Lock()
	duties := slices.Collect(maps.Values(h.coordinators))
	h.mu.Unlock()
	return slices.DeleteFunc(duties, func(d *coordinator) bool { return !d.isHeld() })
}

// awaitCoordinatorPoll waits until the duties are to be looked at again, or a Group has come into being. It returns false when ctx
// ended.
func (h *Host) awaitCoordinatorPoll(ctx context.Context) bool {
	due := time.NewTimer(coordinatorPollInterval)
	defer due.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-h.groupCreated:
	case <-due.C:
	}
	return true
}

// step does what is due about the duty, and reports whether it is to be taken.
func (d *coordinator) step(ctx context.Context) (takes bool) {
	now := d.host.now()
	state, holder := d.state()
	switch state.Next() {
	case leadership.LoseToRestore:
		d.loseRole(reasonStoreRestored)
	case leadership.LoseToHolder:
		d.loseRole("taken by " + holder)
	case leadership.LoseToRemoval:
		d.loseRole("entry taken away")
	case leadership.ResignDuty:
		d.resign(ctx)
	case leadership.InheritRecord:
		d.tryInheritRecord(ctx)
	case leadership.ReclaimDuty:
		return true
	case leadership.ForgetVacancy:
		d.vacantSince, d.acquireBackoff = time.Time{}, 0
	case leadership.ClaimDuty:
		return d.mayClaim(now)
	}
	return false
}

// state returns what is known of the duty, and the host that its entry names.
func (d *coordinator) state() (s leadership.DutyState, holder string) {
	h := d.host
	h.mu.Lock()
	entry, _ := h.storeView.Item(h.coordinatorKey(d.group.name))
	known, informed := h.storeView.Revision(), h.storeView.Recent()
	h.mu.Unlock()
	holder = string(entry.Value)
	d.mu.Lock()
	defer d.mu.Unlock()
	return leadership.DutyState{
		Held: d.held, Token: d.token, EntryRevision: entry.Revision, OwnEntry: holder == h.settings.Host, StoreRevision: known,
		Stopping: h.stopping.Load(), MayTakeDuty: h.mayCoordinate(), Candidate: h.isCandidate(d.group.name), UpToDate: informed, RecordInherited: d.recordRevision != 0,
	}, holder
}

// mayClaim reports whether nobody has held the duty for as long as hosts of a higher rank are given to take it.
func (d *coordinator) mayClaim(now time.Time) bool {
	if d.vacantSince.IsZero() {
		d.vacantSince = now
		return false
	}
	wait := leadership.ClaimDelay(d.host.fleet.Place(d.group.name), d.host.storeView.Lag())
	return now.Sub(d.vacantSince) >= wait && !now.Before(d.nextAcquireAt)
}

// isCandidate reports whether the host is among the first that take a group's duty when nobody holds it.
func (h *Host) isCandidate(name string) bool { return h.ports.Peers == nil || h.fleet.Candidate(name) }

// mayCoordinate reports whether the host may take on duties.
func (h *Host) mayCoordinate() bool { return !h.stopping.Load() && h.synced.Load() }

func (d *coordinator) tryInheritRecord(ctx context.Context) {
	if err := d.inheritRecord(ctx); err != nil {
		d.log("record_not_inherited", "err", err)
	}
}

// resign gives the duty up while the host goes on for a while. The leases on the primary
// end first, since the next holder does not know them.
func (d *coordinator) resign(ctx context.Context) {
	d.mu.Lock()
	again := d.resigning
	d.resigning = true
	d.mu.Unlock()
	if again {
		return
	}
	go func() {
		w := &groupMonitor{coordinator: d}
		w.revokeLeases(ctx, true)
		d.host.quotas.Lost(d.group.name)
		w.handBack()
		d.loseRole("stopping")
	}()
}

// acquireFailed puts the next try off. wrote is true if the outcome may be another one.
func (d *coordinator) acquireFailed(err error, wrote bool) {
	d.log("duty_not_taken", "err", err)
	d.mu.Lock()
	d.writeUncertain = d.writeUncertain || wrote && !errors.Is(err, ErrConflict)
	d.mu.Unlock()
	d.vacantSince, d.recordSeparately = d.host.now(), true
	d.acquireBackoff = min(max(2*d.acquireBackoff, minAcquireBackoff), maxAcquireBackoff)
	d.nextAcquireAt = d.vacantSince.Add(d.acquireBackoff)
}

// errEntryLost means that the duty's entry is not this host's any more.
var errEntryLost = errors.New("the duty's entry is gone or another host's")

// checkEntry looks at the duty's entry.
func (d *coordinator) checkEntry(ctx context.Context) error {
	key := d.host.coordinatorKey(d.group.name)
	i, err := d.host.readKey(ctx, key)
	if err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if i.Revision != d.token {
		return errEntryLost
	}
	return nil
}

// reasonStoreRestored is why a duty is lost when the store came back from an older copy.
const reasonStoreRestored = "the store came back from an older copy"

// errStoreRestored means that a write was carried out in another epoch than the duty was taken in.
var errStoreRestored = errors.New(reasonStoreRestored)

// commitInEpoch carries a transaction out under the duty that was taken in an epoch, as Store.Commit does. In another epoch the
// number that was compared may have stood for another content: such a write says nothing.
func (d *coordinator) commitInEpoch(ctx context.Context, taken kv.Epoch, t kv.Transaction) (kv.Revision, error) {
	written, err := d.host.ports.Store.Commit(ctx, t)
	if err == nil && written.Epoch() != taken {
		return 0, errors.Wrapf(errStoreRestored, "written at %v, taken in epoch %d", written, taken)
	}
	return written, err
}

// loseRole records that the duty is no longer this host's.
func (d *coordinator) loseRole(why string) {
	d.mu.Lock()
	held := d.held
	d.held, d.primaryStatus = false, primaryStatus{}
	d.mu.Unlock()
	if held {
		d.host.quotas.Lost(d.group.name)
		d.log("duty_lost", "why", why)
	}
}

// acquiredTime returns when the duty was last taken.
func (d *coordinator) acquiredTime() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.acquiredAt
}

// acquiredEpoch returns the epoch in which the duty was taken.
func (d *coordinator) acquiredEpoch() kv.Epoch {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.token.Epoch()
}

// wasSoleHolder reports whether nobody else can have held the duty at the given time, and replaced a primary.
func (d *coordinator) wasSoleHolder(at time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.held && at.Before(d.soleHolderUntil())
}

// soleHolderUntil returns until when this host may grant leases, and order without a token that the platform
// checks. d.mu is held.
func (d *coordinator) soleHolderUntil() time.Time { return d.renewedAt.Add(leadership.DutyValidity) }

// unrecordedPromotionsUntil returns until when an earlier holder may have ordered without a record: until
// the platform had seen this host's token, until this process began if the holder was an earlier one of
// the same host's, or the zero time if the holder had given the duty back. It returns false while the
// platform has not seen it.
func (d *coordinator) unrecordedPromotionsUntil() (time.Time, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case d.predecessorHandedBack:
		return time.Time{}, true
	case d.reclaimed:
		return d.host.started, true
	}
	return d.tokenRaisedAt, !d.tokenRaisedAt.IsZero()
}

// predecessorLeasesEnd returns when the leases have ended that earlier holders may have granted: at once if the one
// before had given the duty back, soon after its process ended if it was this host's, and else once it
// can't be certain of its duty any more.
func (d *coordinator) predecessorLeasesEnd() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case d.predecessorHandedBack:
		return time.Time{}
	case d.reclaimed:
		return d.host.started.Add(leadership.LeaseDuration)
	}
	return d.acquiredAt.Add(leadership.DutyValidity)
}

// isHeld reports whether this host took the duty and knows of no other holder.
func (d *coordinator) isHeld() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.held
}

// mayPromote reports whether this host may order promotions. Where the platform checks
// fencing tokens, a holder goes on while it can't renew: whoever takes over raises
// the token first, and its own orders are refused from then on. That lets a
// holder act while the store is down. Elsewhere only a running lease counts.
func (d *coordinator) mayPromote() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.held {
		return false
	}
	return d.host.settings.PromotionTokens || d.host.now().Before(d.soleHolderUntil())
}

func (d *coordinator) log(event string, fields ...any) {
	d.group.log(event, fields...)
}
