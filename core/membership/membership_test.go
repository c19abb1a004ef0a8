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
		t.Errorf("%d groups moved although the lost host did not own them", moved)
	}
	if owned < 80 || owned > 170 {
		t.Errorf("the lost host of 8 owned %d of 1000 groups, want about 125", owned)
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
			t.Fatalf("leaving host is not last: %v", r)
		}
	}
}

// Every host must be a neighbour of some other host for any hash values, or its
// death would not be detected.
func TestEveryHostIsANeighbour(t *testing.T) {
	for _, n := range []int{2, 3, 8, 50, 300} {
		hosts := testHosts(n)
		probed := map[string]int{}
		for _, h := range hosts {
			neighbours := selectNeighbours(h, hosts)
			if len(neighbours) != min(n-1, ringSuccessors+randomNeighbours) {
				t.Fatalf("%d hosts: %d neighbours", n, len(neighbours))
			}
			for _, other := range neighbours {
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

// A slow host is suspected, receives the suspicion and refutes it. Other hosts must not
// take over its groups.
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
			t.Error("the host is dead although it refuted the suspicion")
		}
	})
}

// A host that does not answer or refute is live until the suspicion times out, and then
// dead. A delayed status or host list does not make it alive again, but a message from
// the host itself does.
func TestUnrefutedSuspicionMarksHostDead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		changes := 0
		table := NewTable(Host{ID: "self"}, DefaultTiming(), func() { changes++ })
		table.MergeHostList([]Host{{ID: "gone"}}, time.Now())
		table.MarkSuspect("gone", time.Now())
		table.Tick(time.Now())
		if len(table.Live()) != 2 {
			t.Fatal("the suspect host is not live")
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
			t.Error("the host is dead although it sent a message")
		}
	})
}

// A host restarts with its old ID and a higher incarnation. A status of the old
// incarnation must not mark it dead.
func TestRestartedHostOverridesOldStatus(t *testing.T) {
	now := time.Now()
	table := NewTable(Host{ID: "self"}, DefaultTiming(), nil)
	table.MarkAlive(Host{ID: "b", Incarnation: 10}, now)
	table.MarkDead("b", now)
	table.MarkAlive(Host{ID: "b", Incarnation: 20}, now)
	table.Merge([]Status{{Host: Host{ID: "b", Incarnation: 10}, State: Dead}}, now)
	if _, live := table.Lookup("b"); !live {
		t.Error("a status of the old incarnation marked the restarted host dead")
	}
}

func TestProbeRoundCoversAllNeighbours(t *testing.T) {
	table := NewTable(Host{ID: "host-0"}, DefaultTiming(), nil)
	table.MergeHostList(testHosts(50), time.Now())
	probed := map[string]bool{}
	for range ringSuccessors + randomNeighbours {
		h, ok := table.NextProbe(func(int, func(i, j int)) {})
		if !ok {
			t.Fatal("no host to probe")
		}
		probed[h.ID] = true
	}
	if len(probed) != ringSuccessors+randomNeighbours {
		t.Errorf("a round probed %d hosts, want all neighbours", len(probed))
	}
}

// Guards against a host that owns groups although the platform lists it as leaving: it ranked itself by a cached list.
func TestListedAsLeavingChangesOwnRank(t *testing.T) {
	changes := 0
	table := NewTable(Host{ID: "self"}, DefaultTiming(), func() { changes++ })
	table.Live()
	table.MergeHostList([]Host{{ID: "self", Leaving: true}}, time.Now())
	if live := table.Live(); len(live) != 1 || !live[0].Leaving || changes != 1 {
		t.Errorf("live hosts %+v after %d changes, want one that leaves after 1", live, changes)
	}
}
