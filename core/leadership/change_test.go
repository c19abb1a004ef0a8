package leadership

import (
	"pearlatch/core/group"
)

// changePrimary adds the steps by which the holder of the duty replaces the primary.
func (e *explorer) changePrimary(st modelState) {
	e.adoptPrimary(st)
	e.sampleFloor(st)
	e.startFailover(st)
	e.revokeLeases(st)
	e.fenceReplicas(st)
	e.chooseSuccessor(st)
	e.executePromotion(st)
}

// adoptPrimary makes the holder treat as primary the member with the highest term that leads and that it can
// reach, unless a promotion order is pending.
func (e *explorer) adoptPrimary(st modelState) {
	d := &st.coordinator
	best := none
	for m := range st.nodes {
		n := &st.nodes[m]
		known := n.term >= st.recordedTerm || !e.safeguards.recordOrder
		if n.up && n.leads && known && st.coordinatorReaches(m) && (best == none || n.term > st.nodes[best].term) {
			best = m
		}
	}
	if best == none || d.stage == revoking || d.stage == fencing || d.primary == int8(best) && d.stage == granting {
		return
	}
	pending := st.recordedOrder != none && e.safeguards.recordOrder
	if pending && st.recordedOrder != int8(best) || d.stage == ordered && d.target != int8(best) {
		return
	}
	switch {
	case d.stage == ordered && !d.memberLeft:
		// The successor was chosen by its log, so earlier departures of members do not matter.
		d.floor = d.fencedLength[best]
	case d.primary != none && d.primary != int8(best) && !st.nodes[d.primary].listed:
		d.floor = none // the previous primary has left; it was not a replica when the floor was set
	}
	d.primary, d.stage, d.target, d.rechecked = int8(best), granting, none, false
	d.fenced, d.fencedLength = [memberCount]bool{}, [memberCount]int8{}
	st.recordedOrder, st.recordedTerm = none, max(st.recordedTerm, st.nodes[best].term)
	e.add("adopt "+memberName(best), st, "")
}

// sampleFloor sets the floor for a successor to the primary's position.
func (e *explorer) sampleFloor(st modelState) {
	d := &st.coordinator
	if d.stage != granting || d.primary == none || d.floor != none || !st.coordinatorReaches(int(d.primary)) || !st.nodes[d.primary].up {
		return
	}
	d.floor = st.nodes[d.primary].length
	e.add("sample floor", st, "")
}

// startFailover makes the holder start to replace the primary, whether or not it has failed.
func (e *explorer) startFailover(st modelState) {
	if st.coordinator.stage != granting || st.coordinator.primary == none || st.recordedOrder != none && e.safeguards.recordOrder {
		return
	}
	st.coordinator.stage = revoking
	if !e.safeguards.waitForLeases {
		st.coordinator.stage = fencing
	}
	e.add("suspect", st, "")
}

// revokeLeases recalls leases from reachable hosts, and starts to fence once no lease is left.
func (e *explorer) revokeLeases(st modelState) {
	d := &st.coordinator
	if d.stage != revoking {
		return
	}
	for h := range st.hosts {
		if d.leased[h] && st.hosts[h].partition == st.hosts[d.host].partition {
			next := st
			next.hosts[h].lease, next.hosts[h].revokedPrimary = none, d.primary
			next.coordinator.leased[h] = false
			e.add("recall", next, "")
		}
	}
	if d.leased == [hostCount]bool{} && !(e.safeguards.waitForFormerCoordinator && st.former.active) {
		d.stage = fencing
		e.add("all leases ended", st, "")
	}
}

// fenceReplicas fences a reachable replica and records the length of its log.
func (e *explorer) fenceReplicas(st modelState) {
	d := &st.coordinator
	if d.stage != fencing {
		return
	}
	for m := range st.nodes {
		n := &st.nodes[m]
		if int8(m) == d.primary || d.fenced[m] || d.rechecked || !n.up || !st.coordinatorReaches(m) || n.leads {
			continue
		}
		next := st
		if e.safeguards.fenceReplicas {
			next.nodes[m].fenceTerm = n.term + 1
		}
		next.coordinator.fenced[m], next.coordinator.fencedLength[m] = true, n.length
		e.add("fence "+memberName(m), next, "")
	}
	if e.safeguards.recheckReplicas && e.safeguards.fenceReplicas && !d.rechecked && d.fenced != [memberCount]bool{} {
		e.recheckReplicas(st)
	}
}

