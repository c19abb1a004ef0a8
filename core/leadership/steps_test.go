package leadership

import (
	"pearlatch/core/group"
)

// transition is a state that follows on another one. fault is set when a promise breaks.
type transition struct {
	action    string
	next      modelState
	violation string
}

// explorer lists what may happen next.
type explorer struct {
	safeguards safeguards
	out        []transition
}

func (e *explorer) add(what string, next modelState, fault string) {
	e.out = append(e.out, transition{what, next, fault})
}

// next returns all steps from a state.
func (e *explorer) next(w modelState) []transition {
	e.out = e.out[:0]
	e.clientSteps(w)
	e.replicate(w)
	e.leaseSteps(w)
	e.changePrimary(w)
	e.injectFaults(w)
	return e.out
}

// clientSteps are what callers do: writes, their answers, and reads of the latest.
func (e *explorer) clientSteps(w modelState) {
	for h := range w.hosts {
		for m := range w.nodes {
			n := &w.nodes[m]
			if !n.up || n.partition != w.hosts[h].partition || w.hosts[h].recalled == int8(m) {
				continue
			}
			if n.leads {
				e.sendWrite(w, h, m)
			}
			e.readLatest(w, h, m)
		}
	}
	for id := range w.writes {
		if w.writes[id].state == received {
			e.answerWrite(w, id)
		}
	}
}

func (e *explorer) sendWrite(w modelState, h, m int) {
	for id := range w.writes {
		if w.writes[id].state != unsent {
			continue
		}
		n := &w.nodes[m]
		n.log[n.length] = int8(id)
		n.length++
		w.writes[id] = write{sent, int8(h), int8(m), n.term}
		e.add("send "+memberName(m), w, "")
		return
	}
}

// answerWrite passes a member's acknowledgement on to the caller, unless it may not be kept.
func (e *explorer) answerWrite(w modelState, id int) {
	it := &w.writes[id]
	host, m := &w.hosts[it.host], it.member
	keeps := host.lease == m && w.nodes[m].term == it.term || WriteConfirmed(memberName(int(m)), group.Term(it.term), memberNames(), w.probeResults(it.host))
	if e.safeguards.confirmWrites && !keeps {
		it.state = inDoubt
		e.add("doubt", w, "")
		return
	}
	it.state = acknowledged
	fault := ""
	if l := w.newestPrimary(); l != none && w.missingWrite(&w.nodes[l]) != "" {
		fault = "acknowledged by a replaced primary"
	}
	e.add("acknowledge", w, fault)
}

// readLatest reads the latest, by a lease or the word of the others.
func (e *explorer) readLatest(w modelState, h, m int) {
	host, n := &w.hosts[h], &w.nodes[m]
	answers := w.probeResults(int8(h))
	proven := PrimaryConfirmed(memberName(m), group.Term(n.term), memberNames(), answers)
	if !e.safeguards.proveByAll {
		proven = confirmedBySome(memberName(m), group.Term(n.term), answers)
	}
	if host.lease != int8(m) && !(n.leads && proven) {
		return
	}
	if w.missingWrite(n) != "" {
		e.add("read "+memberName(m), w, "stale read")
	}
}

// confirmedBySome is a proof that takes the word of whoever answers.
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

// replicate sends the log of a member that leads to another one.
func (e *explorer) replicate(w modelState) {
	for p := range w.nodes {
		for r := range w.nodes {
			from, to := &w.nodes[p], &w.nodes[r]
			if p == r || !from.up || !from.leads || !to.up || to.partition != from.partition || to.leads ||
				to.fenceTerm > from.term || to.term > from.term {
				continue
			}
			next := w
			next.nodes[r].copyLog(from)
			next.nodes[r].term = from.term
			for id := range next.writes {
				if it := &next.writes[id]; it.state == sent && it.member == int8(p) && next.nodes[r].contains(int8(id)) {
					it.state = received
				}
			}
			if next != w {
				e.add("replicate to "+memberName(r), next, "")
			}
		}
	}
}

