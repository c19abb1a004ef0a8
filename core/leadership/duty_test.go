package leadership

import (
	"testing"

	"pearlatch/core/kv"
)

func TestDutyNext(t *testing.T) {
	held := DutyState{Held: true, Token: 37, EntryRevision: 37, OwnEntry: true, StoreRevision: 40, MayTakeDuty: true, RecordInherited: true}
	with := func(d DutyState, change func(*DutyState)) DutyState { change(&d); return d }
	for _, c := range []struct {
		name  string
		state DutyState
		want  DutyStep
	}{
		{"all is well", held, KeepDuty},
		{"another host took it", with(held, func(d *DutyState) { d.EntryRevision, d.OwnEntry = 39, false }), LoseToHolder},
		{"the entry is gone", with(held, func(d *DutyState) { d.EntryRevision = 0 }), LoseToRemoval},
		{"the news are of before it was taken", with(held, func(d *DutyState) { d.EntryRevision, d.StoreRevision = 0, 36 }), KeepDuty},
		{"the store came back with the entry", with(held, func(d *DutyState) { d.EntryRevision, d.StoreRevision = kv.NewRevision(1, 37), kv.NewRevision(1, 38) }), LoseToRestore},
		{"the store came back without the entry", with(held, func(d *DutyState) { d.EntryRevision, d.StoreRevision = 0, kv.NewRevision(1, 30) }), LoseToRestore},
		{"taken where the store came back, of which no news have come", with(held, func(d *DutyState) { d.Token, d.EntryRevision = kv.NewRevision(1, 31), 0 }), KeepDuty},
		{"the host stops", with(held, func(d *DutyState) { d.Stopping = true }), ResignDuty},
		{"the record was not read", with(held, func(d *DutyState) { d.RecordInherited = false }), InheritRecord},
		{"an earlier process held it", DutyState{EntryRevision: 30, OwnEntry: true, StoreRevision: 40, MayTakeDuty: true}, ReclaimDuty},
		{"lost to the store's return, and its own in the copy", DutyState{Token: 37, EntryRevision: kv.NewRevision(1, 30), OwnEntry: true, StoreRevision: kv.NewRevision(1, 30), MayTakeDuty: true}, ReclaimDuty},
		{"its own entry, given up", DutyState{Token: 37, EntryRevision: 37, OwnEntry: true, StoreRevision: 40, MayTakeDuty: true}, ForgetVacancy},
		{"another host holds it", DutyState{EntryRevision: 30, StoreRevision: 40, MayTakeDuty: true}, ForgetVacancy},
		{"nobody holds it", DutyState{StoreRevision: 40, MayTakeDuty: true, Candidate: true, UpToDate: true}, ClaimDuty},
		{"nobody held it when the last news came", DutyState{StoreRevision: 40, MayTakeDuty: true, Candidate: true}, ForgetVacancy},
		{"nobody holds it, and it concerns other hosts", DutyState{StoreRevision: 40, MayTakeDuty: true, UpToDate: true}, ForgetVacancy},
		{"nobody holds it, and the host stops", DutyState{StoreRevision: 40, Stopping: true, Candidate: true, UpToDate: true}, ForgetVacancy},
	} {
		if got := c.state.Next(); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}
