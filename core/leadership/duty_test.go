package leadership

import (
	"testing"

	"pearlatch/core/kv"
)

func TestDutyNext(t *testing.T) {
	held := DutyState{Held: true, Token: 37, Entry: 37, Own: true, Known: 40, MayServe: true, Inherited: true}
	with := func(d DutyState, change func(*DutyState)) DutyState { change(&d); return d }
	for _, c := range []struct {
		name  string
		state DutyState
		want  DutyStep
	}{
		{"all is well", held, KeepDuty},
		{"another host took it", with(held, func(d *DutyState) { d.Entry, d.Own = 39, false }), LoseToHolder},
		{"the entry is gone", with(held, func(d *DutyState) { d.Entry = 0 }), LoseToRemoval},
		{"the news are of before it was taken", with(held, func(d *DutyState) { d.Entry, d.Known = 0, 36 }), KeepDuty},
		{"the store came back with the entry", with(held, func(d *DutyState) { d.Entry, d.Known = kv.NewRevision(1, 37), kv.NewRevision(1, 38) }), LoseToRestore},
		{"the store came back without the entry", with(held, func(d *DutyState) { d.Entry, d.Known = 0, kv.NewRevision(1, 30) }), LoseToRestore},
		{"taken where the store came back, of which no news have come", with(held, func(d *DutyState) { d.Token, d.Entry = kv.NewRevision(1, 31), 0 }), KeepDuty},
		{"the host stops", with(held, func(d *DutyState) { d.Stopping = true }), ResignDuty},
		{"the record was not read", with(held, func(d *DutyState) { d.Inherited = false }), InheritRecord},
		{"an earlier process held it", DutyState{Entry: 30, Own: true, Known: 40, MayServe: true}, ReclaimDuty},
		{"lost to the store's return, and its own in the copy", DutyState{Token: 37, Entry: kv.NewRevision(1, 30), Own: true, Known: kv.NewRevision(1, 30), MayServe: true}, ReclaimDuty},
		{"its own entry, given up", DutyState{Token: 37, Entry: 37, Own: true, Known: 40, MayServe: true}, ForgetVacancy},
		{"another host holds it", DutyState{Entry: 30, Known: 40, MayServe: true}, ForgetVacancy},
		{"nobody holds it", DutyState{Known: 40, MayServe: true, Candidate: true, Informed: true}, ClaimDuty},
		{"nobody held it when the last news came", DutyState{Known: 40, MayServe: true, Candidate: true}, ForgetVacancy},
		{"nobody holds it, and it concerns other hosts", DutyState{Known: 40, MayServe: true, Informed: true}, ForgetVacancy},
		{"nobody holds it, and the host stops", DutyState{Known: 40, Stopping: true, Candidate: true, Informed: true}, ForgetVacancy},
	} {
		if got := c.state.Next(); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}
