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
		{"role ends first", 0, GrantLimits{LastAnsweredRequest: timeAt(0), RoleUntil: timeAt(400)}, 400 * time.Millisecond},
		{"shorter than minLease", 950, GrantLimits{LastAnsweredRequest: timeAt(0), RoleUntil: timeAt(5000)}, 0},
		{"role has ended", 500, GrantLimits{LastAnsweredRequest: timeAt(500), RoleUntil: timeAt(400)}, 0},
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

// The host counts a lease from its request, and the coordinator from the arrival of the request. The lease ends on
// the host first, so no promotion can happen while the host still relies on the lease.
func TestLeaseEndsAtHostFirst(t *testing.T) {
	var g Grants
	granted := g.Grant("h", timeAt(40), GrantLimits{LastAnsweredRequest: timeAt(40), RoleUntil: timeAt(5000)})
	l := Lease{}.Extend(newLease("m", 1, 0, granted))
	if !g.LastEnd().After(l.Until) {
		t.Errorf("the coordinator waits until %v, but the host relies on the lease until %v", g.LastEnd(), l.Until)
	}
}

// In a switchover, the host keeps its lease under which only the target may be promoted. Its reads need another proof, its
// writes the target's receipt, and a failover by another coordinator must wait for this lease too.
func TestRestrictedLease(t *testing.T) {
	var g Grants
	limits := GrantLimits{LastAnsweredRequest: timeAt(0), RoleUntil: timeAt(5000)}
	g.Grant("h", timeAt(0), limits)
	g.Restrict("h", "b")
	if len(g.Unrestricted(timeAt(500), "b")) > 0 || len(g.Outstanding(timeAt(500))) != 1 {
		t.Errorf("unrestricted %v, outstanding %v", g.Unrestricted(timeAt(500), "b"), g.Outstanding(timeAt(500)))
	}
	limits.LastAnsweredRequest, limits.Target = timeAt(500), "b"
	g.Grant("h", timeAt(500), limits)
	if len(g.Unrestricted(timeAt(600), "b")) > 0 || len(g.Outstanding(timeAt(1400))) != 1 {
		t.Errorf("unrestricted %v, outstanding %v", g.Unrestricted(timeAt(600), "b"), g.Outstanding(timeAt(1400)))
	}
	if len(g.Unrestricted(timeAt(600), "c")) != 1 {
		t.Error("a lease that names another target counts as restricted")
	}
	limits.Target = ""
	g.Grant("h", timeAt(600), limits)
	if len(g.Unrestricted(timeAt(700), "b")) != 1 {
		t.Error("a full lease that was granted later counts as restricted")
	}
	l := newLease("m", 1, 0, time.Second).Restricted("b")
	if l.CoversReads("m", timeAt(500)) {
		t.Errorf("%+v", l)
	}
	if full := l.Extend(newLease("m", 1, 300, time.Second)); !full.CoversReads("m", timeAt(400)) || full.CoversReads("m", timeAt(200)) {
		t.Errorf("full lease after a restricted one: %+v", full)
	}
	if other := l.Extend(newLease("m", 1, 300, time.Second).Restricted("c")); other.WriteProof("m", 1, timeAt(200), timeAt(200)) != (ProvenByAll{}) {
		t.Errorf("a lease that names another target continues the one before: %+v", other)
	}
}

