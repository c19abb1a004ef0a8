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
	// dutyLease is the life of the duty's entry: after a holder's death, another
	// host takes the duty this much later.
	dutyLease = 3 * time.Second
	// recordTimeout bounds the writing of what the next holder must know.
	recordTimeout = 500 * time.Millisecond
	// lateOrder is how long an order without an answer may still be carried out where the
	// platform checks no fencing tokens: the users' late calls come up to 6 s after.
	lateOrder = 8 * time.Second
	// dutyRenewal is the pause between renewals: two may get lost.
	dutyRenewal = 900 * time.Millisecond
	// dutyRetry is the pause between renewals while they fail.
	dutyRetry = 600 * time.Millisecond
	// dutyStagger is how much longer each host of a lower rank waits before it
	// takes a duty that nobody holds, so that the first one usually succeeds.
	dutyStagger = 150 * time.Millisecond
	// dutyPoll is the pause between looks at duties that others may leave. After a restart of
	// all hosts nobody grants leases until the duties are taken again.
	dutyPoll = 100 * time.Millisecond
	// takeRetry is the pause after a try to take a duty that failed, takeRetryMax the longest one. A host
	// that hears no news tried ten times a second to take what another one had taken, three calls each.
	takeRetry    = 200 * time.Millisecond
	takeRetryMax = 3200 * time.Millisecond
	// takeoverPause is how long an order may take to be carried out that was accepted: the users'
	// members take up to 1 s to lead.
	takeoverPause = 1200 * time.Millisecond
)

// duty is this host's part in the promotions of one group.
type duty struct {
	host  *Host
	group *Group

	mu    sync.Mutex
	held  bool
	lease int64
	// token is the revision at which the duty's entry was last written: it rises
	// with each holder, and with each decision of one, also if the store came back from an older copy in
	// between. It is the fencing token.
	token kv.Revision
	// since is when the duty was taken; renewed is when the entry was last known to be this host's.
	since, renewed time.Time
	// unbroken is true while each renewal since then has succeeded.
	unbroken bool
	// raisedAt is when the platform first acknowledged a token of this host since it took the duty, or
	// zero.
	raisedAt time.Time
	// record is the last one that this host has written of the group, in any time that it held the duty. It lies
	// in the store for the next holder, as written at recordRevision.
	// That is zero while it is not known.
	record         leadership.Found
	recordRevision kv.Revision
	// inherited is true once the record of the holder before was read.
	inherited bool
	// standing is what leases on the primary are granted on, and grants are those that may
	// hold.
	standing standing
	grants   leadership.Grants
	// reclaimed is true if the duty was an earlier process's of this host, and handedBack if its
	// holder had given it back.
	reclaimed, handedBack bool
	// woken is when a question that brought no lease last woke the holder.
	woken time.Time
	// resigned is true once the duty is being given up while its leases end.
	resigned bool
	// tried is when a renewal was last tried.
	tried time.Time
	// vacant is since when nobody has held the duty, or zero. After a try to take it that failed the next
	// one comes no sooner than retryAt, after takePause.
	vacant, retryAt time.Time
	takePause       time.Duration
	// ordered is the member named by the last order, orderedToken its token and orderedAt
	// when it was given last, until it is seen to lead. Empty means that no order is open.
	ordered      string
	orderedToken kv.Revision
	orderedAt    time.Time
	// raised is the highest token that the platform has acknowledged: orders with
	// lower ones are refused from then on.
	raised kv.Revision
	// first is the token if the group had no holder before that could have ordered anything, or zero: the platform need
	// not see it before leases are granted.
	first kv.Revision
}

func (h *Host) dutyKey(group string) string { return h.ports.Keys.Own + "duty/" + group }

// serveDuties takes duties that fall to this host, and keeps those it holds. It looks after the leases of the same
// groups, beginning as soon as there is such a group.
func (h *Host) serveDuties(ctx context.Context) {
	var wait sync.WaitGroup
	defer wait.Wait()
	for h.awaitLook(ctx) {
		for _, g := range h.allGroups() {
			if d := h.look(ctx, g, wait.Go); d != nil {
				d.tend(ctx)
			}
		}
		h.dropUnneeded()
	}
	h.mu.Lock()
	duties := slices.Collect(maps.Values(h.duties))
	h.mu.Unlock()
	for _, d := range duties {
		d.giveUp("stopping")
	}
}

// awaitLook waits until the duties are to be looked at again, or a Group has come into being. It returns false when ctx
// ended.
func (h *Host) awaitLook(ctx context.Context) bool {
	due := time.NewTimer(dutyPoll)
	defer due.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-h.grouped:
	case <-due.C:
	}
	return true
}

