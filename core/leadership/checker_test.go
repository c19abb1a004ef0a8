package leadership

import (
	"flag"
	"strings"
	"testing"
)

// violation is a way to a broken promise.
type violation struct {
	invariant string
	trace     []string
}

// predecessor says how a state was reached.
type predecessor struct {
	state  modelState
	action string
}

// explore looks at all states within the bounds breadth first, so that a counter-example is a
// shortest one. It returns the first, or nil, and the number of states.
func explore(safe safeguards, b faultBounds) (*violation, int) {
	first := newModelState(b)
	seen := map[modelState]predecessor{first: {}}
	e := &explorer{safeguards: safe}
	for queue := []modelState{first}; len(queue) > 0; queue = queue[1:] {
		w := queue[0]
		for _, s := range e.next(w) {
			if s.violation != "" {
				return &violation{s.violation, append(traceTo(seen, w, first), s.action)}, len(seen)
			}
			if _, ok := seen[s.next]; ok {
				continue
			}
			seen[s.next] = predecessor{w, s.action}
			queue = append(queue, s.next)
		}
	}
	return nil, len(seen)
}

func traceTo(seen map[modelState]predecessor, w, first modelState) []string {
	var out []string
	for w != first {
		a := seen[w]
		out = append([]string{a.action}, out...)
		w = a.state
	}
	return out
}

// allFaults lifts the bounds of the protocol's test: faults together, which takes minutes.
var allFaults = flag.Bool("all", false, "explore partitions, ends and lapses together")

// A member crashes and starts again with or without its log, a partition parts the primary
// and a host, the duty changes hands, orders are carried out late, in any order. No read may
// miss an acknowledged write, and no promoted member may lack one.
func TestProtocolInvariants(t *testing.T) {
	worlds := []faultBounds{{1, 0, 0, 0, 0}, {0, 1, 0, 0, 0}, {0, 0, 1, 0, 0}, {0, 0, 0, 1, 0}, {0, 0, 0, 0, 1}}
	if *allFaults {
		worlds = []faultBounds{{1, 1, 1, 0, 0}, {2, 1, 0, 0, 0}, {1, 0, 0, 1, 0}, {1, 0, 0, 0, 1}, {0, 1, 0, 0, 1}}
	}
	for _, b := range worlds {
		f, n := explore(allSafeguards(), b)
		if f != nil {
			t.Fatalf("%+v: %s, after:\n%s", b, f.invariant, strings.Join(f.trace, "\n"))
		}
		t.Logf("%+v: %d states", b, n)
	}
}

// Each safeguard is needed: without it the checker finds a way to a broken promise.
func TestCheckerDetectsMissingSafeguard(t *testing.T) {
	for _, c := range []struct {
		name   string
		bounds faultBounds
		leave  func(*safeguards)
	}{
		{"leases are awaited", faultBounds{1, 0, 0, 0, 0}, func(s *safeguards) { s.waitForLeases = false }},
		{"leases end with the duty", faultBounds{1, 0, 1, 0, 0}, func(s *safeguards) { s.boundByDuty = false }},
		{"replicas are fenced", faultBounds{0, 0, 0, 0, 0}, func(s *safeguards) { s.fenceReplicas = false }},
		{"fenced replicas are asked again", faultBounds{0, 1, 0, 0, 0}, func(s *safeguards) { s.recheckReplicas = false }},
		{"a successor holds the floor", faultBounds{0, 1, 0, 0, 0}, func(s *safeguards) { s.requireFloor = false }},
		{"births are told apart", faultBounds{0, 1, 0, 0, 0}, func(s *safeguards) { s.detectRestarts = false }},
		{"orders are recorded", faultBounds{1, 0, 1, 0, 0}, func(s *safeguards) { s.recordOrder = false }},
		{"writes without a lease are confirmed", faultBounds{1, 0, 0, 0, 0}, func(s *safeguards) { s.confirmWrites = false }},
		{"an ousted holder is outwaited", faultBounds{1, 0, 0, 1, 0}, func(s *safeguards) { s.waitForFormerHolder = false }},
		{"records are remembered when the store comes back", faultBounds{1, 0, 0, 0, 1}, func(s *safeguards) { s.rememberRecord = false }},
		{"a holder that the store forgot is outwaited", faultBounds{1, 0, 0, 0, 1}, func(s *safeguards) { s.waitForFormerHolder = false }},
		{"all others prove the primary", faultBounds{2, 1, 0, 0, 0}, func(s *safeguards) { s.proveByAll = false }},
	} {
		t.Run(c.name, func(t *testing.T) {
			safe := allSafeguards()
			c.leave(&safe)
			f, n := explore(safe, c.bounds)
			if f == nil {
				t.Fatalf("nothing found in %d states", n)
			}
			t.Logf("%d states: %s, after %s", n, f.invariant, strings.Join(f.trace, ", "))
		})
	}
}
