package leadership

import (
	"slices"
	"time"

	"pearlatch/core/group"
)

// transition is an action and the state after it. violation is set if an invariant breaks.
type transition struct {
	action    string
	next      modelState
	violation string
}

// explorer lists the transitions from a state.
type explorer struct {
	safeguards safeguards
	maxTerms   int8
	out        []transition
}

func (e *explorer) add(action string, next modelState, violation string) {
	e.out = append(e.out, transition{action, next, violation})
}

// next returns all transitions from a state. The slice is valid until the next call.
func (e *explorer) next(st modelState) []transition {
	e.out = e.out[:0]
	e.clientSteps(st)
	e.replicate(st)
	e.leaseSteps(st)
	e.changePrimary(st)
	e.injectFaults(st)
	return e.out
}

// clientSteps adds the operations of clients: writes, their replies, and reads of the latest data.
func (e *explorer) clientSteps(st modelState) {
	for h := range st.hosts {
		for m := range st.nodes {
			n := &st.nodes[m]
			if !n.up || n.partition != st.hosts[h].partition || st.hosts[h].revokedPrimary == int8(m) {
				continue
			}
			if n.leads {
				e.sendWrite(st, h, m)
			}
			e.readLatest(st, h, m)
		}
	}
	for id := range st.writes {
		if st.writes[id].state == received {
			e.answerWrite(st, id)
		}
	}
}

func (e *explorer) sendWrite(st modelState, h, m int) {
	for id := range st.writes {
		if st.writes[id].state != unsent {
			continue
		}
		n := &st.nodes[m]
		n.log[n.length] = int8(id)
		n.length++
		st.writes[id] = write{sent, int8(h), int8(m), n.term}
		e.add("send "+memberName(m), st, "")
		return
	}
}

// answerWrite passes the primary's acknowledgement on to the client. If the write may be lost, the client is
// told that it is in doubt.
func (e *explorer) answerWrite(st modelState, id int) {
	it := &st.writes[id]
	host, m := &st.hosts[it.host], it.member
	if e.safeguards.confirmWrites && !e.writeKept(&st, host, it, m) {
		it.state = inDoubt
		e.add("report write in doubt", st, "")
		return
	}
	it.state = acknowledged
	violation := ""
	if l := st.newestPrimary(); l != none && !st.replaced(l) && st.missingWrite(&st.nodes[l]) != "" {
		violation = "acknowledged by a replaced primary"
	}
	e.add("acknowledge", st, violation)
}

// writeKept reports whether the host has the proof that a write which the member has acknowledged is kept.
func (e *explorer) writeKept(st *modelState, host *hostState, it *write, m int8) bool {
	var lease Lease
	at := time.Unix(0, 0)
	if host.lease != none {
		lease = Lease{Member: memberName(int(host.lease)), Term: group.Term(st.nodes[host.lease].term), Until: at.Add(time.Second)}
	}
	if host.target != none {
		lease = lease.Restricted(memberName(int(host.target)))
	}
	primary, written := memberName(int(m)), group.Position{Term: group.Term(it.term), LSN: 1}
	results := st.probeResults(it.host)
	switch proof := lease.WriteProof(primary, written.Term, at, at).(type) {
	case ProvenByTarget:
		target := slices.IndexFunc(results, func(r ProbeResult) bool { return r.Member == proof.Target })
		return !e.safeguards.confirmByTarget || ConfirmByTarget(written, results[target]) == Confirmed
	case ProvenByAll:
		if !e.safeguards.confirmByAll {
			return noReplacementSeen(primary, written.Term, st.knownMembers(), results)
		}
		return ConfirmByAll(primary, written, st.knownMembers(), results) == Confirmed
	}
	return true
}

// readLatest reads the latest data, under a lease or with the confirmation of the other members.
func (e *explorer) readLatest(st modelState, h, m int) {
	host, n := &st.hosts[h], &st.nodes[m]
	answers := st.probeResults(int8(h))
	proven := PrimaryConfirmed(memberName(m), group.Term(n.term), st.knownMembers(), answers)
	if !e.safeguards.proveByAll {
		proven = confirmedBySome(memberName(m), group.Term(n.term), answers)
	}
	if (host.lease != int8(m) || host.target != none) && !(n.leads && proven) {
		return
	}
	if st.missingWrite(n) != "" {
		e.add("read "+memberName(m), st, "stale read")
	}
}

