package leadership

import (
	"flag"
	"strings"
	"testing"
)

// found is a way to a broken promise.
type found struct {
	fault string
	way   []string
}

// arrival says how a state was reached.
type arrival struct {
	from world
	what string
}

// explore looks at all states within the bounds breadth first, so that a counter-example is a
// shortest one. It returns the first, or nil, and the number of states.
func explore(safe safeguards, b bounds) (*found, int) {
	first := newWorld(b)
	seen := map[world]arrival{first: {}}
	e := &explorer{safe: safe}
	for queue := []world{first}; len(queue) > 0; queue = queue[1:] {
		w := queue[0]
		for _, s := range e.next(w) {
			if s.fault != "" {
				return &found{s.fault, append(way(seen, w, first), s.what)}, len(seen)
			}
			if _, ok := seen[s.next]; ok {
				continue
			}
			seen[s.next] = arrival{w, s.what}
			queue = append(queue, s.next)
		}
	}
	return nil, len(seen)
}

func way(seen map[world]arrival, w, first world) []string {
	var out []string
	for w != first {
		a := seen[w]
		out = append([]string{a.what}, out...)
		w = a.from
	}
	return out
}

// all lifts the bounds of the protocol's test: faults together, which takes minutes.
var all = flag.Bool("all", false, "explore partitions, ends and lapses together")

// A member crashes and starts again with or without its log, a partition parts the primary
// and a host, the duty changes hands, orders are carried out late, in any order. No read may
// miss an acknowledged write, and no promoted member may lack one.
func TestProtocolKeepsItsPromises(t *testing.T) {
	worlds := []bounds{{1, 0, 0, 0, 0}, {0, 1, 0, 0, 0}, {0, 0, 1, 0, 0}, {0, 0, 0, 1, 0}, {0, 0, 0, 0, 1}}
	if *all {
		worlds = []bounds{{1, 1, 1, 0, 0}, {2, 1, 0, 0, 0}, {1, 0, 0, 1, 0}, {1, 0, 0, 0, 1}, {0, 1, 0, 0, 1}}
	}
	for _, b := range worlds {
		f, n := explore(allSafeguards(), b)
		if f != nil {
			t.Fatalf("%+v: %s, after:\n%s", b, f.fault, strings.Join(f.way, "\n"))
		}
		t.Logf("%+v: %d states", b, n)
	}
}

// Each safeguard is needed: without it the checker finds a way to a broken promise.
func TestCheckerMissesEachSafeguard(t *testing.T) {
	for _, c := range []struct {
		name   string
		bounds bounds
		leave  func(*safeguards)
	}{
		{"leases are awaited", bounds{1, 0, 0, 0, 0}, func(s *safeguards) { s.waitForLeases = false }},
		{"leases end with the duty", bounds{1, 0, 1, 0, 0}, func(s *safeguards) { s.boundByDuty = false }},
		{"replicas are fenced", bounds{0, 0, 0, 0, 0}, func(s *safeguards) { s.fence = false }},
		{"fenced replicas are asked again", bounds{0, 1, 0, 0, 0}, func(s *safeguards) { s.lookAgain = false }},
		{"a successor holds the floor", bounds{0, 1, 0, 0, 0}, func(s *safeguards) { s.floor = false }},
		{"births are told apart", bounds{0, 1, 0, 0, 0}, func(s *safeguards) { s.births = false }},
		{"orders are recorded", bounds{1, 0, 1, 0, 0}, func(s *safeguards) { s.recordOrder = false }},
		{"writes without a lease are confirmed", bounds{1, 0, 0, 0, 0}, func(s *safeguards) { s.confirm = false }},
		{"an ousted holder is outwaited", bounds{1, 0, 0, 1, 0}, func(s *safeguards) { s.outwait = false }},
		{"records are remembered when the store comes back", bounds{1, 0, 0, 0, 1}, func(s *safeguards) { s.remember = false }},
		{"a holder that the store forgot is outwaited", bounds{1, 0, 0, 0, 1}, func(s *safeguards) { s.outwait = false }},
		{"all others prove the primary", bounds{2, 1, 0, 0, 0}, func(s *safeguards) { s.proveByAll = false }},
	} {
		t.Run(c.name, func(t *testing.T) {
			safe := allSafeguards()
			c.leave(&safe)
			f, n := explore(safe, c.bounds)
			if f == nil {
				t.Fatalf("nothing found in %d states", n)
			}
			t.Logf("%d states: %s, after %s", n, f.fault, strings.Join(f.way, ", "))
		})
	}
}
