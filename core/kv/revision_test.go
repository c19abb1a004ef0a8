package kv_test

import (
	"fmt"
	"slices"
	"testing"

	"pearlatch/core/kv"
)

func ExampleRevision() {
	before, after := kv.NewRevision(0, 37), kv.NewRevision(1, 30)
	fmt.Println(before, after, after > before, after.Number())
	// Output: 37 1.30 true 30
}

func TestRevisionOrderAcrossEpochs(t *testing.T) {
	const most = 1<<40 - 1
	inOrder := []kv.Revision{0, kv.NewRevision(0, 1), kv.NewRevision(0, most), kv.NewRevision(1, 0), kv.NewRevision(1, 1), kv.NewRevision(7, 3), kv.NewRevision(8000, most)}
	if !slices.IsSorted(inOrder) {
		t.Errorf("%v are not in order", inOrder)
	}
	for _, r := range inOrder {
		if kv.NewRevision(r.Epoch(), r.Number()) != r {
			t.Errorf("%v reads back as %v", r, kv.NewRevision(r.Epoch(), r.Number()))
		}
	}
}
