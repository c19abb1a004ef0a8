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
	// coordinatorLeaseTTL is the TTL of the store lease under all roles of a host: when the host dies, other hosts
	// acquire its roles this much later.
	coordinatorLeaseTTL = 3 * time.Second
	// recordWriteTimeout bounds a write of the record for the next coordinator.
	recordWriteTimeout = 500 * time.Millisecond
	// coordinatorPollInterval is the interval at which a host checks for vacant roles. It is short because after a
	// restart of all hosts nobody grants leases until the roles are acquired again.
	coordinatorPollInterval = 100 * time.Millisecond
	// acquireBatchSize is how many roles are acquired in one transaction. A transaction has at most 32 entries, and
	// each role needs two preconditions and two writes.
	acquireBatchSize = 8
)

// coordinator is the coordinator role of one group as seen by this host, which may or may not hold it.
type coordinator struct {
	host  *Host
	group *Group

	mu      sync.Mutex
	held    bool
	leaseID int64
	// token is the fencing token: the revision at which the role's entry was last written. It increases with each
	// new coordinator and with each decision of a coordinator, even if the store is restored from an older copy in
	// between.
	token kv.Revision
	// renewedAt is when the entry was last known to belong to this host.
	renewedAt time.Time
	// renewalsUnbroken is true while every renewal of the lease since renewedAt has succeeded.
	renewalsUnbroken bool
	// writeUncertain is true after a write of the entry with an unknown outcome: an entry of this host may then
	// be newer than the previous coordinator's.
	writeUncertain bool
	// predecessor is what is known of the earlier coordinators.
	predecessor leadership.Predecessor
	// record is the last record of the group that this host has written, possibly when it held the role before.
	// The store holds it for the next coordinator at recordRevision, which is zero while the stored record is not
	// known.
	record         leadership.StoredRecord
	recordRevision kv.Revision
	// recordInherited is true once the record of the previous coordinator has been read.
	recordInherited bool
	// primaryStatus is the state of the primary that lease grants are based on. grants holds the leases that may
	// still be valid.
	primaryStatus primaryStatus
	grants        leadership.Grants
	// lastWokenAt is when a lease request that was not granted last woke the group's monitor.
	lastWokenAt time.Time
	// resigning is true once the host has begun to hand the role back. It then grants no leases, requests no promotions
	// and releases no fences.
	resigning bool
	// claims decides when the host tries to acquire the role.
	claims leadership.ClaimSchedule
	// recordSeparately is true if the record is to be read and written after the role is acquired rather than in
	// the same transaction.
	recordSeparately bool
	// pendingMember is the member named by the last promotion request, pendingToken the request's token and
	// pendingAt when it was last sent. They are kept until the member is seen to be the primary. An empty
	// pendingMember means that no promotion is pending.
	pendingMember string
	pendingToken  kv.Revision
	pendingAt     time.Time
	// unanswered is the last promotion request that got no answer.
	unanswered leadership.UnansweredPromotion
	// raisedToken is the highest token that the platform has acknowledged. It refuses requests with lower tokens
	// from then on.
	raisedToken kv.Revision
	// exemptToken is this coordinator's token if no earlier coordinator can have requested a promotion, or else
	// zero. The platform need not see this token before leases are granted.
	exemptToken kv.Revision
}

func (h *Host) coordinatorKey(group string) string { return h.ports.Keys.OwnPrefix + "duty/" + group }

// runCoordinators acquires the coordinator roles that this host should hold and maintains those it holds, until ctx ends.
// It also maintains the read and write leases of the same groups, starting as soon as a group exists.
func (h *Host) runCoordinators(ctx context.Context) {
	var wait sync.WaitGroup
	defer wait.Wait()
	for h.awaitCoordinatorPoll(ctx) {
		due := map[leadership.RoleStep][]*coordinator{}
		for _, g := range h.allGroups() {
			if d := h.ensureGroupStarted(ctx, g, wait.Go); d != nil {
				step := d.step(ctx)
				due[step] = append(due[step], d)
			}
		}
		h.acquireCoordinators(ctx, due[leadership.ReclaimRole], due[leadership.ClaimRole])
		forEach(due[leadership.InheritRecord], func(d *coordinator) { d.tryInheritRecord(ctx) })
		h.dropUnusedGroups()
	}
	for _, d := range h.heldCoordinators() {
		d.loseRole("stopping")
	}
	h.coordinatorLease.end()
}

// heldCoordinators returns the coordinators of the groups whose role the host holds.
func (h *Host) heldCoordinators() []*coordinator {
	h.mu.Lock()
	all := slices.Collect(maps.Values(h.coordinators))
	h.mu.Unlock()
	return slices.DeleteFunc(all, func(d *coordinator) bool { return !d.isHeld() })
}

// awaitCoordinatorPoll waits until the roles are to be checked again or a Group has been created. It returns false once ctx
// has ended.
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

// step takes the next action, but returns InheritRecord, ReclaimRole or ClaimRole, which call the store, without taking it.
func (d *coordinator) step(ctx context.Context) leadership.RoleStep {
	state, holder := d.state()
	switch next := state.Next(); next {
	case leadership.LoseToRestore:
		d.loseRole(reasonStoreRestored)
	case leadership.LoseToHolder:
		d.loseRole("acquired by " + holder)
	case leadership.LoseToRemoval:
		d.loseRole("entry removed")
	case leadership.HandBackRole:
		d.resign(ctx)
	case leadership.InheritRecord, leadership.ReclaimRole:
		return next
	case leadership.ForgetVacancy:
		d.claims.Reset()
	case leadership.ClaimRole:
		if d.claims.Due(d.host.now(), d.host.fleet.CoordinatorRank(d.group.name), d.host.storeView.Lag()) {
			return next
		}
	}
	return leadership.KeepRole
}

