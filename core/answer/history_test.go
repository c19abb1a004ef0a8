package answer

import (
	"testing"

	"pearlatch/core/group"
)

func at(n group.LSN) group.Position { return group.Position{Term: 1, LSN: n} }

// Guards against answers of other requests that are taken for the answer to the one that waits.
func TestJudge(t *testing.T) {
	statement, inTransaction := Expectation{Signed: true}, Expectation{Signed: true, State: InTransaction}
	setting, begin := Expectation{}, Expectation{State: InTransaction}
	read := func(signature string, rows ...string) Answer { return Answer{Signature: signature, Rows: rows} }
	busy := Answer{Code: "Busy"}
	type step struct {
		want    Expectation
		got     Answer
		verdict Verdict
	}
	for name, steps := range map[string][]step{
		"each answer once":          {{statement, read("1", "a"), Accepted}, {statement, read("2", "a"), Accepted}, {setting, Answer{}, Accepted}},
		"a copy of a read":          {{statement, read("1", "a"), Accepted}, {statement, read("1", "a"), Repeated}, {statement, read("2", "b"), Accepted}},
		"a copy after others":       {{statement, read("1"), Accepted}, {statement, read("2"), Accepted}, {setting, read("1"), Repeated}},
		"rows of another answer":    {{statement, read("1", "a"), Accepted}, {statement, read("1", "b", "a"), Garbled}},
		"a signature without need":  {{setting, read("1"), Garbled}},
		"no signature":              {{setting, Answer{}, Accepted}, {statement, Answer{}, Repeated}},
		"rows without a signature":  {{statement, Answer{Rows: []string{"primary 3"}}, Garbled}, {setting, Answer{Rows: []string{"a"}}, Garbled}},
		"a greeting":                {{statement, Answer{Bare: true}, Repeated}},
		"outside its transaction":   {{inTransaction, read("1"), Garbled}},
		"another state":             {{begin, Answer{}, Repeated}, {setting, Answer{State: InTransaction}, Repeated}},
		"the first refusal":         {{statement, busy, Accepted}},
		"a second refusal":          {{statement, busy, Accepted}, {statement, Answer{Code: "Busy", Position: at(7)}, Ambiguous}},
		"a refusal of another kind": {{statement, busy, Accepted}, {statement, Answer{Code: "Lagging"}, Accepted}},
		"a refusal in a transaction": {
			{inTransaction, Answer{Code: "Busy", State: InTransaction, Position: at(7)}, Accepted},
			{inTransaction, Answer{Code: "Busy", State: InTransaction, Position: at(8)}, Accepted},
			{inTransaction, Answer{Code: "Busy", State: InTransaction, Position: at(7)}, Ambiguous},
		},
		"a refusal after a setting that may have been a copy": {{setting, Answer{}, Accepted}, {setting, Answer{}, Accepted}, {statement, busy, Ambiguous}},
		"a refusal after a signature":                         {{setting, Answer{}, Accepted}, {setting, Answer{}, Accepted}, {statement, read("1"), Accepted}, {statement, busy, Accepted}},
		"a refusal with rows":                                 {{statement, Answer{Code: "Busy", Rows: []string{"a"}}, Garbled}},
	} {
		t.Run(name, func(t *testing.T) {
			var h History
			for i, s := range steps {
				if v := h.Judge(s.want, s.got); v != s.verdict {
					t.Errorf("answer %d: %s, want %s", i, v, s.verdict)
				}
			}
		})
	}
}

// Guards against a status of before that is taken for the effect of a control command.
func TestJudgeStatus(t *testing.T) {
	var h History
	for i, want := range []Verdict{Accepted, Ambiguous, Accepted} {
		if v := h.JudgeStatus([]string{"replica", "replica", "fenced"}[i]); v != want {
			t.Errorf("status %d: %s, want %s", i, v, want)
		}
	}
	h.Confirm(Answer{})
	if h.Judge(Expectation{}, Answer{}); !h.Uncertain() {
		t.Error("an answer that was recorded is taken for certain")
	}
}

// Guards against connections whose memory grows without a bound.
func TestHistoryIsBounded(t *testing.T) {
	var h History
	for i := range MaxAnswers {
		if h.Full() {
			t.Fatalf("full after %d answers", i)
		}
		h.Judge(Expectation{State: InTransaction}, Answer{State: InTransaction, Position: at(group.LSN(i))})
	}
	if !h.Full() {
		t.Error("not full")
	}
}
