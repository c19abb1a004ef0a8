package kv

import "testing"

func TestHistorySince(t *testing.T) {
	h := history{start: 10}
	for r := Revision(11); r <= 14; r++ {
		h.add(Item{Key: "k", Revision: r})
	}
	if got, ok := h.since(12); !ok || len(got) != 2 {
		t.Errorf("after 12: %v, %v", got, ok)
	}
	if _, ok := h.since(9); ok {
		t.Error("changes since a revision before the history are reported as complete")
	}
	for r := Revision(15); r <= 14+2*minKeptChanges; r++ {
		h.add(Item{Key: "k", Revision: r})
	}
	if _, ok := h.since(12); ok {
		t.Error("changes are reported as complete although some were dropped")
	}
	if got, ok := h.since(14 + 2*minKeptChanges - 5); !ok || len(got) != 5 {
		t.Errorf("the newest five changes: %d, %v", len(got), ok)
	}
}
