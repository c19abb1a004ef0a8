package answer

import (
	"github.com/cespare/xxhash/v2"

	"pearlatch/core/group"
)

//go:generate go tool stringer -type=Verdict,State -linecomment -output=enum_string.go

// State is the state of a connection after an answer.
type State uint8

// The states of a connection.
const (
	Idle          State = iota // idle
	InTransaction              // in_transaction
	// Broken means that the transaction has failed and waits for its end.
	Broken // broken
)

// Answer is an answer of a member.
type Answer struct {
	// Signature is the member's proof that it ran a caller's statement. It is unique to the run, and empty if there is none.
	Signature string
	Rows      []string
	// Code is the code of a failure, or empty.
	Code string
	// Bare is true for a message that ends an answer without one before it, such as the greeting of a new connection.
	Bare  bool
	State State
	// Position is the position that the member reports with the answer, or zero.
	Position group.Position
}

// Expectation is what the success of a request looks like.
type Expectation struct {
	// Signed is true for the statements of callers, which members sign.
	Signed bool
	State  State
}

// Verdict is what an answer is to the request that waits for it.
type Verdict uint8

// The verdicts.
const (
	// Accepted means that the answer belongs to the request, as far as the connection can tell.
	Accepted Verdict = iota // accepted
	// Repeated means that the answer is whole and certainly belongs to another request. The right answer is still to come.
	Repeated // repeated
	// Ambiguous means that the answer reports a failure, and may as well be a copy of an earlier answer.
	Ambiguous // ambiguous
	// Garbled means that the answer contains parts of another one. Nothing that follows it on the connection can be used.
	Garbled // garbled
)

// MaxAnswers bounds what a History remembers. A connection that has reached it is to be closed.
const MaxAnswers = 4096

// History is what the answers on one connection have shown. The zero value is that of a new connection. It is not safe for
// concurrent use.
type History struct {
	// rows holds the digest of the rows of each signed answer by the digest of its signature.
	rows map[uint64]uint64
	// unsigned holds the digests of the answers without a signature.
	unsigned map[uint64]struct{}
	// uncertain is true while the answer to an earlier request may be still to come, since a copy of another answer may have
	// been accepted in its place.
	uncertain bool
}

// Full reports whether the history can't take further answers.
func (h *History) Full() bool { return len(h.rows)+len(h.unsigned) >= MaxAnswers }

// Uncertain reports whether the answer to an earlier request may be still to come.
func (h *History) Uncertain() bool { return h.uncertain }

// Confirm records the last answer to commands whose answers in their order show that all before them have arrived. That answer
// itself may be a copy.
func (h *History) Confirm(last Answer) { h.uncertain = h.seen(last) }

// Judge records the answer that arrived next on the connection and returns what it is to the request that waits.
func (h *History) Judge(e Expectation, a Answer) Verdict {
	switch {
	case a.Bare:
		return Repeated
	case a.Signature != "":
		return h.judgeSigned(e, a)
	case a.Code != "":
		return h.judgeFailure(a)
	case len(a.Rows) > 0:
		return Garbled
	case e.Signed || a.State != e.State:
		h.seen(a) // it may be the answer to an earlier request, whose place a copy took
		return Repeated
	}
	h.uncertain = h.seen(a) || h.uncertain
	return Accepted
}

// judgeSigned judges an answer with a signature. One that the connection has not carried before proves that all earlier
// answers have arrived, since members answer in order.
func (h *History) judgeSigned(e Expectation, a Answer) Verdict {
	signature, rows := xxhash.Sum64String(a.Signature), digestRows(a.Rows)
	if earlier, ok := h.rows[signature]; ok && earlier == rows {
		return Repeated
	} else if ok || !e.Signed || a.State != e.State {
		return Garbled
	}
	if h.rows == nil {
		h.rows = map[uint64]uint64{}
	}
	h.rows[signature] = rows
	h.uncertain = false
	return Accepted
}

// judgeFailure judges a failure. A copy is certain only for the first of its kind on a connection that owes no other answer.
func (h *History) judgeFailure(a Answer) Verdict {
	if len(a.Rows) > 0 {
		return Garbled
	}
	if h.seen(a) || h.uncertain {
		return Ambiguous
	}
	return Accepted
}

// JudgeStatus records a status, for which the text stands, and returns what it is to the control command that waits.
func (h *History) JudgeStatus(text string) Verdict {
	if h.seenDigest(xxhash.Sum64String("status "+text)) || h.uncertain {
		return Ambiguous
	}
	return Accepted
}

// Record records an answer that was matched without a verdict.
func (h *History) Record(a Answer) {
	if a.Signature == "" && !a.Bare {
		h.seen(a)
	}
}

// Confirms reports whether an answer to a command that a host sends to learn the state of the connection shows that state. A
// refusal shows it as well if the command may be refused.
func Confirms(a Answer, want State, refusable bool) bool {
	return FollowsStatus(a) && (a.Code == "" || refusable) && a.State == want
}

// FollowsStatus reports whether an answer belongs to a command that returns neither rows nor a signature.
func FollowsStatus(a Answer) bool { return !a.Bare && a.Signature == "" && len(a.Rows) == 0 }

// seen records an answer without a signature and reports whether the connection has carried the same before.
func (h *History) seen(a Answer) bool {
	if a.Code != "" && a.State == Idle {
		a.Position = group.Position{} // resolved at little cost, so that a copy need not be the same in each detail
	}
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(a.Code)
	_, _ = d.Write([]byte{0, byte(a.State)})
	_, _ = d.WriteString(a.Position.String())
	return h.seenDigest(d.Sum64())
}

func (h *History) seenDigest(digest uint64) bool {
	if _, ok := h.unsigned[digest]; ok {
		return true
	}
	if h.unsigned == nil {
		h.unsigned = map[uint64]struct{}{}
	}
	h.unsigned[digest] = struct{}{}
	return false
}

func digestRows(rows []string) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, row := range rows {
		_, _ = d.WriteString(row)
		_, _ = d.WriteString("\r\n") // no row contains a line end
	}
	return d.Sum64()
}
