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

// ledger records the outcomes of writes to one group as its callers were told: which writes were
// acknowledged and when, and which were refused, so that they must not have run. It is safe for concurrent use.
type ledger struct {
	group   *site.Group
	history *site.History

	mu sync.Mutex
	// acks holds the acknowledgements in order of time, each with the highest position acknowledged so far.
	acks []ack
	// acknowledgedWrites and refusedWrites hold the identifiers of requests.
	acknowledgedWrites, refusedWrites map[string]bool
}

// ack is the highest position that was acknowledged up to a time.
type ack struct {
	at      time.Time
	highest group.Position
}

func newLedger(g *site.Group, h *site.History) *ledger {
	return &ledger{group: g, history: h, acknowledgedWrites: map[string]bool{}, refusedWrites: map[string]bool{}}
}

// recordAcknowledged records that writes were acknowledged to a caller, the last of them at position p.
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

// recordRefused records that a caller was told that writes have not run.
func (l *ledger) recordRefused(writes []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, id := range writes {
		l.refusedWrites[id] = true
	}
}

// acknowledgedBefore returns the highest position acknowledged before the given time, or the zero Position.
func (l *ledger) acknowledgedBefore(at time.Time) group.Position {
	l.mu.Lock()
	defer l.mu.Unlock()
	i, _ := slices.BinarySearchFunc(l.acks, at, func(a ack, at time.Time) int { return a.at.Compare(at) })
	if i == 0 {
		return group.Position{}
	}
	return l.acks[i-1].highest
}

// requiredPosition returns the lowest position that a read may have seen if it began at the given time, in a session
// whose last write is at lastWrite.
func (l *ledger) requiredPosition(c freshness.Class, began time.Time, lastWrite group.Position) group.Position {
	var required group.Position
	switch c := c.(type) {
	case freshness.Latest:
		return l.acknowledgedBefore(began)
	case freshness.MaxAge:
		required = l.acknowledgedBefore(began.Add(-c.Age))
	}
	if lastWrite.Compare(required) > 0 {
		required = lastWrite
	}
	return required
}

// checkLog compares the recorded outcomes with the log of the group's primary at the end. committed counts how often
// each write is in the log.
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

// execution is a member's proof that it ran a statement: the request, and the position that the statement saw or
// wrote.
type execution struct {
	request  string
	position group.Position
}

// parseSignature parses the signature that a member adds to its answers. It returns false if the signature is
// malformed.
func parseSignature(signature string) (execution, bool) {
	fields := strings.Split(signature, "/")
	if len(fields) != 4 {
		return execution{}, false
	}
	term, termErr := strconv.ParseUint(fields[2], 10, 64)
	lsn, lsnErr := strconv.ParseUint(fields[3], 10, 64)
	if termErr != nil || lsnErr != nil {
		return execution{}, false
	}
	return execution{fields[0], group.Position{Term: group.Term(term), LSN: group.LSN(lsn)}}, true
}
