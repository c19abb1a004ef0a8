package group

// Standby is a replica of a group in which a write is acknowledged once the
// primary and at least one replica hold it.
type Standby struct {
	// Member is the member's identifier.
	Member string
	// Answered is true if the member answered the probe from which the other
	// fields are set.
	Answered bool
	// Fenced is true if the replica receives nothing more from the current
	// primary.
	Fenced bool
	// Received is the end of the replica's log. It never shrinks, and does not
	// grow while the replica is fenced.
	Received Position
	// Complete is true if the replica holds everything that the primary held at
	// some time after the latest departure of a member. So it lacks no write
	// that a departed member had acknowledged.
	Complete bool
	// Leaving is true if the replica is about to leave the group together with
	// its log. It is not promoted.
	Leaving bool
}

// Successor returns the replica to promote, or false if none is certain to hold
// every acknowledged write.
//
// A write is acknowledged by the primary together with at least one replica. If
// all replicas but one are fenced, the unfenced one has received every write
// that was acknowledged later. So a replica whose log reaches as far as the
// logs of all others lacks nothing that a replica still in the group has
// acknowledged. If it is also complete, it lacks nothing that departed members
// had acknowledged. A replica whose log reaches the end of a demoted primary's
// log lacks nothing either, whatever the other replicas hold.
//
// demoted is the end of the primary's log after its demotion, or nil. Among
// replicas with equal positions the one with the lowest identifier is chosen,
// so that two hosts that see the same answers promote the same replica.
func Successor(demoted *Position, replicas []Standby) (Standby, bool) {
	best := -1
	for i, r := range replicas {
		if !r.Answered || r.Leaving || !holdsEveryWrite(i, demoted, replicas) {
			continue
		}
		if best < 0 || preferred(r, replicas[best]) {
			best = i
		}
	}
	if best < 0 {
		return Standby{}, false
	}
	return replicas[best], true
}

// SwitchoverTarget returns the replica to which a primary that still serves
// hands over, or false if there is none: the one with the longest log of those
// that answered and are not leaving. It must then catch up with the primary. A
// replica that is not steady is chosen only if no other is left.
func SwitchoverTarget(replicas []Standby, steady func(member string) bool) (Standby, bool) {
	var best Standby
	for _, r := range replicas {
		if !r.Answered || r.Leaving {
			continue
		}
		worse := best.Member != "" && (steady(best.Member) && !steady(r.Member) ||
			steady(best.Member) == steady(r.Member) && r.Received.Compare(best.Received) <= 0)
		if !worse {
			best = r
		}
	}
	return best, best.Member != ""
}

// preferred reports whether a is chosen over b: it has the higher position, or
// an equal one and the lower identifier.
func preferred(a, b Standby) bool {
	if c := a.Received.Compare(b.Received); c != 0 {
		return c > 0
	}
	return a.Member < b.Member
}

// holdsEveryWrite reports whether replica i is certain to hold every
// acknowledged write.
func holdsEveryWrite(i int, demoted *Position, replicas []Standby) bool {
	if demoted != nil && replicas[i].Received.Compare(*demoted) >= 0 {
		return true
	}
	if !replicas[i].Complete {
		return false
	}
	for j, r := range replicas {
		if j == i {
			continue
		}
		if !r.Answered || !r.Fenced || r.Received.Compare(replicas[i].Received) > 0 {
			return false
		}
	}
	return true
}
