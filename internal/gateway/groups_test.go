package gateway

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pearlatch/core/account"
	"pearlatch/core/kv"
	"pearlatch/internal/follow"
)

// Guards against work that grows with all groups of the configuration. A host used to keep a Group,
// two goroutines and a check ten times a second for each of them, and to recompute which hosts serve
// each of them whenever a host joined: with twice the hosts and groups, each host had twice the work.
// It now keeps only the groups relevant to it, whose number is bounded.
func TestHostKeepsRelevantGroups(t *testing.T) {
	for _, n := range []int{150, 300, 600} {
		h, join := hostWithManyGroups(n, n)
		if err := h.applyChanges(join("new", 1)); err != nil {
			t.Fatal(err)
		}
		if kept := len(h.allGroups()); kept == 0 || kept > 60 {
			t.Errorf("a host in a fleet of %d with %d groups keeps %d", n, n, kept)
		}
	}
}

// A statement for a group that is not relevant to the host is served, and its Group is dropped once it
// is unused.
func TestGroupIsCreatedOnDemandAndDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, _ := hostWithManyGroups(300, 300)
		irrelevant := ""
		for name := range h.config.Groups {
			if !h.isRelevant(name) {
				irrelevant = name
			}
		}
		if h.existingGroup(irrelevant) != nil {
			t.Fatalf("%s is kept although it is not relevant", irrelevant)
		}
		target, err := h.route(irrelevant, account.Credentials{})
		if err != nil || target.group == nil || len(target.group.listMembers()) != 3 || !target.group.servedByOthers() {
			t.Fatalf("the statement is routed to %+v, %v", target, err)
		}
		h.ensureGroupStarted(t.Context(), target.group, func(func()) {})
		h.dropUnusedGroups()
		if h.existingGroup(irrelevant) != target.group {
			t.Error("the group is dropped before the retention ends")
		}
		time.Sleep(groupRetention)
		h.dropUnusedGroups()
		if h.existingGroup(irrelevant) != nil {
			t.Error("the group is kept although it is unused")
		}
	})
}

// Guards against a group without a coordinator after a restart. A restarted host that finds its own
// name in a group's coordinator entry must resume the role, even if other hosts now rank higher, since
// they can't acquire it before the entry lapses.
func TestHostKeepsGroupItCoordinates(t *testing.T) {
	h, _ := hostWithManyGroups(300, 300)
	for i := range 300 {
		name := fmt.Sprint("group-", i)
		if h.existingGroup(name) != nil {
			continue
		}
		entry := kv.Item{Key: h.coordinatorKey(name), Value: []byte(h.settings.Host), Revision: 2}
		if err := h.applyChanges(follow.StoreUpdate{Update: kv.Update{Snapshot: kv.Snapshot{Revision: 2, Items: []kv.Item{entry}}}}); err != nil {
			t.Fatal(err)
		}
		if h.existingGroup(name) == nil {
			t.Error("the group that the host coordinates is not kept")
		}
		return
	}
}
