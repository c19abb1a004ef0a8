package leadership

import (
	"slices"
	"testing"
	"time"

	"pearlatch/core/group"
)

func timeAt(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }

func newLease(member string, term group.Term, asked int, granted time.Duration) Lease {
	return Lease{Member: member, Term: term, From: timeAt(asked), Until: timeAt(asked).Add(granted)}
}

func TestGrant(t *testing.T) {
	for _, c := range []struct {
		name string
		now  int
		s    GrantLimits
		want time.Duration
	}{
		{"primary answered just now", 0, GrantLimits{LastAnsweredRequest: timeAt(0), RoleUntil: timeAt(5000)}, LeaseDuration},
		{"primary answered 300 ms ago", 300, GrantLimits{LastAnsweredRequest: timeAt(0), RoleUntil: timeAt(5000)}, LeaseDuration - 300*time.Millisecond},
		{"duty ends first", 0, GrantLimits{LastAnsweredRequest: timeAt(0), RoleUntil: timeAt(400)}, 400 * time.Millisecond},
		{"shorter than minLease", 950, GrantLimits{LastAnsweredRequest: timeAt(0), RoleUntil: timeAt(5000)}, 0},
		{"duty has ended", 500, GrantLimits{LastAnsweredRequest: timeAt(500), RoleUntil: timeAt(400)}, 0},
		{"primary answered after the request arrived", 0, GrantLimits{LastAnsweredRequest: timeAt(200), RoleUntil: timeAt(5000)}, LeaseDuration},
	} {
		t.Run(c.name, func(t *testing.T) {
			var g Grants
			if got := g.Grant("h", timeAt(c.now), c.s); got != c.want {
				t.Errorf("%s, want %s", got, c.want)
			}
			if open := len(g.Outstanding(timeAt(c.now))) == 1; open != (c.want > 0) {
				t.Errorf("outstanding: %v", open)
			}
		})
	}
}

func TestOutstanding(t *testing.T) {
	var g Grants
	g.Grant("a", timeAt(0), GrantLimits{LastAnsweredRequest: timeAt(0), RoleUntil: timeAt(5000)})
	g.Grant("b", timeAt(500), GrantLimits{LastAnsweredRequest: timeAt(500), RoleUntil: timeAt(5000)})
	g.Grant("a", timeAt(100), GrantLimits{LastAnsweredRequest: timeAt(-700), RoleUntil: timeAt(5000)}) // a shorter lease does not end a longer one
	if got := g.Outstanding(timeAt(900)); !slices.Equal(got, []string{"a", "b"}) {
		t.Errorf("%v", got)
	}
	if got := g.Outstanding(timeAt(1100)); !slices.Equal(got, []string{"b"}) {
		t.Errorf("%v", got)
	}
	g.Revoke("b")
	if got := g.Outstanding(timeAt(1100)); len(got) > 0 || !g.LastEnd().IsZero() {
		t.Errorf("%v until %v", got, g.LastEnd())
	}
}

// The host counts a lease from its request, and the holder from the arrival of the request. The lease ends on
// the host first, so no promotion can happen while the host still relies on the lease.
func TestLeaseEndsAtHostFirst(t *testing.T) {
	var g Grants
	granted := g.Grant("h", timeAt(40), GrantLimits{LastAnsweredRequest: timeAt(40), RoleUntil: timeAt(5000)})
	l := Lease{}.Extend(newLease("m", 1, 0, granted))
	if !g.LastEnd().After(l.Until) {
		t.Errorf("the holder waits until %v, but the host relies on the lease until %v", g.LastEnd(), l.Until)
	}
}

// In a planned change of primary, the host keeps its lease for writes. Its reads need another proof, and an
// unplanned change by another holder must wait for this lease too.
func TestDowngradedLease(t *testing.T) {
	var g Grants
	g.Grant("h", timeAt(0), GrantLimits{LastAnsweredRequest: timeAt(0), RoleUntil: timeAt(5000)})
	g.Downgrade("h")
	if len(g.OutstandingFull(timeAt(500))) > 0 || len(g.Outstanding(timeAt(500))) != 1 {
		t.Errorf("reading %v, outstanding %v", g.OutstandingFull(timeAt(500)), g.Outstanding(timeAt(500)))
	}
	g.Grant("h", timeAt(500), GrantLimits{LastAnsweredRequest: timeAt(500), RoleUntil: timeAt(5000), InSwitchover: true})
	if len(g.OutstandingFull(timeAt(600))) > 0 || len(g.Outstanding(timeAt(1400))) != 1 {
		t.Errorf("reading %v, outstanding %v", g.OutstandingFull(timeAt(600)), g.Outstanding(timeAt(1400)))
	}
	l := newLease("m", 1, 0, time.Second).Downgraded()
	if l.CoversReads("m", timeAt(500)) || !l.CoversWrites("m", timeAt(500)) || l.CoversWrites("m", timeAt(1000)) {
		t.Errorf("%+v", l)
	}
	if full := l.Extend(newLease("m", 1, 300, time.Second)); !full.CoversReads("m", timeAt(400)) || full.CoversReads("m", timeAt(200)) {
		t.Errorf("full lease after a downgraded one: %+v", full)
	}
}