// confirmedBySome is a faulty variant of PrimaryConfirmed that ignores the members that do not answer.
func confirmedBySome(primary string, term group.Term, answers []ProbeResult) bool {
	ok := false
	for _, a := range answers {
		if a.Member == primary || !a.Answered {
			continue
		}
		if a.Leads || a.Term > term {
			return false
		}
		ok = true
	}
	return ok
}

// replicate copies the log of a primary to another member.
func (e *explorer) replicate(st modelState) {
	for p := range st.nodes {
		for r := range st.nodes {
			from, to := &st.nodes[p], &st.nodes[r]
			if p == r || !from.up || !from.leads || !to.up || to.partition != from.partition || to.leads ||
				to.fenceTerm > from.term || to.term > from.term {
				continue
			}
			next := st
			next.nodes[r].copyLog(from)
			next.nodes[r].term = from.term
			for id := range next.writes {
				if it := &next.writes[id]; it.state == sent && it.member == int8(p) && next.nodes[r].contains(int8(id)) {
					it.state = received
				}
			}
			if next != st {
				e.add("replicate to "+memberName(r), next, "")
			}
		}
	}
}

// leaseSteps adds the steps in the life of a lease: it is granted, ends on its host, and only then ends for the
// coordinator. It also adds the steps by which the coordinator loses its role.
func (e *explorer) leaseSteps(st modelState) {
	c := &st.coordinator
	for h := range st.hosts {
		e.grantLease(st, h)
		if st.hosts[h].lease != none {
			next := st
			next.hosts[h].lease, next.hosts[h].target, next.hosts[h].fromFormerCoordinator = none, none, false
			e.add("lease ends on host", next, "")
		}
		if c.leased[h] && st.hosts[h].lease == none {
			next := st
			next.coordinator.leased[h], next.coordinator.restricted[h] = false, false
			e.add("lease ends for coordinator", next, "")
		}
	}
	e.expireRole(st)
	e.removeRole(st)
	e.restartProcess(st)
	e.restoreStore(st)
	e.formerCoordinatorSteps(st)
}

// grantLease grants a lease to a host, during a switchover one that names the target.
func (e *explorer) grantLease(st modelState, h int) {
	c, host := &st.coordinator, &st.hosts[h]
	target := int8(none)
	if c.stage == restricting || c.stage == ordered && c.handoverEnd != none {
		target = c.target
	} else if c.stage != granting {
		return
	}
	if c.primary == none || host.partition != st.hosts[c.host].partition || host.lease == c.primary && host.target == target {
		return
	}
	host.lease, host.target, host.revokedPrimary, host.fromFormerCoordinator = c.primary, target, none, false
	if !c.leased[h] {
		c.restricted[h] = target != none
	}
	if target == none {
		c.restricted[h] = false
	}
	c.leased[h] = true
	e.add("grant", st, "")
}

// removeRole gives the role to the other host before the coordinator's validity of it ends. The coordinator is not
// told.
func (e *explorer) removeRole(st modelState) {
	if st.faultsLeft.removals == 0 || st.coordinator.stage != granting || st.coordinator.primary == none {
		return
	}
	st.faultsLeft.removals--
	st.former = formerCoordinator{exists: true, active: true, host: st.coordinator.host, primary: st.coordinator.primary}
	for h := range st.hosts {
		st.hosts[h].fromFormerCoordinator = st.hosts[h].lease != none
	}
	st.coordinator = coordinatorState{host: 1 - st.coordinator.host, primary: none, floor: st.coordinator.floor, target: none, handoverEnd: none}
	e.add("role is removed", st, "")
}

// restartProcess ends the coordinator's process before it has granted a lease. The next process of the host reclaims the
// role, whose entry still names the host.
func (e *explorer) restartProcess(st modelState) {
	c := &st.coordinator
	if st.faultsLeft.processes == 0 || !st.former.active || c.leased != [hostCount]bool{} || c.stage != granting {
		return
	}
	st.faultsLeft.processes--
	st.coordinator = coordinatorState{host: c.host, primary: none, floor: c.floor, target: none, handoverEnd: none, restarted: true}
	e.add("coordinator's process restarts", st, "")
}