// tend takes the duty if it falls to this host, renews it, or gives it up.
func (d *duty) tend(ctx context.Context) {
	now := d.host.now()
	state, holder := d.state(now)
	switch state.Next() {
	case leadership.LoseToRestore:
		d.lose(restoredStore)
	case leadership.LoseToHolder:
		d.giveUp("taken by " + holder)
	case leadership.LoseToRemoval:
		d.giveUp("entry taken away")
	case leadership.ResignDuty:
		d.resign(ctx)
	case leadership.RenewDuty:
		d.tried = now
		d.renew(ctx)
	case leadership.InheritRecord:
		d.tryInherit(ctx)
	case leadership.ReclaimDuty:
		d.take(ctx, state.Entry)
	case leadership.ForgetVacancy:
		d.vacant, d.takePause = time.Time{}, 0
	case leadership.ClaimDuty:
		d.claim(ctx, now)
	}
}

// state returns what is known of the duty, and the host that its entry names.
func (d *duty) state(now time.Time) (s leadership.DutyState, holder string) {
	h := d.host
	h.mu.Lock()
	entry, _ := h.view.Item(h.dutyKey(d.group.name))
	known := h.view.Revision()
	h.mu.Unlock()
	holder = string(entry.Value)
	d.mu.Lock()
	defer d.mu.Unlock()
	return leadership.DutyState{
		Held: d.held, Token: d.token, Entry: entry.Revision, Own: holder == h.settings.Host, Known: known,
		Stopping: h.stopping.Load(), MayServe: h.mayServe(), Candidate: h.candidate(d.group.name), Inherited: d.recordRevision != 0,
		RenewalDue: now.Sub(d.renewed) > dutyRenewal && now.Sub(d.tried) > dutyRetry,
	}, holder
}

// claim takes the duty that nobody holds once that has lasted for as long as hosts of a higher rank are given.
func (d *duty) claim(ctx context.Context, now time.Time) {
	switch {
	case d.vacant.IsZero():
		d.vacant = now
	case now.Sub(d.vacant) >= time.Duration(d.host.fleet.place(d.group.name))*dutyStagger && !now.Before(d.retryAt):
		d.take(ctx, 0)
	}
}

// candidate reports whether the host is among the first that take a group's duty when nobody holds it.
func (h *Host) candidate(name string) bool { return h.ports.Peers == nil || h.fleet.candidate(name) }

// mayServe reports whether the host may take on duties.
func (h *Host) mayServe() bool { return !h.stopping.Load() && h.synced.Load() }

func (d *duty) tryInherit(ctx context.Context) {
	if err := d.inherit(ctx); err != nil {
		d.log("record_not_inherited", "err", err)
	}
}

// resign gives the duty up while the host goes on for a while. The leases on the primary
// end first, since the next holder does not know them.
func (d *duty) resign(ctx context.Context) {
	d.mu.Lock()
	again := d.resigned
	d.resigned = true
	d.mu.Unlock()
	if again {
		return
	}
	go func() {
		w := &watcher{duty: d}
		w.recall(ctx, true)
		d.host.quotas.Lost(d.group.name)
		w.handBack(ctx)
		d.giveUp("stopping")
	}()
}

// take takes the duty, whose entry was last written at the revision, or zero if there is
// none.
func (d *duty) take(ctx context.Context, entry kv.Revision) {
	call, cancel := context.WithTimeout(ctx, leaseTimeout)
	defer cancel()
	asked := d.host.now()
	lease, err := d.host.ports.Store.Grant(call, max(dutyLease, d.host.settings.LeaseFloor))
	if err != nil {
		d.notTaken(err)
		return
	}
	revision, err := d.host.ports.Store.Put(call, d.host.dutyKey(d.group.name), entry, []byte(d.host.settings.Host), lease)
	if err != nil {
		// Whether the entry was written or not, its lease ends now, and with it
		// the entry: nobody acts under it.
		d.notTaken(err)
		d.host.endLease(lease)
		return
	}
	d.mu.Lock()
	d.held, d.lease, d.token, d.since, d.renewed, d.unbroken = true, lease, revision, d.host.now(), asked, true
	d.reclaimed, d.handedBack, d.raisedAt = entry != 0, false, time.Time{}
	d.first = 0
	d.inherited, d.ordered, d.recordRevision, d.standing, d.grants, d.resigned = false, "", 0, standing{}, leadership.Grants{}, false
	d.mu.Unlock()
	d.vacant, d.takePause = time.Time{}, 0
	d.log("duty_taken", "token", int64(revision))
	d.group.resumeAll()
	d.tryInherit(ctx)
	d.group.wakeHolder()
}

// notTaken puts the next try off.
func (d *duty) notTaken(err error) {
	d.log("duty_not_taken", "err", err)
	d.vacant = d.host.now()
	d.takePause = min(max(2*d.takePause, takeRetry), takeRetryMax)
	d.retryAt = d.vacant.Add(d.takePause)
}