func TestWriteConfirmed(t *testing.T) {
	follows := ProbeResult{Member: "b", Answered: true, Term: 1}
	for _, c := range []struct {
		name    string
		answers []ProbeResult
		want    bool
	}{
		{"both follow", []ProbeResult{follows, {Member: "c", Answered: true, Term: 1}}, true},
		{"one does not answer", []ProbeResult{follows, {Member: "c"}}, false},
		{"one has ended", []ProbeResult{follows, {Member: "c", ProcessEnded: true}}, false},
		{"both have ended", []ProbeResult{{Member: "b", ProcessEnded: true}, {Member: "c", ProcessEnded: true}}, false},
		{"one is fenced", []ProbeResult{follows, {Member: "c", Answered: true, Term: 1, FenceTerm: 2}}, false},
		{"one was fenced in an earlier term", []ProbeResult{follows, {Member: "c", Answered: true, Term: 1, FenceTerm: 1}}, true},
		{"one leads", []ProbeResult{follows, {Member: "c", Answered: true, Leads: true, Term: 2}}, false},
		{"only the primary answers", []ProbeResult{{Member: "a", Answered: true, Leads: true, Term: 1}}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := WriteConfirmed("a", 1, []string{"a", "b", "c"}, c.answers); got != c.want {
				t.Errorf("%v", got)
			}
		})
	}
}

func TestExtend(t *testing.T) {
	l := Lease{}.Extend(newLease("m", 1, 0, time.Second))
	sequence := l.Extend(newLease("m", 1, 300, time.Second))
	if !sequence.CoversReads("m", timeAt(100)) || !sequence.CoversReads("m", timeAt(1200)) || sequence.CoversReads("m", timeAt(1300)) {
		t.Errorf("unbroken sequence: %+v", sequence)
	}
	gap := l.Extend(newLease("m", 1, 1500, time.Second))
	if gap.CoversReads("m", timeAt(1200)) || gap.CoversReads("m", timeAt(500)) || !gap.CoversReads("m", timeAt(1500)) {
		t.Errorf("after a gap: %+v", gap)
	}
	next := l.Extend(newLease("n", 2, 300, time.Second))
	if next.CoversReads("m", timeAt(400)) || next.CoversReads("n", timeAt(200)) || !next.CoversReads("n", timeAt(400)) {
		t.Errorf("another primary: %+v", next)
	}
	if (Lease{}).CoversReads("", timeAt(0)) {
		t.Error("the zero lease covers reads")
	}
}

func TestPrimaryConfirmed(t *testing.T) {
	members := []string{"a", "b", "c"}
	follows := func(m string, term group.Term) ProbeResult { return ProbeResult{Member: m, Answered: true, Term: term} }
	leads := ProbeResult{Member: "c", Answered: true, Leads: true, Term: 1}
	for _, c := range []struct {
		name    string
		members []string
		answers []ProbeResult
		want    bool
	}{
		{"all others follow", members, []ProbeResult{follows("b", 1), follows("c", 1)}, true},
		{"one does not answer", members, []ProbeResult{follows("b", 1), {Member: "c"}}, false},
		{"one has ended", members, []ProbeResult{follows("b", 1), {Member: "c", ProcessEnded: true}}, true},
		{"one was not probed", members, []ProbeResult{follows("b", 1)}, false},
		{"one knows a later term", members, []ProbeResult{follows("b", 2), follows("c", 1)}, false},
		{"one leads", members, []ProbeResult{follows("b", 1), leads}, false},
		{"no other members", members[:1], nil, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := PrimaryConfirmed("a", 1, c.members, c.answers); got != c.want {
				t.Errorf("%v", got)
			}
		})
	}
}

func TestRecordFloorValidFor(t *testing.T) {
	r := Record{Members: []MemberRun{{"a", 1}, {"b", 1}}, Floor: group.Position{Term: 1, LSN: 7}}
	for _, c := range []struct {
		name string
		now  []MemberRun
		want bool
	}{
		{"the same members", []MemberRun{{"b", 1}, {"a", 1}}, true},
		{"one has joined", []MemberRun{{"a", 1}, {"b", 1}, {"c", 1}}, true},
		{"one has left", []MemberRun{{"a", 1}}, false},
		{"one has started again", []MemberRun{{"a", 1}, {"b", 2}}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := r.FloorValidFor(c.now); got != c.want {
				t.Errorf("%v", got)
			}
		})
	}
	if (Record{Members: r.Members}).FloorValidFor(r.Members) {
		t.Error("a record without a floor has a valid floor")
	}
}
