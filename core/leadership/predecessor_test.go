package leadership

import (
	"slices"
	"testing"
	"time"

	"pearlatch/core/group"
)

// Guards against a lease that is granted while a promotion of an earlier coordinator may still take effect, and against
// callers that wait for a lease although no such promotion can exist.
func TestPredecessorSettles(t *testing.T) {
	start := time.Unix(100, 0)
	raised := start.Add(400 * time.Millisecond)
	for _, c := range []struct {
		name  string
		p     Predecessor
		want  time.Time
		known bool
	}{
		{"token not raised", Predecessor{ProcessStarted: start, AcquiredAt: start}, time.Time{}, false},
		{"token not raised, members asked", Predecessor{NothingPending: true}, time.Time{}, false},
		{"token raised", Predecessor{TokenRaisedAt: raised}, raised.Add(PromotionDelay), true},
		{"token raised, members asked", Predecessor{TokenRaisedAt: raised, NothingPending: true}, raised, true},
		// The earlier process may have ended before the platform saw its token, while the coordinator before it still requested
		// promotions.
		{"earlier process of this host", Predecessor{SameHost: true, ProcessStarted: start, TokenRaisedAt: raised}, raised.Add(PromotionDelay), true},
		{"earlier process of this host, members asked", Predecessor{SameHost: true, ProcessStarted: start, TokenRaisedAt: raised, NothingPending: true}, raised, true},
		{"earlier process of this host, token not raised", Predecessor{SameHost: true, ProcessStarted: start}, time.Time{}, false},
		{"role handed back", Predecessor{HandedBack: true}, time.Time{}.Add(PromotionDelay), true},
	} {
		if got, known := c.p.SettledAt(); !got.Equal(c.want) || known != c.known {
			t.Errorf("%s: settled at %v, %t; want %v, %t", c.name, got, known, c.want, c.known)
		}
	}
}

// Guards against a failover while a host still holds a lease of an earlier coordinator. last is the latest end of such a
// lease.
func TestPredecessorLeasesEnd(t *testing.T) {
	start := time.Unix(100, 0)
	acquired := start.Add(400 * time.Millisecond)
	for _, c := range []struct {
		name string
		p    Predecessor
		last time.Time
	}{
		// A lost its role to B unnoticed and renewed it just before; B's process ended at once and was started again.
		{"earlier process of this host", Predecessor{SameHost: true, ProcessStarted: start, AcquiredAt: acquired}, start.Add(RoleValidity)},
		{"other host", Predecessor{ProcessStarted: start, AcquiredAt: acquired}, acquired.Add(RoleValidity)},
		// Granted just before the role was handed back.
		{"role handed back", Predecessor{HandedBack: true, ProcessStarted: start, AcquiredAt: acquired}, acquired.Add(LeaseDuration)},
	} {
		if got := c.p.LeasesEnd(); got.Before(c.last) {
			t.Errorf("%s: leases are taken for ended %s too early", c.name, c.last.Sub(got))
		}
	}
}

// A promotion that was requested without a record, because the store did not answer, shows only in the fences of the
// replicas. Each case but the first leaves room for one, so that a lease on the old primary could be followed by stale
// reads.
func TestNoPromotionPending(t *testing.T) {
	runs := []MemberRun{{"a", 5}, {"b", 5}, {"c", 5}}
	record := Record{Holder: "h", Term: 3, Members: runs, Floor: group.Position{Term: 3, LSN: 9}}
	replicas := []ProbeResult{{Member: "b", Answered: true, Term: 3, Received: record.Floor}, {Member: "c", Answered: true, Term: 3, Received: record.Floor}}
	for _, c := range []struct {
		name   string
		change func(r *Record, current *[]MemberRun, results []ProbeResult)
		want   bool
	}{
		{"no fence", func(*Record, *[]MemberRun, []ProbeResult) {}, true},
		{"a fence of a switchover", func(_ *Record, _ *[]MemberRun, r []ProbeResult) { r[1].FenceTerm = 4 }, false},
		{"a replica does not answer", func(_ *Record, _ *[]MemberRun, r []ProbeResult) { r[0] = ProbeResult{Member: "b"} }, false},
		{"a replica has ended", func(_ *Record, _ *[]MemberRun, r []ProbeResult) { r[0] = ProbeResult{Member: "b", ProcessEnded: true} }, false},
		{"a replica leads", func(_ *Record, _ *[]MemberRun, r []ProbeResult) { r[0].Leads, r[0].Term = true, 4 }, false},
		{"a recorded promotion", func(r *Record, _ *[]MemberRun, _ []ProbeResult) { r.PendingPromotion = "b" }, false},
		{"a later recorded term", func(r *Record, _ *[]MemberRun, _ []ProbeResult) { r.Term = 4 }, false},
		{"a replica has restarted", func(_ *Record, m *[]MemberRun, _ []ProbeResult) { (*m)[1].Incarnation++ }, false},
		{"a replica is no longer listed", func(_ *Record, m *[]MemberRun, _ []ProbeResult) { *m = (*m)[:2] }, false},
		{"a replica has lost its log", func(_ *Record, _ *[]MemberRun, r []ProbeResult) { r[1].Received.LSN = 8 }, false},
		{"restarts are not reported", func(r *Record, m *[]MemberRun, _ []ProbeResult) {
			(*m)[2].Incarnation, r.Members[2].Incarnation = 0, 0
		}, false},
		{"a switchover fences nobody in a group of two", func(r *Record, m *[]MemberRun, _ []ProbeResult) {
			*m, r.Members = (*m)[:2], r.Members[:2]
		}, false},
	} {
		r, current, results := record, slices.Clone(runs), slices.Clone(replicas)
		r.Members = slices.Clone(runs)
		c.change(&r, &current, results)
		if got := NoPromotionPending(r, false, current, "a", 3, results); got != c.want {
			t.Errorf("%s: %t, want %t", c.name, got, c.want)
		}
		if got, want := NoPromotionPending(r, true, current, "a", 3, results), c.want || c.name == "restarts are not reported"; got != want {
			t.Errorf("%s, the earlier process has ended: %t, want %t", c.name, got, want)
		}
	}
}