// renew renews the duty's lease. After a renewal that failed, the platform may have taken the entry away
// and kept the lease, so that the next renewal succeeds: the entry itself is looked at then.
func (d *duty) renew(ctx context.Context) {
	asked := d.host.now()
	d.mu.Lock()
	lease, renewed, unbroken := d.lease, d.renewed, d.unbroken
	d.mu.Unlock()
	epoch, err := d.host.renew(ctx, lease)
	if err == nil && epoch != d.heldSince() {
		// The copy may have the lease and not the entry, so that others can take the duty meanwhile.
		d.lose(restoredStore)
		return
	}
	if err == nil && !unbroken {
		asked = d.host.now()
		err = d.stillOwn(ctx)
	}
	switch {
	case errors.Is(err, ErrNoLease):
		d.giveUp("lease ended")
		return
	case errors.Is(err, errTaken):
		d.giveUp("entry taken away")
		return
	case err != nil:
		d.log("duty_not_renewed", "age_ms", asked.Sub(renewed).Milliseconds(), "err", err)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.unbroken = err == nil; d.unbroken {
		d.renewed = asked
		d.host.quotas.Renewed(d.group.name, asked)
	}
}

// errTaken means that the duty's entry is not this host's any more.
var errTaken = errors.New("the duty's entry is gone or another host's")

// stillOwn looks at the duty's entry.
func (d *duty) stillOwn(ctx context.Context) error {
	key := d.host.dutyKey(d.group.name)
	i, err := d.host.read(ctx, key)
	if err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if i.Revision != d.token {
		return errTaken
	}
	return nil
}

// giveUp ends the duty, and its lease, so that another host need not wait for it.
func (d *duty) giveUp(why string) {
	if lease, held := d.lose(why); held {
		go d.host.endLease(lease)
	}
}

// restoredStore is why a duty is lost when the store came back from an older copy.
const restoredStore = "the store came back from an older copy"

// errRestored means that a write was carried out in another epoch than the duty was taken in.
var errRestored = errors.New(restoredStore)

// put writes a key under the duty that was taken in an epoch, as Store.Put does. In another epoch the number that was
// compared may have stood for another content: such a write says nothing.
func (d *duty) put(ctx context.Context, taken kv.Epoch, key string, revision kv.Revision, value []byte, lease int64) (kv.Revision, error) {
	written, err := d.host.ports.Store.Put(ctx, key, revision, value, lease)
	if err == nil && written.Epoch() != taken {
		return 0, errors.Wrapf(errRestored, "written at %v, taken in epoch %d", written, taken)
	}
	return written, err
}

// lose records that the duty is no longer this host's, and returns its lease if it was until now.
func (d *duty) lose(why string) (lease int64, held bool) {
	d.mu.Lock()
	held, lease = d.held, d.lease
	d.held, d.standing = false, standing{}
	d.mu.Unlock()
	if held {
		d.host.quotas.Lost(d.group.name)
		d.log("duty_lost", "why", why)
	}
	return lease, held
}

// takenAt returns when the duty was last taken.
func (d *duty) takenAt() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.since
}

// heldSince returns the epoch in which the duty was taken.
func (d *duty) heldSince() kv.Epoch {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.token.Epoch()
}

// certain reports whether nobody else can have held the duty at the given time, and replaced a primary.
func (d *duty) certain(at time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.held && at.Before(d.certainUntil())
}

// certainUntil returns until when this host may grant leases, and order without a token that the platform
// checks. d.mu is held.
func (d *duty) certainUntil() time.Time { return d.renewed.Add(leadership.Certainty) }

// unrecordedUntil returns until when an earlier holder may have ordered without a record: until
// the platform had seen this host's token, until this process began if the holder was an earlier one of
// the same host's, or the zero time if the holder had given the duty back. It returns false while the
// platform has not seen it.
func (d *duty) unrecordedUntil() (time.Time, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case d.handedBack:
		return time.Time{}, true
	case d.reclaimed:
		return d.host.started, true
	}
	return d.raisedAt, !d.raisedAt.IsZero()
}

// outwaited returns when the leases have ended that earlier holders may have granted: at once if the one
// before had given the duty back, soon after its process ended if it was this host's, and else once it
// can't be certain of its duty any more.
func (d *duty) outwaited() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case d.handedBack:
		return time.Time{}
	case d.reclaimed:
		return d.host.started.Add(leadership.Duration)
	}
	return d.since.Add(leadership.Certainty)
}

// isHeld reports whether this host took the duty and knows of no other holder.
func (d *duty) isHeld() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.held
}

// holds reports whether this host may order promotions. Where the platform checks
// fencing tokens, a holder goes on while it can't renew: whoever takes over raises
// the token first, and its own orders are refused from then on. That lets a
// holder act while the store is down. Elsewhere only a running lease counts.
func (d *duty) holds() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.held {
		return false
	}
	return d.host.settings.PromotionTokens || d.host.now().Before(d.certainUntil())
}

func (d *duty) log(event string, fields ...any) {
	d.group.log(event, fields...)
}
