package leadership

// switchOver adds the steps by which the coordinator hands over a primary that serves meanwhile.
func (e *explorer) switchOver(st modelState) {
	e.startSwitchover(st)
	e.restrictLeases(st)
	e.sampleHandoverEnd(st)
	e.orderTarget(st)
	e.abandonSwitchover(st)
}

// startSwitchover fences all replicas but the target. All of them must answer.
func (e *explorer) startSwitchover(st modelState) {
	c := &st.coordinator
	if st.faultsLeft.switchovers == 0 || c.stage != granting || c.primary == none || st.recordedOrder != none || !st.nodes[c.primary].leads {
		return
	}
	st.faultsLeft.switchovers--
	for t := range st.nodes {
		next := st
		if !next.isReplica(t) || !next.fenceAllBut(t) {
			continue
		}
		next.coordinator.stage, next.coordinator.target, next.coordinator.memberLeft = restricting, int8(t), false
		next.coordinator.fencedLength[t] = next.nodes[t].length
		e.add("hand over to "+memberName(t), next, "")
	}
}

// isReplica reports whether the coordinator reaches the member and it follows.
func (st *modelState) isReplica(m int) bool {
	n := &st.nodes[m]
	return int8(m) != st.coordinator.primary && n.up && !n.unknown && !n.leads && st.coordinatorReaches(m)
}

// fenceAllBut fences the replicas other than the target. It returns false if one does not answer.
func (st *modelState) fenceAllBut(target int) bool {
	c := &st.coordinator
	c.fenced, c.fencedLength = [memberCount]bool{}, [memberCount]int8{}
	for m := range st.nodes {
		n := &st.nodes[m]
		departed := n.unknown || !n.listed && !n.up && st.coordinatorReaches(m)
		if m == target || int8(m) == c.primary || departed {
			continue
		}
		if !st.isReplica(m) {
			return false
		}
		n.fenceTerm = n.term + 1
		c.fenced[m], c.fencedLength[m] = true, n.length
	}
	return true
}

// restrictLeases restricts the lease of a host to the target.
func (e *explorer) restrictLeases(st modelState) {
	c := &st.coordinator
	if c.stage != restricting {
		return
	}
	for h := range st.hosts {
		if c.leased[h] && !c.restricted[h] && st.hosts[h].partition == st.hosts[c.host].partition {
			next := st
			if host := &next.hosts[h]; host.lease == c.primary {
				host.target = c.target
			}
			next.coordinator.restricted[h] = true
			e.add("restrict lease", next, "")
		}
	}
}

// sampleHandoverEnd samples the end of the primary's log, once every lease that is left names the target.
func (e *explorer) sampleHandoverEnd(st modelState) {
	c := &st.coordinator
	if c.stage != restricting || c.handoverEnd != none || c.leased != c.restricted {
		return
	}
	if e.safeguards.waitForFormerCoordinator && st.former.active {
		return
	}
	p := &st.nodes[c.primary]
	if !e.safeguards.sampleAfterRestriction {
		c.handoverEnd = 0
	} else if p.up && p.leads && st.coordinatorReaches(int(c.primary)) {
		c.handoverEnd = p.length
	} else {
		return
	}
	e.add("sample end", st, "")
}

// orderTarget orders the promotion of the target, which must have received everything that the fenced replicas hold and that
// the primary had acknowledged under full leases.
func (e *explorer) orderTarget(st modelState) {
	c := &st.coordinator
	if c.stage != restricting || c.handoverEnd == none || st.platformOrder != none {
		return
	}
	t := &st.nodes[c.target]
	if !t.up || !st.coordinatorReaches(int(c.target)) || !ReadyToLead(logPosition(c.handoverEnd), ProbeResult{Answered: true, Received: logPosition(t.length)}) {
		return
	}
	for m := range st.nodes {
		if c.fenced[m] && c.fencedLength[m] > t.length {
			return
		}
	}
	if e.safeguards.requireFloor && (c.floor == none || t.length < c.floor) {
		return
	}
	e.order(st, c.target)
}

// abandonSwitchover gives the switchover up before its promotion is ordered. The fences stay.
func (e *explorer) abandonSwitchover(st modelState) {
	c := &st.coordinator
	if c.stage != restricting {
		return
	}
	c.stage, c.target, c.handoverEnd = granting, none, none
	c.fenced, c.fencedLength = [memberCount]bool{}, [memberCount]int8{}
	if e.safeguards.recallOtherTargets {
		c.restricted = [hostCount]bool{}
	}
	e.add("abandon switchover", st, "")
}
