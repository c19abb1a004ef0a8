package leadership

import (
	"pearlatch/core/group"
)

// step is a state that follows on another one. fault is set when a promise breaks.
type step struct {
	what  string
	next  world
	fault string
}

// explorer lists what may happen next.
type explorer struct {
	safe safeguards
	out  []step
}

func (e *explorer) add(what string, next world, fault string) {
	e.out = append(e.out, step{what, next, fault})
}

// next returns all steps from a state.
func (e *explorer) next(w world) []step {
	e.out = e.out[:0]
	e.calls(w)
	e.replication(w)
	e.leases(w)
	e.change(w)
	e.faults(w)
	return e.out
}

// calls are what callers do: writes, their answers, and reads of the latest.
func (e *explorer) calls(w world) {
	for h := range w.servers {
		for m := range w.nodes {
			n := &w.nodes[m]
			if !n.up || n.side != w.servers[h].side || w.servers[h].recalled == int8(m) {
				continue
			}
			if n.leads {
				e.send(w, h, m)
			}
			e.read(w, h, m)
		}
	}
	for id := range w.writes {
		if w.writes[id].state == received {
			e.answer(w, id)
		}
	}
}

func (e *explorer) send(w world, h, m int) {
	for id := range w.writes {
		if w.writes[id].state != unsent {
			continue
		}
		n := &w.nodes[m]
		n.log[n.length] = int8(id)
		n.length++
		w.writes[id] = write{sent, int8(h), int8(m), n.term}
		e.add("send "+name(m), w, "")
		return
	}
}

// answer passes a member's acknowledgement on to the caller, unless it may not be kept.
func (e *explorer) answer(w world, id int) {
	it := &w.writes[id]
	host, m := &w.servers[it.host], it.member
	keeps := host.lease == m && w.nodes[m].term == it.term || Undisputed(name(int(m)), group.Term(it.term), listedNames(), w.answers(it.host))
	if e.safe.confirm && !keeps {
		it.state = doubtful
		e.add("doubt", w, "")
		return
	}
	it.state = acknowledged
	fault := ""
	if l := w.leader(); l != none && w.lost(&w.nodes[l]) != "" {
		fault = "acknowledged by a replaced primary"
	}
	e.add("acknowledge", w, fault)
}

// read reads the latest, by a lease or the word of the others.
func (e *explorer) read(w world, h, m int) {
	host, n := &w.servers[h], &w.nodes[m]
	answers := w.answers(int8(h))
	proven := Unchallenged(name(m), group.Term(n.term), listedNames(), answers)
	if !e.safe.proveByAll {
		proven = someFollow(name(m), group.Term(n.term), answers)
	}
	if host.lease != int8(m) && !(n.leads && proven) {
		return
	}
	if w.lost(n) != "" {
		e.add("read "+name(m), w, "stale read")
	}
}

// someFollow is a proof that takes the word of whoever answers.
func someFollow(primary string, term group.Term, answers []Answer) bool {
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

// replication sends the log of a member that leads to another one.
func (e *explorer) replication(w world) {
	for p := range w.nodes {
		for r := range w.nodes {
			from, to := &w.nodes[p], &w.nodes[r]
			if p == r || !from.up || !from.leads || !to.up || to.side != from.side || to.leads ||
				to.fenced > from.term || to.term > from.term {
				continue
			}
			next := w
			next.nodes[r].take(from)
			next.nodes[r].term = from.term
			for id := range next.writes {
				if it := &next.writes[id]; it.state == sent && it.member == int8(p) && next.nodes[r].holds(int8(id)) {
					it.state = received
				}
			}
			if next != w {
				e.add("replicate to "+name(r), next, "")
			}
		}
	}
}

// leases are granted, run out, and are counted off by the holder, in this order.
func (e *explorer) leases(w world) {
	d := &w.duty
	for h := range w.servers {
		if d.stage == granting && d.primary != none && w.servers[h].side == w.servers[d.host].side && w.servers[h].lease != d.primary {
			next := w
			next.servers[h].lease, next.servers[h].recalled, next.servers[h].ousted = d.primary, none, false
			next.duty.granted[h] = true
			e.add("grant", next, "")
		}
		if w.servers[h].lease != none {
			next := w
			next.servers[h].lease, next.servers[h].ousted = none, false
			e.add("lease ends", next, "")
		}
		if d.granted[h] && w.servers[h].lease == none {
			next := w
			next.duty.granted[h] = false
			e.add("holder counts lease off", next, "")
		}
	}
	e.lapse(w)
	e.oust(w)
	e.restore(w)
	e.formerLeases(w)
}

// oust takes the duty from its holder before its time is over. The holder does not know.
func (e *explorer) oust(w world) {
	if w.left.ousters == 0 || w.duty.stage != granting || w.duty.primary == none {
		return
	}
	w.left.ousters--
	w.former = former{active: true, host: w.duty.host, primary: w.duty.primary}
	for h := range w.servers {
		w.servers[h].ousted = w.servers[h].lease != none
	}
	w.duty = holder{host: 1 - w.duty.host, primary: none, floor: w.duty.floor, target: none}
	e.add("duty is taken away", w, "")
}

// restore brings the store back from a copy in which the other host has the duty, and no order stands. The holder does
// not know yet, and goes on to grant leases. The other one remembers the record that it saw before.
func (e *explorer) restore(w world) {
	if w.left.restores == 0 || w.former.active {
		return
	}
	w.left.restores--
	if w.duty.stage == granting && w.duty.primary != none {
		w.former = former{active: true, host: w.duty.host, primary: w.duty.primary}
		for h := range w.servers {
			w.servers[h].ousted = w.servers[h].lease != none
		}
	} else if w.duty.granted != [hosts]bool{} {
		return // leases that a change waits for have ended by the time that the next holder has waited
	}
	floor := w.duty.floor
	for m := range w.nodes {
		if !w.nodes[m].listed {
			floor = none // the record covers only the members that it names
		}
	}
	w.duty = holder{host: 1 - w.duty.host, primary: none, floor: floor, target: none}
	if !e.safe.remember {
		w.recorded, w.reached = none, 0
	}
	e.add("store comes back", w, "")
}

// formerLeases are those that an ousted holder grants. They end with its time.
func (e *explorer) formerLeases(w world) {
	f := &w.former
	if !f.active {
		return
	}
	for h := range w.servers {
		if s := &w.servers[h]; s.side == w.servers[f.host].side && s.lease != f.primary {
			next := w
			next.servers[h].lease, next.servers[h].recalled, next.servers[h].ousted = f.primary, none, true
			e.add("ousted holder grants", next, "")
		}
	}
	f.active = false
	for h := range w.servers {
		if w.servers[h].ousted {
			w.servers[h].lease, w.servers[h].ousted = none, false
		}
	}
	e.add("ousted holder's time ends", w, "")
}

// lapse hands the duty on to another host. Leases end before the duty does.
func (e *explorer) lapse(w world) {
	if w.left.lapses == 0 || e.safe.boundByDuty && w.duty.granted != [hosts]bool{} {
		return
	}
	w.left.lapses--
	floor := w.duty.floor
	for m := range w.nodes {
		if !w.nodes[m].listed {
			floor = none // the record covers only the members that it names
		}
	}
	w.duty = holder{host: 1 - w.duty.host, primary: none, floor: floor, target: none}
	e.add("duty lapses", w, "")
}
