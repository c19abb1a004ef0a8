package gateway

import (
	"time"

	"pearlatch/core/leadership"
)

// releaseStaleFences releases fences that an earlier coordinator left behind.
func (w *groupMonitor) releaseStaleFences(primary controlResult, replicas []controlResult) {
	var fenced []Member
	for _, r := range replicas {
		if r.err == nil && r.status.Fenced > primary.status.Term {
			fenced = append(fenced, r.member)
		}
	}
	if len(fenced) > 0 {
		w.releaseFences(fenced)
	}
}

// releaseFences releases the fences of the members, unless they may be those of another coordinator. Fences that are kept
// are released by the next coordinator that finds them stale.
func (w *groupMonitor) releaseFences(members []Member) {
	now := w.host.now()
	w.mu.Lock()
	certain := w.held && !w.resigning && w.predecessor.AcquiredAt.Equal(w.roundAcquiredAt)
	until := w.soleHolderUntil()
	w.mu.Unlock()
	if !certain || !leadership.MayReleaseFences(now, until, controlTimeout) {
		w.log("fences_kept", "members", len(members), "role_certain_ms", until.Sub(now).Milliseconds())
		return
	}
	w.log("fences_released", "members", len(members))
	w.group.controlAll(members, Release{}, controlTimeout)
}

// predecessorMayAct reports whether an earlier coordinator may still rely on its role, so that it grants leases or releases
// fences.
func (w *groupMonitor) predecessorMayAct() bool { return w.host.now().Before(w.predecessorEnd()) }

// predecessorEnd returns the time until which predecessorMayAct returns true.
func (d *coordinator) predecessorEnd() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.predecessor.LeasesEnd()
}
