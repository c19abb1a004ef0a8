package leadership

import "pearlatch/core/group"

// ReadyToLead reports whether the switchover target has received every write that may have been acknowledged under a full
// lease. end is the end of the primary's log, sampled after all leases were restricted to the target; what is acknowledged
// later is proven by the target itself, see ProvenByTarget.
func ReadyToLead(end group.Position, target ProbeResult) bool {
	return target.Answered && target.Received.Compare(end) >= 0
}
