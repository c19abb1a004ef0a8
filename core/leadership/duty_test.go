package leadership

import (
	"testing"

	"pearlatch/core/kv"
)

func TestRoleStateNext(t *testing.T) {
	held := RoleState{Held: true, Token: 37, EntryRevision: 37, OwnEntry: true, StoreRevision: 40, MayClaim: true, RecordInherited: true}
	with := func(d RoleState, change func(*RoleState)) RoleState { change(&d); return d }
	for _, c := range []struct {
		name  string
		state RoleState
		want  RoleStep
	}{
		{"duty held", held, KeepRole},
		{"claimed by another host", with(held, func(d *RoleState) { d.EntryRevision, d.OwnEntry = 39, false }), LoseToHolder},
		{"entry removed", with(held, func(d *RoleState) { d.EntryRevision = 0 }), LoseToRemoval},
		{"store data older than the claim", with(held, func(d *RoleState) { d.EntryRevision, d.StoreRevision = 0, 36 }), KeepRole},
		{"store restored with the entry", with(held, func(d *RoleState) { d.EntryRevision, d.StoreRevision = kv.NewRevision(1, 37), kv.NewRevision(1, 38) }), LoseToRestore},
		{"store restored without the entry", with(held, func(d *RoleState) { d.EntryRevision, d.StoreRevision = 0, kv.NewRevision(1, 30) }), LoseToRestore},
		{"claimed after a restore, with store data from before it", with(held, func(d *RoleState) { d.Token, d.EntryRevision = kv.NewRevision(1, 31), 0 }), KeepRole},
		{"host stops", with(held, func(d *RoleState) { d.Stopping = true }), HandBackRole},
		{"record not read yet", with(held, func(d *RoleState) { d.RecordInherited = false }), InheritRecord},
		{"entry of an earlier process", RoleState{EntryRevision: 30, OwnEntry: true, StoreRevision: 40, MayClaim: true}, ReclaimRole},
		{"lost in a restore, with its own entry in the copy", RoleState{Token: 37, EntryRevision: kv.NewRevision(1, 30), OwnEntry: true, StoreRevision: kv.NewRevision(1, 30), MayClaim: true}, ReclaimRole},
		{"its own entry after it resigned", RoleState{Token: 37, EntryRevision: 37, OwnEntry: true, StoreRevision: 40, MayClaim: true}, ForgetVacancy},
		{"held by another host", RoleState{EntryRevision: 30, StoreRevision: 40, MayClaim: true}, ForgetVacancy},
		{"vacant", RoleState{StoreRevision: 40, MayClaim: true, Candidate: true, UpToDate: true}, ClaimRole},
		{"vacant in outdated store data", RoleState{StoreRevision: 40, MayClaim: true, Candidate: true}, ForgetVacancy},
		{"vacant, not a candidate", RoleState{StoreRevision: 40, MayClaim: true, UpToDate: true}, ForgetVacancy},
		{"vacant, host stops", RoleState{StoreRevision: 40, Stopping: true, Candidate: true, UpToDate: true}, ForgetVacancy},
	} {
		if got := c.state.Next(); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}
