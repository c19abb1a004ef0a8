package leadership

import "pearlatch/core/kv"

//go:generate go tool stringer -type=DutyStep -output=dutystep_string.go

// RoleStep is the next action of a host on the duty of a group.
type RoleStep uint8

// The steps.
const (
	// KeepRole changes nothing.
	KeepRole RoleStep = iota
	// LoseToRestore ends the duty on this host only, and leaves the store as it is: the store was restored from
	// an older copy, in which another host may hold the duty. The current holder has claimed it there.
	LoseToRestore
	// LoseToHolder and LoseToRemoval end the duty and its lease: another host has claimed the duty, or its entry
	// was removed. The platform may remove an entry and leave its lease in place.
	LoseToHolder
	LoseToRemoval
	// HandBackRole gives up the duty while the host keeps running for a while.
	HandBackRole
	// InheritRecord reads the record of the previous holder.
	InheritRecord
	// ReclaimRole claims a duty whose entry names this host: an earlier process of the host held it and has
	// ended.
	ReclaimRole
	// ClaimRole claims a vacant duty after the host's ClaimDelay.
	ClaimRole
	// ForgetVacancy resets the time since which the duty is vacant: the host must not claim it.
	ForgetVacancy
)

// RoleState is what a host knows of the duty of a group.
type RoleState struct {
	// Held is true if this host claimed the duty, at revision Token, and knows of no other holder.
	Held  bool
	Token kv.Revision
	// EntryRevision is the revision at which the duty's entry was written, or zero if there is no entry.
	// OwnEntry is true if the entry names this host.
	EntryRevision kv.Revision
	OwnEntry      bool
	// StoreRevision is the revision of the store up to which the host has seen all changes.
	StoreRevision kv.Revision
	// Stopping is true once the host shuts down, and MayClaim while it may claim duties. Candidate is true if
	// the host is among those that claim this duty when it is vacant. UpToDate is true while the host has recent
	// data of the store: with outdated data it would claim duties that others hold by now.
	Stopping, MayClaim, Candidate, UpToDate bool
	// RecordInherited is true once the record of the previous holder was read.
	RecordInherited bool
}

// Next returns the next action.
func (d RoleState) Next() RoleStep {
	switch {
	case d.Held && d.StoreRevision.Epoch() > d.Token.Epoch():
		return LoseToRestore
	case d.Held && d.EntryRevision > d.Token:
		return LoseToHolder
	case d.Held && d.EntryRevision == 0 && d.StoreRevision > d.Token:
		return LoseToRemoval
	case d.Held && d.Stopping:
		return HandBackRole
	case d.Held && !d.RecordInherited:
		return InheritRecord
	case d.Held:
		return KeepRole
	case d.EntryRevision > d.Token && d.OwnEntry && d.MayClaim:
		return ReclaimRole
	case d.EntryRevision != 0 || !d.MayClaim || !d.Candidate || !d.UpToDate:
		return ForgetVacancy
	}
	return ClaimRole
}
