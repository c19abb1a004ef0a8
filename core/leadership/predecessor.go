package leadership

import "time"

// PromotionDelay is how long an accepted promotion may take to complete: users' members take up to 1 s to become
// primary.
const PromotionDelay = 1200 * time.Millisecond

// Predecessor is what a coordinator knows of the coordinators before it.
type Predecessor struct {
	// HandedBack is true if the previous coordinator handed the role back, after the end of the coordinators before it.
	// It then grants no leases and requests no promotions.
	HandedBack bool
	// SameHost is true if it was an earlier process of this host, which had ended when this process started, at
	// ProcessStarted.
	SameHost       bool
	ProcessStarted time.Time
	// AcquiredAt is when this host acquired the role, and TokenRaisedAt when the platform first acknowledged a fencing
	// token of this host since then, or zero.
	AcquiredAt, TokenRaisedAt time.Time
	// RecordCertain is true if no other host can have held the role since the inherited record was written.
	RecordCertain bool
	// NothingPending is true once NoPromotionPending has returned true for probes that were sent after PromotionsEnd.
	NothingPending bool
	// HiddenRuledOut is true once no unrecorded promotion of an earlier coordinator can have made another member than the
	// known one the primary: see FindHiddenPrimary.
	HiddenRuledOut bool
}

// HiddenPrimaryPossible reports whether a member that does not answer may be the primary.
func (p Predecessor) HiddenPrimaryPossible() bool {
	return !p.HandedBack && !p.NothingPending && !p.HiddenRuledOut
}

// PromotionsEnd returns until when an earlier coordinator may have requested promotions without recording them: the
// time at which the platform saw this host's token, or the zero time if the previous coordinator had handed the role
// back. It returns false while the platform has not seen this host's token. That the previous coordinator was a process
// of this host, which has ended, does not suffice: it may have ended before the platform saw its token, while the
// coordinator before it still requested promotions.
func (p Predecessor) PromotionsEnd() (time.Time, bool) {
	if p.HandedBack {
		return time.Time{}, true
	}
	return p.TokenRaisedAt, !p.TokenRaisedAt.IsZero()
}

// SettledAt returns when no unrecorded promotion of an earlier coordinator can take effect any more: at once if the
// members have shown that none is pending, and else PromotionDelay after PromotionsEnd. It returns false while that is
// not known.
func (p Predecessor) SettledAt() (time.Time, bool) {
	end, known := p.PromotionsEnd()
	switch {
	case !known:
		return time.Time{}, false
	case p.NothingPending:
		return end, true
	}
	return end.Add(PromotionDelay), true
}

// LeasesEnd returns when the leases that earlier coordinators may have granted have ended, and with them their switchovers,
// see MayFinishChange.
//
// A coordinator that hands its role back grants nothing from then on. An earlier process of this host may have held the
// role for a moment only, so that the coordinator before it may still rely on a role that it has lost.
func (p Predecessor) LeasesEnd() time.Time {
	switch {
	case p.HandedBack:
		return p.AcquiredAt.Add(LeaseDuration + maxClockDrift)
	case p.SameHost:
		return p.ProcessStarted.Add(RoleValidity)
	}
	return p.AcquiredAt.Add(RoleValidity)
}
