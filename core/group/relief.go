package group

import "time"

const (
	// reliefRounds is how many rounds in a row a primary must be at its limit while no replica is fresh, until another
	// member takes over.
	reliefRounds = 2
	// reliefPause is the least time between two changes of primary for relief: each aborts the transactions that are
	// open.
	reliefPause = 8 * time.Second
	// reliefWaits is how many statements must have had to wait within a round. Fewer are a burst.
	reliefWaits = 8
)

// Load is what one round showed of a primary's load.
type Load struct {
	// Lagging is true if every replica is further behind than the group's routes accept, so that the primary serves all
	// reads.
	Lagging bool
	// Running is how many statements the primary ran at the moment of the question, and Slots how many it runs at once.
	Running, Slots int
	// Waited is how many statements of the asking host had to wait since the round before.
	Waited int
}

// atLimit reports whether the primary can't serve what comes to it. The moment of the question alone does not tell: a
// primary with short statements is idle between two of them while others wait.
func (l Load) atLimit() bool { return l.Running >= l.Slots || l.Waited >= reliefWaits }

// Relief decides when a group is better off with another primary: the present one is at its limit, since no replica is
// fresh enough. A promoted replica is up to date at once, however far it was behind, and the old primary goes on as a
// replica that is not behind, so two members serve reads. The zero value is ready for use.
type Relief struct {
	rounds   int
	relieved time.Time
}

// Observe takes over a round and reports whether the primary is to be relieved now.
func (r *Relief) Observe(l Load, now time.Time) bool {
	if !l.Lagging || !l.atLimit() {
		r.rounds = 0
		return false
	}
	r.rounds++
	if r.rounds < reliefRounds || now.Sub(r.relieved) < reliefPause {
		return false
	}
	r.rounds, r.relieved = 0, now
	return true
}

// Doubtful reports whether the last round showed a primary at its limit.
func (r *Relief) Doubtful() bool { return r.rounds > 0 }
