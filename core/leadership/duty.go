package leadership

import "pearlatch/core/kv"

//go:generate go tool stringer -type=DutyStep -output=dutystep_string.go

// DutyStep is what a host does next about the duty of a group.
type DutyStep uint8

// The steps.
const (
	// KeepDuty changes nothing.
	KeepDuty DutyStep = iota
	// LoseToRestore ends the duty here alone: the store came back from an older copy, in which another host may have
	// it, and whoever holds it now has taken it there.
	LoseToRestore
	// LoseToHolder and LoseToRemoval end the duty and its lease: another host has taken it, or its entry is gone. The
	// platform may take an entry away and leave its lease alone.
	LoseToHolder
	LoseToRemoval
	// ResignDuty gives the duty up while the host goes on for a while.
	ResignDuty
	// InheritRecord reads what the holder before has left.
	InheritRecord
	// ReclaimDuty takes the duty of an entry that names this host: an earlier process of it has ended.
	ReclaimDuty
	// ClaimDuty takes the duty that nobody holds, when it is this host's turn.
	ClaimDuty
	// ForgetVacancy notes that the duty is not to be taken.
	ForgetVacancy
)

// DutyState is what a host knows of the duty of a group.
type DutyState struct {
	// Held is true if this host took the duty at Token and knows of no other holder.
	Held  bool
	Token kv.Revision
	// EntryRevision is the revision at which the duty's entry was written, or zero if there is none. Own is true if it names
	// this host.
	EntryRevision kv.Revision
	OwnEntry      bool
	// StoreRevision is the revision up to which the host knows the store.
	StoreRevision kv.Revision
	// Stopping is true once the host is to end, and MayTakeDuty while it may take duties. Candidate is true if it is among
	// the hosts that take this one when nobody holds it, and UpToDate while its news of the store are recent: a host
	// whose news lag would try to take what others hold by now.
	Stopping, MayTakeDuty, Candidate, UpToDate bool
	// RecordInherited is true once the record of the holder before was read.
	RecordInherited bool
}

// Next returns the next step.
func (d DutyState) Next() DutyStep {
	switch {
	case d.Held && d.StoreRevision.Epoch() > d.Token.Epoch():
		return LoseToRestore
	case d.Held && d.EntryRevision > d.Token:
		return LoseToHolder
	case d.Held && d.EntryRevision == 0 && d.StoreRevision > d.Token:
		return LoseToRemoval
	case d.Held && d.Stopping:
		return ResignDuty
	case d.Held && !d.RecordInherited:
		return InheritRecord
	case d.Held:
		return KeepDuty
	case d.EntryRevision > d.Token && d.OwnEntry && d.MayTakeDuty:
		return ReclaimDuty
	case d.EntryRevision != 0 || !d.MayTakeDuty || !d.Candidate || !d.UpToDate:
		return ForgetVacancy
	}
	return ClaimDuty
}
