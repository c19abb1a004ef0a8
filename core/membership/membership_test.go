package membership

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

func testHosts(n int) []Host {
	out := make([]Host, n)
	for i := range out {
		out[i] = Host{ID: fmt.Sprintf("host-%d", i), Zone: fmt.Sprintf("zone-%d", i%3)}
	}
	return out
}

func TestRankMovesOnlyTheLostHostsGroups(t *testing.T) {
	hosts := testHosts(8)
	moved, owned := 0, 0
	for i := range 1000 {
		g := fmt.Sprintf("group-%d", i)
		before, after := Rank(g, hosts)[0], Rank(g, hosts[1:])[0]
		if before.ID == hosts[0].ID {
			owned++
		} else if before != after {
			moved++
		}
	}
	if moved > 0 {
		t.Errorf("%d groups moved that the lost host did not own", moved)
	}
	if owned < 80 || owned > 170 {
		t.Errorf("one of 8 hosts owned %d of 1000 groups", owned)
	}
}

func TestRankSpreadsZonesAndPutsLeavingLast(t *testing.T) {
	hosts := testHosts(9)
	hosts[4].Leaving = true
	for i := range 100 {
		r := Rank(fmt.Sprintf("group-%d", i), hosts)
		if r[0].Zone == r[1].Zone || r[1].Zone == r[2].Zone || r[0].Zone == r[2].Zone {
			t.Fatalf("first three hosts share a zone: %v", r[:3])
		}
		if !r[8].Leaving {
			t.Fatalf("the leaving host is not last: %v", r)
		}
	}
}

// Some host must probe every other one, however the hashes fall, or its death
// would go unnoticed.
func TestEveryHostIsANeighbour(t *testing.T) {
	for _, n := range []int{2, 3, 8, 50, 300} {
		hosts := testHosts(n)
		probed := map[string]int{}
		for _, h := range hosts {
			near := selectNeighbours(h, hosts)
			if len(near) != min(n-1, ringSuccessors+randomNeighbours) {
				t.Fatalf("%d hosts: %d neighbours", n, len(near))
			}
			for _, other := range near {
				if other.ID == h.ID {
					t.Fatalf("%s is its own neighbour", h.ID)
				}
				probed[other.ID]++
			}
		}
		if len(probed) != n {
			t.Errorf("%d of %d hosts are probed", len(probed), n)
		}
	}
}

// A host is slow once. It is suspected, hears of that, and refutes: nobody must
// take its groups.
func TestRefutationEndsSuspicion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		slow := NewTable(Host{ID: "slow"}, DefaultTiming(), nil)
		other := NewTable(Host{ID: "other"}, DefaultTiming(), nil)
		other.MergeHostList([]Host{{ID: "slow"}}, time.Now())
		other.MarkSuspect("slow", time.Now())
		time.Sleep(DefaultTiming().SuspicionTimeout / 2)
		slow.Merge(other.Gossip(), time.Now())
		other.Merge(slow.Gossip(), time.Now())
		time.Sleep(DefaultTiming().SuspicionTimeout)
		other.Tick(time.Now())
		if _, live := other.Lookup("slow"); !live {
			t.Error("a host that refuted is dead")
		}
	})
}

// A host is silent and never refutes. It counts until the suspicion has lasted,
// then it is dead, and a late claim of its life does not bring it back.
func TestUnrefutedSuspicionMarksHostDead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		changes := 0
		table := NewTable(Host{ID: "self"}, DefaultTiming(), func() { changes++ })
		table.MergeHostList([]Host{{ID: "gone"}}, time.Now())
		table.MarkSuspect("gone", time.Now())
		table.Tick(time.Now())
		if len(table.Live()) != 2 {
			t.Fatal("a suspect host is not live")
		}
		time.Sleep(DefaultTiming().SuspicionTimeout)
		table.Tick(time.Now())
		table.Merge([]Status{{Host: Host{ID: "gone"}, State: Alive}}, time.Now())
		table.MergeHostList([]Host{{ID: "gone"}}, time.Now())
		if len(table.Live()) != 1 || changes != 2 {
			t.Errorf("%d hosts live after %d changes", len(table.Live()), changes)
		}
		table.MarkAlive(Host{ID: "gone", Incarnation: 7}, time.Now())
		if len(table.Live()) != 2 {
			t.Error("a host that speaks for itself is dead")
		}
	})
}

// A host restarts under its old name. What was said of its earlier life must not
// bury the new one.
func TestRestartedHostOverridesOldStatus(t *testing.T) {
	now := time.Now()
	table := NewTable(Host{ID: "self"}, DefaultTiming(), nil)
	table.MarkAlive(Host{ID: "b", Incarnation: 10}, now)
	table.MarkDead("b", now)
	table.MarkAlive(Host{ID: "b", Incarnation: 20}, now)
	table.Merge([]Status{{Host: Host{ID: "b", Incarnation: 10}, State: Dead}}, now)
	if _, live := table.Lookup("b"); !live {
		t.Error("an old claim buried a restarted host")
	}
}

func TestProbeRoundCoversAllNeighbours(t *testing.T) {
	table := NewTable(Host{ID: "host-0"}, DefaultTiming(), nil)
	table.MergeHostList(testHosts(50), time.Now())
	probed := map[string]bool{}
	for range ringSuccessors + randomNeighbours {
		h, ok := table.NextProbe(func(int, func(i, j int)) {})
		if !ok {
			t.Fatal("nobody to probe")
		}
		probed[h.ID] = true
	}
	if len(probed) != ringSuccessors+randomNeighbours {
		t.Errorf("a round probed %d hosts", len(probed))
	}
}
