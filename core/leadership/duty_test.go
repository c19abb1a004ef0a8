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
		{"duty held", held, KeepDuty},
		{"claimed by another host", with(held, func(d *DutyState) { d.EntryRevision, d.OwnEntry = 39, false }), LoseToHolder},
		{"entry removed", with(held, func(d *DutyState) { d.EntryRevision = 0 }), LoseToRemoval},
		{"store data older than the claim", with(held, func(d *DutyState) { d.EntryRevision, d.StoreRevision = 0, 36 }), KeepDuty},
		{"store restored with the entry", with(held, func(d *DutyState) { d.EntryRevision, d.StoreRevision = kv.NewRevision(1, 37), kv.NewRevision(1, 38) }), LoseToRestore},
		{"store restored without the entry", with(held, func(d *DutyState) { d.EntryRevision, d.StoreRevision = 0, kv.NewRevision(1, 30) }), LoseToRestore},
		{"claimed after a restore, with store data from before it", with(held, func(d *DutyState) { d.Token, d.EntryRevision = kv.NewRevision(1, 31), 0 }), KeepDuty},
		{"host stops", with(held, func(d *DutyState) { d.Stopping = true }), ResignDuty},
		{"record not read yet", with(held, func(d *DutyState) { d.RecordInherited = false }), InheritRecord},
		{"entry of an earlier process", DutyState{EntryRevision: 30, OwnEntry: true, StoreRevision: 40, MayTakeDuty: true}, ReclaimDuty},
		{"lost in a restore, with its own entry in the copy", DutyState{Token: 37, EntryRevision: kv.NewRevision(1, 30), OwnEntry: true, StoreRevision: kv.NewRevision(1, 30), MayTakeDuty: true}, ReclaimDuty},
		{"its own entry after it resigned", DutyState{Token: 37, EntryRevision: 37, OwnEntry: true, StoreRevision: 40, MayTakeDuty: true}, ForgetVacancy},
		{"held by another host", DutyState{EntryRevision: 30, StoreRevision: 40, MayTakeDuty: true}, ForgetVacancy},
		{"vacant", DutyState{StoreRevision: 40, MayTakeDuty: true, Candidate: true, UpToDate: true}, ClaimDuty},
		{"vacant in outdated store data", DutyState{StoreRevision: 40, MayTakeDuty: true, Candidate: true}, ForgetVacancy},
		{"vacant, not a candidate", DutyState{StoreRevision: 40, MayTakeDuty: true, UpToDate: true}, ForgetVacancy},
		{"vacant, host stops", DutyState{StoreRevision: 40, Stopping: true, Candidate: true, UpToDate: true}, ForgetVacancy},
	} {
		if got := c.state.Next(); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}
