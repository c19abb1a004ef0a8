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
		claimEpoch         kv.Epoch
		holder             string
		portionHolders     []string
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
		got, certain := Inherit(c.stored, c.remembered, c.claimEpoch)
		if got.Holder != c.holder || certain != c.certain || got.HandedBack != c.handed || !slices.Equal(got.PortionHolders, c.portionHolders) {
			t.Errorf("%s: %+v, certain %v", c.name, got, certain)
		}
	}
}

// Guards against a new granter that gives away what a host with a reserve may still hold: lists of reserve holders are
// joined, and if a list is missing or its successor may be lost, any host may hold a reserve.
func TestInheritReserveHolders(t *testing.T) {
	record := func(epoch kv.Epoch, number int64, holders ...string) StoredRecord {
		return NewStoredRecord(Record{Holder: "h", Epoch: epoch, ReserveHolders: holders}, kv.NewRevision(epoch, number))
	}
	for _, c := range []struct {
		name               string
		stored, remembered StoredRecord
		claimEpoch         kv.Epoch
		want               []string
	}{
		{"recorded in this epoch", record(1, 30, "a"), StoredRecord{}, 1, []string{"a"}},
		{"written by the previous version", record(1, 30), StoredRecord{}, 1, nil},
		{"remembered from this epoch", record(0, 30, "a"), record(1, 37, "b"), 1, []string{"a", "b"}},
		{"remembered, and the stored list is missing", record(0, 30), record(1, 37, "b"), 1, nil},
		{"the store was restored from an older copy", record(0, 30, "a"), record(0, 37, "b"), 1, nil},
	} {
		if got, _ := Inherit(c.stored, c.remembered, c.claimEpoch); !slices.Equal(got.ReserveHolders, c.want) {
			t.Errorf("%s: %v, want %v", c.name, got.ReserveHolders, c.want)
		}
	}
}