// recheckReplicas probes the replicas again after all reachable ones were fenced. One that has lost its fence
// was restarted in between.
func (e *explorer) recheckReplicas(st modelState) {
	d := &st.coordinator
	d.rechecked = true
	for m := range st.nodes {
		n := &st.nodes[m]
		if d.fenced[m] && (!n.up || !st.coordinatorReaches(m) || n.fenceTerm <= n.term) {
			d.fenced[m] = false
		}
		d.fencedLength[m] = 0
		if d.fenced[m] {
			d.fencedLength[m] = n.length
		}
	}
	e.add("recheck replicas", st, "")
}

// chooseSuccessor orders the promotion of a replica that has every acknowledged write, or resumes with the old
// primary.
func (e *explorer) chooseSuccessor(st modelState) {
	d := &st.coordinator
	if d.stage != fencing {
		return
	}
	resumed := st
	resumed.coordinator.stage, resumed.coordinator.rechecked = granting, false
	resumed.coordinator.fenced, resumed.coordinator.fencedLength = [memberCount]bool{}, [memberCount]int8{}
	if p := d.primary; st.nodes[p].up && st.nodes[p].leads && st.coordinatorReaches(int(p)) {
		for m := range resumed.nodes {
			if resumed.coordinatorReaches(m) {
				resumed.nodes[m].fenceTerm = 0
			}
		}
		e.add("resume", resumed, "")
	}
	best, ok := group.Successor(nil, st.standbys(e.safeguards))
	if !ok || st.platformOrder != none || e.safeguards.recheckReplicas && e.safeguards.fenceReplicas && !d.rechecked {
		return
	}
	target := int8(best.Member[0] - 'a')
	d.stage, d.target, d.memberLeft, st.platformOrder, st.recordedOrder = ordered, target, false, target, target
	e.add("order "+best.Member, st, "")
}

// standbys returns the replicas as the holder knows them.
func (st *modelState) standbys(safe safeguards) []group.Standby {
	var out []group.Standby
	d := &st.coordinator
	for m := range st.nodes {
		n := &st.nodes[m]
		departed := !d.fenced[m] && !n.listed && !n.up && st.coordinatorReaches(m)
		if int8(m) == d.primary || departed {
			continue
		}
		out = append(out, group.Standby{
			Member: memberName(m), Answered: d.fenced[m], Fenced: d.fenced[m], Received: logPosition(d.fencedLength[m]),
			Complete: !safe.requireFloor || d.floor != none && d.fencedLength[m] >= d.floor,
		})
	}
	return out
}

// executePromotion is the platform's part: the member leads the next term with the log that it has.
func (e *explorer) executePromotion(st modelState) {
	m := st.platformOrder
	if m == none || !st.nodes[m].up {
		return
	}
	top := int8(0)
	for i := range st.nodes {
		top = max(top, st.nodes[i].term)
	}
	if top == maxTerms {
		return
	}
	st.platformOrder = none
	n := &st.nodes[m]
	fault := ""
	if missing := st.missingWrite(n); missing != "" && !n.leads {
		fault = "promoted without an acknowledged write"
	}
	n.leads, n.term, n.fenceTerm = true, top+1, 0
	for i := range st.nodes {
		st.nodes[i].fenceTerm = 0
		if int8(i) != m && st.nodes[i].up && st.nodes[i].partition == n.partition {
			st.nodes[i].follow(n)
		}
	}
	e.add("promote "+memberName(int(m)), st, fault)
}

// follow makes the node a replica of a primary with a later term.
func (n *node) follow(leader *node) {
	n.leads, n.term = false, leader.term
	if n.length > leader.length {
		n.copyLog(leader)
	}
}
