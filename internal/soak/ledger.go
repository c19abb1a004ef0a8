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
	// acknowledgedWrites and refusedWrites hold the requests of writes.
	acknowledgedWrites, refusedWrites map[string]bool
}

// ack says that a position was acknowledged by some time.
type ack struct {
	at      time.Time
	highest group.Position
}

func newLedger(g *site.Group, h *site.History) *ledger {
	return &ledger{group: g, history: h, acknowledgedWrites: map[string]bool{}, refusedWrites: map[string]bool{}}
}

// recordAcknowledged notes that a caller got the acknowledgement of writes at a position.
func (l *ledger) recordAcknowledged(writes []string, p group.Position) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, id := range writes {
		l.acknowledgedWrites[id] = true
	}
	a := ack{at: time.Now(), highest: p}
	if n := len(l.acks); n > 0 && l.acks[n-1].highest.Compare(p) > 0 {
		a.highest = l.acks[n-1].highest
	}
	l.acks = append(l.acks, a)
}

// recordRefused notes that a caller was promised that writes have not run.
func (l *ledger) recordRefused(writes []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, id := range writes {
		l.refusedWrites[id] = true
	}
}

// acknowledgedBefore returns the highest position that was acknowledged acknowledgedBefore the time.
func (l *ledger) acknowledgedBefore(at time.Time) group.Position {
	l.mu.Lock()
	defer l.mu.Unlock()
	i, _ := slices.BinarySearchFunc(l.acks, at, func(a ack, at time.Time) int { return a.at.Compare(at) })
	if i == 0 {
		return group.Position{}
	}
	return l.acks[i-1].highest
}

// requiredPosition returns what a read must see that began at the time, in a session whose last write is at mark.
func (l *ledger) requiredPosition(c freshness.Class, began time.Time, mark group.Position) group.Position {
	var need group.Position
	switch c := c.(type) {
	case freshness.Latest:
		return l.acknowledgedBefore(began)
	case freshness.MaxAge:
		need = l.acknowledgedBefore(began.Add(-c.Age))
	}
	if mark.Compare(need) > 0 {
		need = mark
	}
	return need
}

// checkLog compares what callers were told with the log of the group's primary at the end.
func (l *ledger) checkLog(committed map[string]int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id := range l.acknowledgedWrites {
		if committed[id] == 0 {
			l.history.Broken("LOST: write %s of group %s was acknowledged and is not in its log", id, l.group.Name())
		}
	}
	for id, n := range committed {
		if n > 1 {
			l.history.Broken("TWICE: write %s of group %s took effect %d times", id, l.group.Name(), n)
		}
		if l.refusedWrites[id] {
			l.history.Broken("REFUSED: write %s of group %s was promised not to have run, and is in its log", id, l.group.Name())
		}
	}
}

// execution is what a member says of a statement that it ran.
type execution struct {
	request  string
	position group.Position
}

// parseSignature reads a member's signature.
func parseSignature(signature string) (execution, bool) {
	f := strings.Split(signature, "/")
	if len(f) != 4 {
		return execution{}, false
	}
	term, err1 := strconv.ParseUint(f[2], 10, 64)
	lsn, err2 := strconv.ParseUint(f[3], 10, 64)
	if err1 != nil || err2 != nil {
		return execution{}, false
	}
	return execution{f[0], group.Position{Term: group.Term(term), LSN: group.LSN(lsn)}}, true
}
