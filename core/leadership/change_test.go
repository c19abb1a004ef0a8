package leadership

import (
	"pearlatch/core/group"
)

// changePrimary is how the holder of the duty replaces the primary.
func (e *explorer) changePrimary(w modelState) {
	e.adoptPrimary(w)
	e.sampleFloor(w)
	e.startFailover(w)
	e.recallLeases(w)
	e.fenceReplicas(w)
	e.chooseSuccessor(w)
	e.executePromotion(w)
}

// adoptPrimary makes the holder take the member for the primary that leads in the highest term it
// sees, unless an order is open that has not been carried out.
func (e *explorer) adoptPrimary(w modelState) {
	d := &w.duty
	best := none
	for m := range w.nodes {
		n := &w.nodes[m]
		known := n.term >= w.recordedTerm || !e.safeguards.recordOrder
		if n.up && n.leads && known && w.holderReaches(m) && (best == none || n.term > w.nodes[best].term) {
			best = m
		}
	}
	if best == none || d.stage == recalling || d.stage == fencing || d.primary == int8(best) && d.stage == granting {
		return
	}
	open := w.recordedOrder != none && e.safeguards.recordOrder
	if open && w.recordedOrder != int8(best) || d.stage == ordered && d.target != int8(best) {
		return
	}
	switch {
	case d.stage == ordered && !d.memberLeft:
		// The successor was chosen for what it held, whoever had left before.
		d.floor = d.fencedLength[best]
	case d.primary != none && d.primary != int8(best) && !w.nodes[d.primary].listed:
		d.floor = none // the primary before has left, which was no replica then
	}
	d.primary, d.stage, d.target, d.rechecked = int8(best), granting, none, false
	d.fenced, d.fencedLength = [memberCount]bool{}, [memberCount]int8{}
	w.recordedOrder, w.recordedTerm = none, max(w.recordedTerm, w.nodes[best].term)
	e.add("adopt "+memberName(best), w, "")
}

// sampleFloor takes the primary's position as the floor for a successor.
func (e *explorer) sampleFloor(w modelState) {
	d := &w.duty
	if d.stage != granting || d.primary == none || d.floor != none || !w.holderReaches(int(d.primary)) || !w.nodes[d.primary].up {
		return
	}
	d.floor = w.nodes[d.primary].length
	e.add("sample", w, "")
}

// startFailover makes the holder set out to replace the primary, rightly or not.
func (e *explorer) startFailover(w modelState) {
	if w.duty.stage != granting || w.duty.primary == none || w.recordedOrder != none && e.safeguards.recordOrder {
		return
	}
	w.duty.stage = recalling
	if !e.safeguards.waitForLeases {
		w.duty.stage = fencing
	}
	e.add("suspect", w, "")
}

func (e *explorer) recallLeases(w modelState) {
	d := &w.duty
	if d.stage != recalling {
		return
	}
	for h := range w.hosts {
		if d.leased[h] && w.hosts[h].partition == w.hosts[d.host].partition {
			next := w
			next.hosts[h].lease, next.hosts[h].recalled = none, d.primary
			next.duty.leased[h] = false
			e.add("recall", next, "")
		}
	}
	if d.leased == [hostCount]bool{} && !(e.safeguards.waitForFormerHolder && w.former.active) {
		d.stage = fencing
		e.add("all leases ended", w, "")
	}
}

func (e *explorer) fenceReplicas(w modelState) {
	d := &w.duty
	if d.stage != fencing {
		return
	}
	for m := range w.nodes {
		n := &w.nodes[m]
		if int8(m) == d.primary || d.fenced[m] || d.rechecked || !n.up || !w.holderReaches(m) || n.leads {
			continue
		}
		next := w
		if e.safeguards.fenceReplicas {
			next.nodes[m].fenceTerm = n.term + 1
		}
		next.duty.fenced[m], next.duty.fencedLength[m] = true, n.length
		e.add("fence "+memberName(m), next, "")
	}
	if e.safeguards.recheckReplicas && e.safeguards.fenceReplicas && !d.rechecked && d.fenced != [memberCount]bool{} {
		e.recheckReplicas(w)
	}
}

// recheckReplicas asks the replicas once more after all were fenced that could be. One that is no
// longer fenced was started again meanwhile.
func (e *explorer) recheckReplicas(w modelState) {
	d := &w.duty
	d.rechecked = true
	for m := range w.nodes {
		n := &w.nodes[m]
		if d.fenced[m] && (!n.up || !w.holderReaches(m) || n.fenceTerm <= n.term) {
			d.fenced[m] = false
		}
		d.fencedLength[m] = 0
		if d.fenced[m] {
			d.fencedLength[m] = n.length
		}
	}
	e.add("look again", w, "")
}

// chooseSuccessor orders the promotion of a replica that holds everything, or gives up.
func (e *explorer) chooseSuccessor(w modelState) {
	d := &w.duty
	if d.stage != fencing {
		return
	}
	resumed := w
	resumed.duty.stage, resumed.duty.rechecked = granting, false
	resumed.duty.fenced, resumed.duty.fencedLength = [memberCount]bool{}, [memberCount]int8{}
	if p := d.primary; w.nodes[p].up && w.nodes[p].leads && w.holderReaches(int(p)) {
		for m := range resumed.nodes {
			if resumed.holderReaches(m) {
				resumed.nodes[m].fenceTerm = 0
			}
		}
		e.add("resume", resumed, "")
	}
	best, ok := group.Successor(nil, w.standbys(e.safeguards))
	if !ok || w.pendingOrder != none || e.safeguards.recheckReplicas && e.safeguards.fenceReplicas && !d.rechecked {
		return
	}
	target := int8(best.Member[0] - 'a')
	d.stage, d.target, d.memberLeft, w.pendingOrder, w.recordedOrder = ordered, target, false, target, target
	e.add("order "+best.Member, w, "")
}

// standbys are the replicas as the holder knows them.
func (w *modelState) standbys(safe safeguards) []group.Standby {
	var out []group.Standby
	d := &w.duty
	for m := range w.nodes {
		n := &w.nodes[m]
		departed := !d.fenced[m] && !n.listed && !n.up && w.holderReaches(m)
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

// executePromotion is the platform's part: the member leads the next term with what it holds.
func (e *explorer) executePromotion(w modelState) {
	m := w.pendingOrder
	if m == none || !w.nodes[m].up {
		return
	}
	top := int8(0)
	for i := range w.nodes {
		top = max(top, w.nodes[i].term)
	}
	if top == maxTerms {
		return
	}
	w.pendingOrder = none
	n := &w.nodes[m]
	fault := ""
	if lost := w.missingWrite(n); lost != "" && !n.leads {
		fault = "promoted without an acknowledged write"
	}
	n.leads, n.term, n.fenceTerm = true, top+1, 0
	for i := range w.nodes {
		w.nodes[i].fenceTerm = 0
		if int8(i) != m && w.nodes[i].up && w.nodes[i].partition == n.partition {
			w.nodes[i].follow(n)
		}
	}
	e.add("promote "+memberName(int(m)), w, fault)
}

// follow makes a member a replica of one that leads in a later term.
func (n *node) follow(leader *node) {
	n.leads, n.term = false, leader.term
	if n.length > leader.length {
		n.copyLog(leader)
	}
}