// restoreStore restores the store from a copy in which the other host has the role and no order is recorded. The
// old coordinator does not know yet, and continues to grant leases. The new coordinator remembers the record that it
// read before the restore.
func (e *explorer) restoreStore(st modelState) {
	if st.faultsLeft.restores == 0 || st.former.active {
		return
	}
	st.faultsLeft.restores--
	if st.coordinator.stage == granting && st.coordinator.primary != none {
		st.former = formerCoordinator{exists: true, active: true, host: st.coordinator.host, primary: st.coordinator.primary}
		for h := range st.hosts {
			st.hosts[h].fromFormerCoordinator = st.hosts[h].lease != none
		}
	} else if st.coordinator.leased != [hostCount]bool{} {
		return // leases that a failover waits for end before the next coordinator has finished its own wait
	}
	floor := st.coordinator.floor
	for m := range st.nodes {
		if !st.nodes[m].listed {
			floor = none // the floor of the record is valid only for the members that it names
		}
	}
	st.coordinator = coordinatorState{host: 1 - st.coordinator.host, primary: none, floor: floor, target: none, handoverEnd: none}
	if !e.safeguards.rememberRecord {
		st.recordedOrder, st.recordedTerm = none, 0
	}
	e.add("store is restored", st, "")
}

// releaseFences adds the releases by a former coordinator, which takes the fences of its successor for stale ones.
func (e *explorer) releaseFences(st modelState) {
	for m := range st.nodes {
		if n := st.nodes[m]; n.up && n.fenceTerm > 0 && n.partition == st.hosts[st.former.host].partition {
			next := st
			next.nodes[m].fenceTerm = 0
			e.add("former coordinator releases "+memberName(m), next, "")
		}
	}
}

// demoteLate adds the demotions by a former coordinator that was suspended before it sent them.
func (e *explorer) demoteLate(st modelState) {
	for m := range st.nodes {
		if n := st.nodes[m]; n.up && n.leads && n.partition == st.hosts[st.former.host].partition {
			next := st
			next.nodes[m].leads = false
			e.add("former coordinator demotes "+memberName(m), next, "")
		}
	}
}

// formerCoordinatorSteps adds the leases that a former coordinator grants until its validity of the role ends. If coordinators
// release fences, it also adds releases. A host that was suspended may send them, and demotions, at any later time.
func (e *explorer) formerCoordinatorSteps(st modelState) {
	f := &st.former
	if f.exists {
		e.demoteLate(st)
		if !e.safeguards.keepFences {
			e.releaseFences(st)
		}
	}
	if !f.active {
		return
	}
	for h := range st.hosts {
		if s := &st.hosts[h]; s.partition == st.hosts[f.host].partition && s.lease != f.primary {
			next := st
			next.hosts[h].lease, next.hosts[h].target, next.hosts[h].revokedPrimary, next.hosts[h].fromFormerCoordinator = f.primary, none, none, true
			e.add("former coordinator grants lease", next, "")
		}
	}
	f.active = false
	for h := range st.hosts {
		if st.hosts[h].fromFormerCoordinator {
			st.hosts[h].lease, st.hosts[h].target, st.hosts[h].fromFormerCoordinator = none, none, false
		}
	}
	e.add("former coordinator's validity ends", st, "")
}

// expireRole passes the role on to the other host. Leases end before the role does.
func (e *explorer) expireRole(st modelState) {
	if st.faultsLeft.expirations == 0 || e.safeguards.boundByRole && st.coordinator.leased != [hostCount]bool{} {
		return
	}
	st.faultsLeft.expirations--
	floor := st.coordinator.floor
	for m := range st.nodes {
		if !st.nodes[m].listed {
			floor = none // the floor of the record is valid only for the members that it names
		}
	}
	st.coordinator = coordinatorState{host: 1 - st.coordinator.host, primary: none, floor: floor, target: none, handoverEnd: none}
	e.add("role expires", st, "")
}
