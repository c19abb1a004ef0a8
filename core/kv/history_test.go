package kv

import "testing"

func TestHistorySince(t *testing.T) {
	c := history{start: 10}
	for r := Revision(11); r <= 14; r++ {
		c.add(Item{Key: "k", Revision: r})
	}
	if got, ok := c.since(12); !ok || len(got) != 2 {
		t.Errorf("after 12: %v, %v", got, ok)
	}
	if _, ok := c.since(9); ok {
		t.Error("changes from before the first one kept were told to be complete")
	}
	for r := Revision(15); r <= 14+2*minKeptChanges; r++ {
		c.add(Item{Key: "k", Revision: r})
	}
	if _, ok := c.since(12); ok {
		t.Error("dropped changes were told to be complete")
	}
	if got, ok := c.since(14 + 2*minKeptChanges - 5); !ok || len(got) != 5 {
		t.Errorf("the newest five: %d, %v", len(got), ok)
	}
}
