package leadership

import (
	"slices"
	"testing"

	"pearlatch/core/kv"
)

func TestInherit(t *testing.T) {
	record := func(holder string, epoch kv.Epoch, number int64, handedBack bool) StoredRecord {
		return NewStoredRecord(Record{Holder: holder, Epoch: epoch, HandedBack: handedBack, PortionHolders: []string{holder}}, kv.NewRevision(epoch+1, number))
	}
	for _, c := range []struct {
		name               string
		stored, remembered StoredRecord
		taken              kv.Epoch
		holder             string
		grantees           []string
		certain, handed    bool
	}{
		{"no record, first epoch", StoredRecord{}, StoredRecord{}, 0, "", nil, true, false},
		{"no record, after a restore", StoredRecord{}, StoredRecord{}, 1, "", nil, false, false},
		{"handed back in this epoch", record("a", 1, 30, true), StoredRecord{}, 1, "a", []string{"a"}, true, true},
		{"handed back before a restore", record("a", 0, 30, true), StoredRecord{}, 1, "a", []string{"a"}, false, false},
		{"newer record remembered", record("a", 0, 30, true), record("b", 0, 37, false), 1, "b", []string{"a", "b"}, false, false},
		{"older record remembered", record("a", 0, 30, false), record("b", 0, 20, false), 1, "a", []string{"a"}, false, false},
		{"stored record of this epoch before the remembered one", record("c", 1, 31, true), record("b", 0, 37, false), 1, "c", []string{"c"}, true, true},
		{"record of an intermediate epoch remembered", record("a", 0, 30, false), record("b", 1, 12, true), 2, "b", []string{"a", "b"}, false, false},
	} {
		got, certain := Inherit(c.stored, c.remembered, c.taken)
		if got.Holder != c.holder || certain != c.certain || got.HandedBack != c.handed || !slices.Equal(got.PortionHolders, c.grantees) {
			t.Errorf("%s: %+v, certain %v", c.name, got, certain)
		}
	}
}
