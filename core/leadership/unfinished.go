package leadership

import "time"

// MayFinishChange reports whether a coordinator may finish a change of primary that has left fences behind. roleUntil is the
// time until which it relies on its role, and timeout is how long a command may be under way. Later, the fences may be those of
// the next coordinator.
func MayFinishChange(now, roleUntil time.Time, timeout time.Duration) bool {
	return now.Add(timeout).Before(roleUntil)
}

// maxSwitchoverAttempts is how often a coordinator tries to hand over to a replica that still receives the log, before it
// interrupts the primary.
const maxSwitchoverAttempts = 3

// FinishStep is how a coordinator finishes a change of primary that has left fences behind although the primary serves.
type FinishStep int

//go:generate go tool stringer -type FinishStep

const (
	// NothingToFinish means that no replica has a fence.
	NothingToFinish FinishStep = iota
	// HandOver switches over to a replica without a fence, while the primary serves.
	HandOver
	// Reinstate demotes the primary and promotes it again, which ends all fences.
	Reinstate
)

// NextFinishStep returns how to finish a change of primary. primary is the primary's result, replicas are those of the other
// members, and attempts is how often HandOver was tried.
//
// Fences are never released. The command for that names no term, so a host that is suspended before it sends one would release
// the fences of a later coordinator: a replica receives from the old primary again, and a write that it acknowledges is lost in
// the promotion that follows. A promotion ends the fences too, and the platform refuses it from a former coordinator.
func NextFinishStep(primary ProbeResult, replicas []ProbeResult, attempts int) FinishStep {
	fenced, receiving := false, false
	for _, r := range replicas {
		isFenced := r.Answered && r.FenceTerm > primary.Term
		fenced = fenced || isFenced
		receiving = receiving || r.Answered && !isFenced
	}
	switch {
	case !fenced:
		return NothingToFinish
	case receiving && attempts < maxSwitchoverAttempts:
		return HandOver
	}
	return Reinstate
}
