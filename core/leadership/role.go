package leadership

import "pearlatch/core/kv"

//go:generate go tool stringer -type=RoleStep -linecomment -output=rolestep_string.go

// RoleStep is the next action of a host on the coordinator role of a group.
type RoleStep uint8

// The steps. Their texts are written out and keep the former names.
const (
	// KeepRole changes nothing.
	KeepRole RoleStep = iota // KeepDuty
	// LoseToRestore ends the role on this host only, and leaves the store as it is. The store was restored from
	// an older copy, which may name another host as coordinator, and the host that holds the role now has claimed
	// it in the restored store.
	LoseToRestore
	// LoseToHolder and LoseToRemoval end the role and its lease: another host has claimed the role, or its entry
	// was removed. The platform may remove an entry and leave its lease in place.
	LoseToHolder
	LoseToRemoval
	// HandBackRole gives up the role while the host keeps running for a while.
	HandBackRole // ResignDuty
	// InheritRecord reads the record of the previous coordinator.
	InheritRecord
	// ReclaimRole claims a role whose entry names this host: an earlier process of the host held it and has
	// ended.
	ReclaimRole // ReclaimDuty
	// ClaimRole claims a vacant role after the host's ClaimDelay.
	ClaimRole // ClaimDuty
	// ForgetVacancy resets the time since which the role is vacant: the host must not claim it.
	ForgetVacancy
)

// RoleState is what a host knows of the coordinator role of a group.
type RoleState struct {
	// Held is true if this host claimed the role, at revision Token, and knows of no other coordinator. The
	// revision is also the fencing token.
	Held  bool
	Token kv.Revision
	// EntryRevision is the revision at which the role's entry was written, or zero if there is no entry.
	// OwnEntry is true if the entry names this host.
	EntryRevision kv.Revision
	OwnEntry      bool
	// StoreRevision is the revision of the store up to which the host has seen all changes.
	StoreRevision kv.Revision
	// Stopping is true once the host shuts down, and MayClaim while it may claim roles. Candidate is true if the
	// host is among those that claim this role when it is vacant. UpToDate is true while the host has recent data
	// of the store: with outdated data it would claim roles that others hold by now.
	Stopping, MayClaim, Candidate, UpToDate bool
	// RecordInherited is true once the record of the previous coordinator was read.
	RecordInherited bool
}

// Next returns the next action.
func (r RoleState) Next() RoleStep {
	switch {
	case r.Held && r.StoreRevision.Epoch() > r.Token.Epoch():
		return LoseToRestore
	case r.Held && r.EntryRevision > r.Token:
		return LoseToHolder
	case r.Held && r.EntryRevision == 0 && r.StoreRevision > r.Token:
		return LoseToRemoval
	case r.Held && r.Stopping:
		return HandBackRole
	case r.Held && !r.RecordInherited:
		return InheritRecord
	case r.Held:
		return KeepRole
	case r.EntryRevision > r.Token && r.OwnEntry && r.MayClaim:
		return ReclaimRole
	case r.EntryRevision != 0 || !r.MayClaim || !r.Candidate || !r.UpToDate:
		return ForgetVacancy
	}
	return ClaimRole
}
