package group

// Standby is a replica of a group whose members acknowledge a write once the
// primary and at least one replica hold it.
type Standby struct {
	// Member is the member's identifier.
	Member string
	// Answered is true when the member answered the question whose outcome the
	// other fields hold.
	Answered bool
	// Fenced replicas receive nothing more under the present primary.
	Fenced bool
	// Received is the end of the replica's log. It can't shrink, and can't grow
	// while the replica is fenced.
	Received Position
	// Complete is true when the replica holds what the primary held at some time
	// after the last member had left the group.
	Complete bool
	// Leaving replicas take their log with them and are not promoted.
	Leaving bool
}

// Successor returns the replica to promote, or false when none is certain to hold
// every acknowledged write.
//
// A write is acknowledged by the primary together with at least one replica. When
// all replicas but one are fenced, that one has acknowledged, or received, all that
// came later; so if its log reaches as far as theirs it lacks nothing that replicas
// still in the group acknowledged, and if it is complete, nothing that others had
// acknowledged before they left with their logs. When the
// primary itself was demoted at a position, a replica that holds that position lacks
// nothing either, whatever the others do.
//
// demoted is the end of the primary's log after it was demoted, or nil. Of equals the one with the lowest identifier is chosen, so that two
// hosts that decide on the same answers order the same promotion.
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

// preferred orders candidates.
func preferred(a, b Standby) bool {
	if c := a.Received.Compare(b.Received); c != 0 {
		return c > 0
	}
	return a.Member < b.Member
}

// holdsEveryWrite reports whether replica i certainly holds every acknowledged write.
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