// state returns the known state of the role and the host that its entry names.
func (d *coordinator) state() (s leadership.RoleState, holder string) {
	h := d.host
	h.mu.Lock()
	entry, _ := h.storeView.Item(h.coordinatorKey(d.group.name))
	revision, recent := h.storeView.Revision(), h.storeView.IsRecent()
	h.mu.Unlock()
	holder = string(entry.Value)
	d.mu.Lock()
	defer d.mu.Unlock()
	return leadership.RoleState{
		Held: d.held, Token: d.token, EntryRevision: entry.Revision, OwnEntry: holder == h.settings.Host, StoreRevision: revision,
		Stopping: h.stopping.Load(), MayClaim: h.mayCoordinate(), Candidate: h.isCandidate(d.group.name), UpToDate: recent, RecordInherited: d.recordRevision != 0,
	}, holder
}

// isCandidate reports whether the host is among the highest-ranked hosts, which acquire a group's vacant role first.
func (h *Host) isCandidate(name string) bool {
	return h.ports.Peers == nil || h.fleet.IsCandidate(name)
}

// mayCoordinate reports whether the host may acquire coordinator roles.
func (h *Host) mayCoordinate() bool { return !h.stopping.Load() && h.synced.Load() }

func (d *coordinator) tryInheritRecord(ctx context.Context) {
	if err := d.inheritRecord(ctx); err != nil {
		d.log("record_not_inherited", "err", err)
	}
}

// resign hands the role back in the background, while the host keeps running for a while. The full leases on the primary
// end first, since the next coordinator does not know them. Writes need no proof meanwhile: the next coordinator promotes
// no member until the restricted leases have ended.
func (d *coordinator) resign(ctx context.Context) {
	d.mu.Lock()
	already := d.resigning
	d.resigning = true
	d.mu.Unlock()
	if already {
		return
	}
	go func() {
		w := &groupMonitor{coordinator: d}
		ended := w.endLeases(ctx, Revocation{Planned: true, Target: d.onlySuccessor()})
		d.host.quotas.StopGranting(d.group.name)
		w.handBack(ended)
		d.loseRole("stopping")
	}()
}

// acquireFailed delays the next attempt to acquire the role. sent is true if the write was sent, so that it may have
// taken effect unless err is ErrConflict.
func (d *coordinator) acquireFailed(err error, sent bool) {
	d.log("duty_not_taken", "err", err)
	d.mu.Lock()
	d.writeUncertain = d.writeUncertain || sent && !errors.Is(err, ErrConflict)
	d.mu.Unlock()
	d.recordSeparately = true
	d.claims.Fail(d.host.now())
}

// errEntryLost means that the role's entry no longer belongs to this host.
var errEntryLost = errors.New("the coordinator entry was removed or belongs to another host")

// checkEntry reads the role's entry from the store. It returns errEntryLost if the entry is no longer the one that this
// host wrote.
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

// reasonStoreRestored is the reason that is logged when a role is lost because the store was restored from an older copy.
const reasonStoreRestored = "the store came back from an older copy"

// errStoreRestored means that a write was carried out in another epoch than the one in which the role was acquired.
var errStoreRestored = errors.New(reasonStoreRestored)

// commitInEpoch commits a transaction as Store.Commit does, for a role that was acquired in the given epoch. It returns
// errStoreRestored if the write was carried out in another epoch: the revision that the precondition compared may have
// stood for another value there, so that the write proves nothing.
func (d *coordinator) commitInEpoch(ctx context.Context, acquired kv.Epoch, t kv.Transaction) (kv.Revision, error) {
	written, err := d.host.ports.Store.Commit(ctx, t)
	if err == nil && written.Epoch() != acquired {
		return 0, errors.Wrapf(errStoreRestored, "written at %v, role acquired in epoch %d", written, acquired)
	}
	return written, err
}

// loseRole records that this host no longer holds the role, and logs why if it held it.
func (d *coordinator) loseRole(why string) {
	d.mu.Lock()
	held := d.held
	d.held, d.primaryStatus = false, primaryStatus{}
	d.mu.Unlock()
	if held {
		d.host.quotas.StopGranting(d.group.name)
		d.log("duty_lost", "why", why)
	}
}

// acquiredTime returns when the role was last acquired.
func (d *coordinator) acquiredTime() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.predecessor.AcquiredAt
}

// acquiredEpoch returns the epoch in which the role was acquired.
func (d *coordinator) acquiredEpoch() kv.Epoch {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.token.Epoch()
}

// wasSoleHolder reports whether this host was certainly the only holder of the role at the given time, so that no other
// host can have replaced a primary then.
func (d *coordinator) wasSoleHolder(at time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.held && at.Before(d.soleHolderUntil())
}

// soleHolderUntil returns until when this host may grant leases, and may request promotions on a platform that checks no
// fencing tokens. d.mu must be held.
func (d *coordinator) soleHolderUntil() time.Time { return d.renewedAt.Add(leadership.RoleValidity) }

// isHeld reports whether this host has acquired the role and has not seen that it was lost.
func (d *coordinator) isHeld() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.held
}

// mayPromote reports whether this host may request promotions. If the platform checks fencing tokens, a coordinator
// continues while it can't renew its role, so that it can act while the store is down: a successor raises the token first,
// and the platform refuses this host's requests from then on. Otherwise the role must have been renewed recently.
func (d *coordinator) mayPromote() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.held || d.resigning {
		return false
	}
	return d.host.settings.PromotionTokens || d.host.now().Before(d.soleHolderUntil())
}

func (d *coordinator) log(event string, fields ...any) {
	d.group.log(event, fields...)
}
