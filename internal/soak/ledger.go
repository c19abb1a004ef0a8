package soak

import (
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"pearlatch/core/freshness"
	"pearlatch/core/group"
	"pearlatch/internal/site"
)

// ledger keeps what callers of one group were told: which writes were acknowledged when, and which were
// promised not to have run.
type ledger struct {
	group   *site.Group
	history *site.History

	mu sync.Mutex
	// acks are acknowledgements in order of time, with the highest position up to each.
	acks []ack
	// acknowledged and promised hold the requests of writes.
	acknowledged, promised map[string]bool
}

// ack says that a position was acknowledged by some time.
type ack struct {
	at      time.Time
	highest group.Position
}

func newLedger(g *site.Group, h *site.History) *ledger {
	return &ledger{group: g, history: h, acknowledged: map[string]bool{}, promised: map[string]bool{}}
}

// acked notes that a caller got the acknowledgement of writes at a position.
func (l *ledger) acked(writes []string, p group.Position) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, id := range writes {
		l.acknowledged[id] = true
	}
	a := ack{at: time.Now(), highest: p}
	if n := len(l.acks); n > 0 && l.acks[n-1].highest.Compare(p) > 0 {
		a.highest = l.acks[n-1].highest
	}
	l.acks = append(l.acks, a)
}

// refused notes that a caller was promised that writes have not run.
func (l *ledger) refused(writes []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, id := range writes {
		l.promised[id] = true
	}
}

// before returns the highest position that was acknowledged before the time.
func (l *ledger) before(at time.Time) group.Position {
	l.mu.Lock()
	defer l.mu.Unlock()
	i, _ := slices.BinarySearchFunc(l.acks, at, func(a ack, at time.Time) int { return a.at.Compare(at) })
	if i == 0 {
		return group.Position{}
	}
	return l.acks[i-1].highest
}

// needs returns what a read must see that began at the time, in a session whose last write is at mark.
func (l *ledger) needs(c freshness.Class, began time.Time, mark group.Position) group.Position {
	var need group.Position
	switch c := c.(type) {
	case freshness.Latest:
		return l.before(began)
	case freshness.MaxAge:
		need = l.before(began.Add(-c.Age))
	}
	if mark.Compare(need) > 0 {
		need = mark
	}
	return need
}

// settle compares what callers were told with the log of the group's primary at the end.
func (l *ledger) settle(committed map[string]int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id := range l.acknowledged {
		if committed[id] == 0 {
			l.history.Broken("LOST: write %s of group %s was acknowledged and is not in its log", id, l.group.Name())
		}
	}
	for id, n := range committed {
		if n > 1 {
			l.history.Broken("TWICE: write %s of group %s took effect %d times", id, l.group.Name(), n)
		}
		if l.promised[id] {
			l.history.Broken("REFUSED: write %s of group %s was promised not to have run, and is in its log", id, l.group.Name())
		}
	}
}

// proof is what a member says of a statement that it ran.
type proof struct {
	request  string
	position group.Position
}

// parseProof reads a member's signature.
func parseProof(signature string) (proof, bool) {
	f := strings.Split(signature, "/")
	if len(f) != 4 {
		return proof{}, false
	}
	term, err1 := strconv.ParseUint(f[2], 10, 64)
	lsn, err2 := strconv.ParseUint(f[3], 10, 64)
	if err1 != nil || err2 != nil {
		return proof{}, false
	}
	return proof{f[0], group.Position{Term: group.Term(term), LSN: group.LSN(lsn)}}, true
}
