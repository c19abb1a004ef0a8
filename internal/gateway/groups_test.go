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

// A host kept a Group, two goroutines and a look ten times a second for each group of the configuration, and worked out
// anew who serves each of them whenever a host joined: with hosts and groups both doubled, each host had twice the work.
// It keeps those that concern it, however many there are.
func TestHostKeepsRelevantGroups(t *testing.T) {
	for _, n := range []int{150, 300, 600} {
		h, join := hostWithManyGroups(n, n)
		if err := h.applyChanges(join("new", 1)); err != nil {
			t.Fatal(err)
		}
		if kept := len(h.allGroups()); kept == 0 || kept > 60 {
			t.Errorf("a host of %d before %d groups keeps %d", n, n, kept)
		}
	}
}

// A statement for any group is served, and its Group goes again once nothing depends on it.
func TestGroupIsCreatedOnDemandAndDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, _ := hostWithManyGroups(300, 300)
		far := ""
		for name := range h.config.Groups {
			if !h.isRelevant(name) {
				far = name
			}
		}
		if h.existingGroup(far) != nil {
			t.Fatalf("%s is kept without need", far)
		}
		at, err := h.route(far, account.Caller{})
		if err != nil || at.group == nil || len(at.group.listMembers()) != 3 || !at.group.servedElsewhere() {
			t.Fatalf("the route leads to %+v, %v", at, err)
		}
		h.startGroup(t.Context(), at.group, func(func()) {})
		h.dropUnusedGroups()
		if h.existingGroup(far) != at.group {
			t.Error("the group is dropped at once")
		}
		time.Sleep(groupRetention)
		h.dropUnusedGroups()
		if h.existingGroup(far) != nil {
			t.Error("the group is kept though nothing needs it")
		}
	})
}

// A host that was the holder of a duty and starts again finds its name in the duty's entry, and takes the duty up though
// other hosts have better claims by now: nobody else may before the entry lapses.
func TestHostKeepsGroupItCoordinates(t *testing.T) {
	h, _ := hostWithManyGroups(300, 300)
	for i := range 300 {
		name := fmt.Sprint("group-", i)
		if h.existingGroup(name) != nil {
			continue
		}
		entry := kv.Item{Key: h.coordinatorKey(name), Value: []byte(h.settings.Host), Revision: 2}
		if err := h.applyChanges(follow.News{Update: kv.Update{Snapshot: kv.Snapshot{Revision: 2, Items: []kv.Item{entry}}}}); err != nil {
			t.Fatal(err)
		}
		if h.existingGroup(name) == nil {
			t.Error("the group of the duty is not kept")
		}
		return
	}
}
