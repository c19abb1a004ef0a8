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
		{"heard just now", 0, GrantLimits{LastReply: timeAt(0), DutyUntil: timeAt(5000)}, LeaseDuration},
		{"heard a while ago", 300, GrantLimits{LastReply: timeAt(0), DutyUntil: timeAt(5000)}, LeaseDuration - 300*time.Millisecond},
		{"the duty ends first", 0, GrantLimits{LastReply: timeAt(0), DutyUntil: timeAt(400)}, 400 * time.Millisecond},
		{"too short to be of use", 950, GrantLimits{LastReply: timeAt(0), DutyUntil: timeAt(5000)}, 0},
		{"the duty has ended", 500, GrantLimits{LastReply: timeAt(500), DutyUntil: timeAt(400)}, 0},
		{"a primary heard of after the question came", 0, GrantLimits{LastReply: timeAt(200), DutyUntil: timeAt(5000)}, LeaseDuration},
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
	g.Grant("a", timeAt(0), GrantLimits{LastReply: timeAt(0), DutyUntil: timeAt(5000)})
	g.Grant("b", timeAt(500), GrantLimits{LastReply: timeAt(500), DutyUntil: timeAt(5000)})
	g.Grant("a", timeAt(100), GrantLimits{LastReply: timeAt(-700), DutyUntil: timeAt(5000)}) // a shorter one does not end the longer
	if got := g.Outstanding(timeAt(900)); !slices.Equal(got, []string{"a", "b"}) {
		t.Errorf("%v", got)
	}
	if got := g.Outstanding(timeAt(1100)); !slices.Equal(got, []string{"b"}) {
		t.Errorf("%v", got)
	}
	g.Release("b")
	if got := g.Outstanding(timeAt(1100)); len(got) > 0 || !g.LastEnd().IsZero() {
		t.Errorf("%v until %v", got, g.LastEnd())
	}
}

// The host counts a lease from when it asked, the holder from when it was asked: the host's
// ends first, so no promotion can come while the host still counts on it.
func TestLeaseEndsAtHostFirst(t *testing.T) {
	var g Grants
	granted := g.Grant("h", timeAt(40), GrantLimits{LastReply: timeAt(40), DutyUntil: timeAt(5000)})
	l := Lease{}.Extend(newLease("m", 1, 0, granted))
	if !g.LastEnd().After(l.Until) {
		t.Errorf("the holder waits until %v, the host counts on it until %v", g.LastEnd(), l.Until)
	}
}

// In a planned change the host keeps its lease for writes. What it reads must be proven
// otherwise, and another holder's unplanned change must wait for it as well.
func TestDowngradedLease(t *testing.T) {
	var g Grants
	g.Grant("h", timeAt(0), GrantLimits{LastReply: timeAt(0), DutyUntil: timeAt(5000)})
	g.Downgrade("h")
	if len(g.OutstandingFull(timeAt(500))) > 0 || len(g.Outstanding(timeAt(500))) != 1 {
		t.Errorf("reading %v, outstanding %v", g.OutstandingFull(timeAt(500)), g.Outstanding(timeAt(500)))
	}
	g.Grant("h", timeAt(500), GrantLimits{LastReply: timeAt(500), DutyUntil: timeAt(5000), InSwitchover: true})
	if len(g.OutstandingFull(timeAt(600))) > 0 || len(g.Outstanding(timeAt(1400))) != 1 {
		t.Errorf("reading %v, outstanding %v", g.OutstandingFull(timeAt(600)), g.Outstanding(timeAt(1400)))
	}
	l := newLease("m", 1, 0, time.Second).Downgraded()
	if l.CoversReads("m", timeAt(500)) || !l.CoversWrites("m", timeAt(500)) || l.CoversWrites("m", timeAt(1000)) {
		t.Errorf("%+v", l)
	}
	if full := l.Extend(newLease("m", 1, 300, time.Second)); !full.CoversReads("m", timeAt(400)) || full.CoversReads("m", timeAt(200)) {
		t.Errorf("a full lease after a handed one: %+v", full)
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
		{"one is silent", []ProbeResult{follows, {Member: "c"}}, false},
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
	row := l.Extend(newLease("m", 1, 300, time.Second))
	if !row.CoversReads("m", timeAt(100)) || !row.CoversReads("m", timeAt(1200)) || row.CoversReads("m", timeAt(1300)) {
		t.Errorf("an unbroken row: %+v", row)
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
		t.Error("the zero lease covers something")
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
		{"one is silent", members, []ProbeResult{follows("b", 1), {Member: "c"}}, false},
		{"one has ended", members, []ProbeResult{follows("b", 1), {Member: "c", ProcessEnded: true}}, true},
		{"one was not asked", members, []ProbeResult{follows("b", 1)}, false},
		{"one has heard of a later term", members, []ProbeResult{follows("b", 2), follows("c", 1)}, false},
		{"one leads", members, []ProbeResult{follows("b", 1), leads}, false},
		{"nobody else is listed", members[:1], nil, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := PrimaryConfirmed("a", 1, c.members, c.answers); got != c.want {
				t.Errorf("%v", got)
			}
		})
	}
}

func TestRecordFloorValidFor(t *testing.T) {
	r := Record{Members: []Incarnation{{"a", 1}, {"b", 1}}, Floor: group.Position{Term: 1, LSN: 7}}
	for _, c := range []struct {
		name string
		now  []Incarnation
		want bool
	}{
		{"the same members", []Incarnation{{"b", 1}, {"a", 1}}, true},
		{"one has joined", []Incarnation{{"a", 1}, {"b", 1}, {"c", 1}}, true},
		{"one has left", []Incarnation{{"a", 1}}, false},
		{"one has started again", []Incarnation{{"a", 1}, {"b", 2}}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := r.FloorValidFor(c.now); got != c.want {
				t.Errorf("%v", got)
			}
		})
	}
	if (Record{Members: r.Members}).FloorValidFor(r.Members) {
		t.Error("a record without a floor covers")
	}
}