func TestWriteProof(t *testing.T) {
	full, restricted := newLease("m", 1, 0, time.Second), newLease("m", 1, 0, time.Second).Restricted("b")
	for _, c := range []struct {
		name              string
		lease             Lease
		member            string
		term              group.Term
		acknowledged, now int
		want              WriteProof
	}{
		{"full lease", full, "m", 1, 500, 500, ProvenByLease{}},
		{"full lease that ended meanwhile", full, "m", 1, 500, 1500, ProvenByLease{}},
		{"full lease granted after the acknowledgement", newLease("m", 1, 600, time.Second), "m", 1, 500, 700, ProvenByLease{}},
		{"restricted lease", restricted, "m", 1, 500, 500, ProvenByTarget{"b"}},
		{"restricted lease granted after the acknowledgement", newLease("m", 1, 600, time.Second).Restricted("b"), "m", 1, 500, 700, ProvenByAll{}},
		{"lease restricted to the primary itself", full.Restricted("m"), "m", 1, 500, 500, ProvenByLease{}},
		{"restricted lease that had ended", restricted, "m", 1, 1000, 1000, ProvenByAll{}},
		{"lease in another term", full, "m", 2, 500, 500, ProvenByAll{}},
		{"lease on another member", full, "n", 1, 500, 500, ProvenByAll{}},
		{"no lease", Lease{}, "", 0, 500, 500, ProvenByAll{}},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := c.lease.WriteProof(c.member, c.term, timeAt(c.acknowledged), timeAt(c.now)); got != c.want {
				t.Errorf("%#v, want %#v", got, c.want)
			}
		})
	}
}

func TestConfirmByTarget(t *testing.T) {
	at := func(term group.Term, lsn group.LSN) group.Position { return group.Position{Term: term, LSN: lsn} }
	for _, c := range []struct {
		name   string
		target ProbeResult
		want   Confirmation
	}{
		{"has the write", ProbeResult{Answered: true, Term: 1, Received: at(1, 7)}, Confirmed},
		{"is behind", ProbeResult{Answered: true, Term: 1, Received: at(1, 6)}, Unconfirmed},
		{"does not answer", ProbeResult{Term: 1, Received: at(1, 7)}, Unconfirmed},
		{"leads with the write", ProbeResult{Answered: true, Leads: true, Term: 2, Received: at(1, 7)}, Confirmed},
		{"leads without the write", ProbeResult{Answered: true, Leads: true, Term: 2, Received: at(1, 6)}, Unconfirmable},
		{"leads and has written", ProbeResult{Answered: true, Leads: true, Term: 2, Received: at(2, 9)}, Unconfirmable},
		{"follows another primary", ProbeResult{Answered: true, Term: 2, Received: at(1, 7)}, Unconfirmable},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := ConfirmByTarget(at(1, 7), c.target); got != c.want {
				t.Errorf("%v, want %v", got, c.want)
			}
		})
	}
}

func TestConfirmByAll(t *testing.T) {
	written := group.Position{Term: 1, LSN: 7}
	follower := func(id string) ProbeResult {
		return ProbeResult{Member: id, Answered: true, Term: 1, Received: written}
	}
	follows, behind, fenced, formerlyFenced := follower("b"), follower("c"), follower("c"), follower("c")
	behind.Received.LSN, fenced.FenceTerm, formerlyFenced.FenceTerm = 6, 2, 1
	for _, c := range []struct {
		name    string
		answers []ProbeResult
		want    Confirmation
	}{
		{"both follow", []ProbeResult{follows, follower("c")}, Confirmed},
		{"one lacks the write", []ProbeResult{follows, behind}, Unconfirmed},
		{"one does not answer", []ProbeResult{follows, {Member: "c"}}, Unconfirmed},
		{"one has ended", []ProbeResult{follows, {Member: "c", ProcessEnded: true}}, Unconfirmed},
		{"both have ended", []ProbeResult{{Member: "b", ProcessEnded: true}, {Member: "c", ProcessEnded: true}}, Unconfirmed},
		{"one is fenced", []ProbeResult{follows, fenced}, Unconfirmed},
		{"one was fenced in an earlier term", []ProbeResult{follows, formerlyFenced}, Confirmed},
		{"one leads", []ProbeResult{follows, {Member: "c", Answered: true, Leads: true, Term: 2}}, Unconfirmable},
		{"one knows a later term", []ProbeResult{follows, {Member: "c", Answered: true, Term: 2, Received: written}}, Unconfirmable},
		{"only the primary answers", []ProbeResult{{Member: "a", Answered: true, Leads: true, Term: 1}}, Unconfirmed},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := ConfirmByAll("a", written, []string{"a", "b", "c"}, c.answers); got != c.want {
				t.Errorf("%v, want %v", got, c.want)
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
