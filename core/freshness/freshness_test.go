package freshness

import (
	"testing"
	"time"

	"pearlatch/core/group"
)

func at(ms int) time.Time { return time.UnixMilli(int64(ms)) }

func pos(term, lsn int) group.Position {
	return group.Position{Term: group.Term(term), LSN: group.LSN(lsn)}
}

func TestParseClass(t *testing.T) {
	for _, text := range []string{"latest", "own_writes", "age <= 2s", "age <= 150ms"} {
		c, err := ParseClass(text)
		if err != nil || c.String() != text {
			t.Errorf("ParseClass(%q) = %v, %v", text, c, err)
		}
	}
	for _, text := range []string{"", "fresh", "age <= ", "age <= 0s", "age <= -1s", "age < 2s"} {
		if _, err := ParseClass(text); err == nil {
			t.Errorf("ParseClass(%q) succeeded", text)
		}
	}
}

func TestSatisfiedBy(t *testing.T) {
	now := at(10_000)
	fresh := Replica{Position: pos(2, 100), AsOf: at(9_500)}
	for _, c := range []struct {
		name    string
		need    Requirement
		replica Replica
		want    bool
	}{
		{"latest", Requirement{Class: Latest{}}, fresh, false},
		{"no mark", Requirement{Class: OwnWrites{}}, fresh, true},
		{"mark reached", Requirement{Class: OwnWrites{}, Position: pos(2, 100)}, fresh, true},
		{"mark ahead", Requirement{Class: OwnWrites{}, Position: pos(2, 101)}, fresh, false},
		{"mark of a later term", Requirement{Class: OwnWrites{}, Position: pos(3, 1)}, fresh, false},
		{"mark of an earlier term", Requirement{Class: OwnWrites{}, Position: pos(1, 900)}, fresh, true},
		{"young enough", Requirement{Class: MaxAge{time.Second}}, fresh, true},
		{"too old", Requirement{Class: MaxAge{400 * time.Millisecond}}, fresh, false},
		{"age unknown", Requirement{Class: MaxAge{time.Hour}}, Replica{Position: pos(2, 100)}, false},
		{"young but without the own write", Requirement{Class: MaxAge{time.Second}, Position: pos(2, 101)}, fresh, false},
	} {
		if got := c.need.SatisfiedBy(c.replica, now); got != c.want {
			t.Errorf("%s: Serves = %v, want %v", c.name, got, c.want)
		}
	}
}

func TestPositionHistoryAsOf(t *testing.T) {
	var a PositionHistory
	if !a.AsOf(pos(1, 5)).IsZero() {
		t.Error("an age without a sample")
	}
	for i := range 2000 { // more than are kept
		a.Observe(at(i*30), pos(1, i*10))
	}
	if got := a.AsOf(pos(1, 19_990)); !got.Equal(at(1999 * 30)) {
		t.Errorf("newest: %v", got)
	}
	if got := a.AsOf(pos(1, 19_985)); !got.Equal(at(1998 * 30)) {
		t.Errorf("between two samples the older one counts: %v", got)
	}
	if !a.AsOf(pos(1, 10)).IsZero() {
		t.Error("a position older than all samples has an age")
	}
	a.Observe(at(90_000), pos(1, 19_990))
	if got := a.AsOf(pos(1, 19_990)); !got.Equal(at(90_000)) {
		t.Errorf("no write since: the data is as fresh as the last question, got %v", got)
	}
	a.Observe(at(90_001), pos(2, 1))
	if got := a.AsOf(pos(1, 99_999)); got.After(at(90_000)) {
		t.Errorf("the tail of an older term includes a later term's position: %v", got)
	}
}

func TestEstimateWait(t *testing.T) {
	now := at(10_000)
	behind := Replica{Position: pos(1, 50), AsOf: at(9_700)} // 300 ms behind
	for _, c := range []struct {
		name    string
		need    Requirement
		replica Replica
		reached time.Time
		want    time.Duration
		ok      bool
	}{
		{"written just now", Requirement{OwnWrites{}, pos(1, 60)}, behind, at(10_000), 300 * time.Millisecond, true},
		{"written a while ago", Requirement{OwnWrites{}, pos(1, 60)}, behind, at(9_750), 50 * time.Millisecond, true},
		{"already there", Requirement{OwnWrites{}, pos(1, 50)}, behind, at(9_000), 0, true},
		{"too old for the class", Requirement{MaxAge{200 * time.Millisecond}, pos(1, 60)}, behind, at(9_750), 0, false},
		{"young enough for the class", Requirement{MaxAge{time.Second}, pos(1, 60)}, behind, at(9_750), 50 * time.Millisecond, true},
		{"lag unknown", Requirement{OwnWrites{}, pos(1, 60)}, Replica{}, at(9_750), 0, false},
		{"latest", Requirement{Latest{}, pos(1, 1)}, behind, at(9_750), 0, false},
	} {
		if got, ok := c.need.EstimateWait(c.replica, c.reached, now); got != c.want || ok != c.ok {
			t.Errorf("%s: Wait = %s, %v; want %s, %v", c.name, got, ok, c.want, c.ok)
		}
	}
}

func TestPositionHistoryReachedAt(t *testing.T) {
	var a PositionHistory
	for i := range 5 {
		a.Observe(at(100*i), pos(1, 10*i))
	}
	if got := a.ReachedAt(pos(1, 15)); !got.Equal(at(200)) {
		t.Errorf("Reached = %v, want the first sample at or beyond", got)
	}
	if !a.ReachedAt(pos(1, 99)).IsZero() {
		t.Error("a position that was not seen was reached")
	}
}

func TestSessionMarks(t *testing.T) {
	var m SessionMarks
	m.Raise("a", pos(1, 50))
	m.Raise("a", pos(1, 40))
	m.Raise("b", pos(2, 1))
	if got := m.Get("a"); got != pos(1, 50) {
		t.Errorf("a mark fell to %v", got)
	}
	m.Prune(pos(1, 60))
	if m.Len() != 1 || m.Get("a") != (group.Position{}) || m.Get("b") != pos(2, 1) {
		t.Errorf("after Forget: %d marks, a %v, b %v", m.Len(), m.Get("a"), m.Get("b"))
	}
}
