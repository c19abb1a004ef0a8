package kv_test

import (
	"fmt"
	"slices"
	"testing"

	"pearlatch/core/kv"
)

func ExampleRevision() {
	before, after := kv.At(0, 37), kv.At(1, 30)
	fmt.Println(before, after, after > before, after.Number())
	// Output: 37 1.30 true 30
}

func TestRevisionsOfAllEpochsAreInOneOrder(t *testing.T) {
	const most = 1<<40 - 1
	inOrder := []kv.Revision{0, kv.At(0, 1), kv.At(0, most), kv.At(1, 0), kv.At(1, 1), kv.At(7, 3), kv.At(8000, most)}
	if !slices.IsSorted(inOrder) {
		t.Errorf("%v are not in order", inOrder)
	}
	for _, r := range inOrder {
		if kv.At(r.Epoch(), r.Number()) != r {
			t.Errorf("%v reads back as %v", r, kv.At(r.Epoch(), r.Number()))
		}
	}
}
