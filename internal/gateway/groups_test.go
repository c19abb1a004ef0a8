package gateway

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pearlatch/core/account"
	"pearlatch/core/kv"
	"pearlatch/core/membership"
	"pearlatch/internal/fleet"
	"pearlatch/internal/follow"
)

// A host kept a Group, two goroutines and a look ten times a second for each group of the configuration, and worked out
// anew who serves each of them whenever a host joined: with hosts and groups both doubled, each host had twice the work.
// It keeps those that concern it, however many there are.
func TestHostKeepsTheGroupsThatConcernIt(t *testing.T) {
	for _, n := range []int{150, 300, 600} {
		h, join := wideHost(n, n)
		if err := h.apply(join("new", 1)); err != nil {
			t.Fatal(err)
		}
		if kept := len(h.allGroups()); kept == 0 || kept > 60 {
			t.Errorf("a host of %d before %d groups keeps %d", n, n, kept)
		}
	}
}

// A host's entry tells its strength, and hosts of the version before, which read one word after the address, must still
// read that it leaves.
func TestEntriesTellTheStrength(t *testing.T) {
	for _, h := range []membership.Host{
		{ID: "h", Zone: "z", Peer: addrOf(1), Strength: 0.192},
		{ID: "h", Zone: "z", Peer: addrOf(1), Leaving: true},
		{ID: "h", Zone: "z", Peer: addrOf(1)},
	} {
		if got := fleet.ParseEntry("h", fleet.Entry(h)); got != h {
			t.Errorf("%q is read as %+v, want %+v", fleet.Entry(h), got, h)
		}
	}
	leaves := membership.Host{ID: "h", Zone: "z", Peer: addrOf(1), Strength: 2, Leaving: true}
	if got := string(fleet.Entry(leaves)); got != "z 10.0.0.1:1 leaving" {
		t.Errorf("an entry that leaves is %q", got)
	}
	for _, odd := range []string{"z 10.0.0.1:1 cores=many", "z 10.0.0.1:1 cores=-1", "z 10.0.0.1:1 cores=NaN", "z 10.0.0.1:1 cores=1e9"} {
		if got := fleet.ParseEntry("h", []byte(odd)); got.Strength != 0 || !got.Peer.IsValid() {
			t.Errorf("%q is read as %+v", odd, got)
		}
	}
}

// A statement for any group is served, and its Group goes again once nothing depends on it.
func TestGroupComesAndGoesWithItsStatements(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, _ := wideHost(300, 300)
		far := ""
		for name := range h.config.Groups {
			if !h.concerns(name) {
				far = name
			}
		}
		if h.existing(far) != nil {
			t.Fatalf("%s is kept without need", far)
		}
		at, err := h.route(far, account.Caller{})
		if err != nil || at.group == nil || len(at.group.list()) != 3 || !at.group.elsewhere() {
			t.Fatalf("the route leads to %+v, %v", at, err)
		}
		h.look(t.Context(), at.group, func(func()) {})
		h.dropUnneeded()
		if h.existing(far) != at.group {
			t.Error("the group is dropped at once")
		}
		time.Sleep(groupMemory)
		h.dropUnneeded()
		if h.existing(far) != nil {
			t.Error("the group is kept though nothing needs it")
		}
	})
}

// A host that was the holder of a duty and starts again finds its name in the duty's entry, and takes the duty up though
// other hosts have better claims by now: nobody else may before the entry lapses.
func TestOwnDutyIsLookedAfter(t *testing.T) {
	h, _ := wideHost(300, 300)
	for i := range 300 {
		name := fmt.Sprint("group-", i)
		if h.existing(name) != nil {
			continue
		}
		entry := kv.Item{Key: h.dutyKey(name), Value: []byte(h.settings.Host), Revision: 2}
		if err := h.apply(follow.News{News: kv.News{Snapshot: kv.Snapshot{Revision: 2, Items: []kv.Item{entry}}}}); err != nil {
			t.Fatal(err)
		}
		if h.existing(name) == nil {
			t.Error("the group of the duty is not kept")
		}
		return
	}
}