// leaseSteps are granted, run out, and are counted off by the holder, in this order.
func (e *explorer) leaseSteps(w modelState) {
	d := &w.duty
	for h := range w.hosts {
		if d.stage == granting && d.primary != none && w.hosts[h].partition == w.hosts[d.host].partition && w.hosts[h].lease != d.primary {
			next := w
			next.hosts[h].lease, next.hosts[h].recalled, next.hosts[h].revoked = d.primary, none, false
			next.duty.leased[h] = true
			e.add("grant", next, "")
		}
		if w.hosts[h].lease != none {
			next := w
			next.hosts[h].lease, next.hosts[h].revoked = none, false
			e.add("lease ends", next, "")
		}
		if d.leased[h] && w.hosts[h].lease == none {
			next := w
			next.duty.leased[h] = false
			e.add("holder counts lease off", next, "")
		}
	}
	e.expireDuty(w)
	e.revokeDuty(w)
	e.restoreStore(w)
	e.formerHolderSteps(w)
}

// revokeDuty takes the duty from its holder before its time is over. The holder does not know.
func (e *explorer) revokeDuty(w modelState) {
	if w.faultsLeft.revocations == 0 || w.duty.stage != granting || w.duty.primary == none {
		return
	}
	w.faultsLeft.revocations--
	w.former = formerHolder{active: true, host: w.duty.host, primary: w.duty.primary}
	for h := range w.hosts {
		w.hosts[h].revoked = w.hosts[h].lease != none
	}
	w.duty = holderState{host: 1 - w.duty.host, primary: none, floor: w.duty.floor, target: none}
	e.add("duty is taken away", w, "")
}

// restoreStore brings the store back from a copy in which the other host has the duty, and no order stands. The holder does
// not know yet, and goes on to grant leases. The other one remembers the record that it saw before.
func (e *explorer) restoreStore(w modelState) {
	if w.faultsLeft.restores == 0 || w.former.active {
		return
	}
	w.faultsLeft.restores--
	if w.duty.stage == granting && w.duty.primary != none {
		w.former = formerHolder{active: true, host: w.duty.host, primary: w.duty.primary}
		for h := range w.hosts {
			w.hosts[h].revoked = w.hosts[h].lease != none
		}
	} else if w.duty.leased != [hostCount]bool{} {
		return // leases that a change waits for have ended by the time that the next holder has waited
	}
	floor := w.duty.floor
	for m := range w.nodes {
		if !w.nodes[m].listed {
			floor = none // the record covers only the members that it names
		}
	}
	w.duty = holderState{host: 1 - w.duty.host, primary: none, floor: floor, target: none}
	if !e.safeguards.rememberRecord {
		w.recordedOrder, w.recordedTerm = none, 0
	}
	e.add("store comes back", w, "")
}

// formerHolderSteps are those that an ousted holder grants. They end with its time.
func (e *explorer) formerHolderSteps(w modelState) {
	f := &w.former
	if !f.active {
		return
	}
	for h := range w.hosts {
		if s := &w.hosts[h]; s.partition == w.hosts[f.host].partition && s.lease != f.primary {
			next := w
			next.hosts[h].lease, next.hosts[h].recalled, next.hosts[h].revoked = f.primary, none, true
			e.add("ousted holder grants", next, "")
		}
	}
	f.active = false
	for h := range w.hosts {
		if w.hosts[h].revoked {
			w.hosts[h].lease, w.hosts[h].revoked = none, false
		}
	}
	e.add("ousted holder's time ends", w, "")
}

// expireDuty hands the duty on to another host. Leases end before the duty does.
func (e *explorer) expireDuty(w modelState) {
	if w.faultsLeft.expirations == 0 || e.safeguards.boundByDuty && w.duty.leased != [hostCount]bool{} {
		return
	}
	w.faultsLeft.expirations--
	floor := w.duty.floor
	for m := range w.nodes {
		if !w.nodes[m].listed {
			floor = none // the record covers only the members that it names
		}
	}
	w.duty = holderState{host: 1 - w.duty.host, primary: none, floor: floor, target: none}
	e.add("duty lapses", w, "")
}
