package soak

import (
	"math/rand/v2"
	"slices"
	"time"
)

//go:generate go tool stringer -type=Kind -output=kind_string.go

// Kind is a kind of fault.
type Kind uint8

// The kinds of faults. Those up to Configure are planned operations, which must not interrupt requests of callers.
const (
	// StopHost shuts a host down with SIGTERM and starts it again.
	StopHost Kind = iota
	// StopHostsInTurn shuts several hosts down, each before the previous one is back.
	StopHostsInTurn
	// Reload rewrites a host's settings file with the same text, a truncated or an invalid one, with or without
	// a SIGHUP.
	Reload
	// LeaveMember announces the shutdown of a member; another instance takes over its address and its log.
	LeaveMember
	// Configure changes the configuration one or several times in a row.
	Configure
	// KillHost kills a host with SIGKILL.
	KillHost
	// KillHosts kills most of the hosts at once.
	KillHosts
	// FreezeHost suspends a host's process and resumes it later.
	FreezeHost
	// CutHost cuts a host off from the store, from members or from other hosts, in one direction or both.
	CutHost
	// DelayHost delays what a host sends and receives.
	DelayHost
	// ResetHost resets the connections of a host.
	ResetHost
	// CrashMember crashes a member, which restarts with its log.
	CrashMember
	// WipeMember crashes a replica, which restarts without its data.
	WipeMember
	// DarkenMember makes a member unreachable for everyone.
	DarkenMember
	// CutMember cuts a member off from the other members.
	CutMember
	// DeafenMember keeps a replica from receiving the log.
	DeafenMember
	// LagMember makes a replica apply the log late.
	LagMember
	// SlowMember makes the statements of a member take longer.
	SlowMember
	// LoseAnswers makes a member drop some of its answers.
	LoseAnswers
	// StoreAway makes the store refuse all calls, or leave them unanswered.
	StoreAway
	// StoreTurnsAway makes the store refuse the calls of some hosts.
	StoreTurnsAway
	// StoreSlow makes the store answer slowly, and drop the answers of some writes.
	StoreSlow
	// StoreForgets drops the store's history, so that watches have to read everything again.
	StoreForgets
	// LateOrders delays promotions and leaves their requests unanswered.
	LateOrders
	// StoreRestored restores the store from an older copy, after a short outage.
	StoreRestored
	// RepeatAnswers makes a member, or all members of a group, send a share of their answers again later.
	RepeatAnswers
	kinds
)

// planned reports whether the kind is a planned operation, which must not interrupt requests of callers.
func (k Kind) planned() bool { return k <= Configure }

// Fault is one fault of a schedule.
type Fault struct {
	Kind Kind
	// At is when the fault begins, since the start of the schedule, and For how long it lasts.
	At, For time.Duration
	// Seed determines everything else: which host or member is affected, and how.
	Seed uint64
}

// newRand returns the random source for the details of the fault.
func (f Fault) newRand() *rand.Rand { return rand.New(rand.NewPCG(f.Seed, uint64(f.Kind))) }

const (
	// minFaults and maxFaults bound the number of faults of a schedule, restores of the store and repeated answers not included.
	minFaults, maxFaults = 2, 8
	// minFaultDuration and maxFaultDuration bound how long a fault lasts: from less than a lease on a primary
	// to more than a coordinator lease.
	minFaultDuration, maxFaultDuration = 200 * time.Millisecond, 4 * time.Second
)

// Schedule returns the faults of a seed, all of which begin within the given duration. In some schedules the store is
// restored from an older copy, up to maxRestores times, and members repeat answers, up to maxRepeats times. One in
// shutdownScheduleInterval has planned operations only.
func Schedule(seed uint64, within time.Duration) []Fault {
	faults := scheduleWithoutRepeats(seed, within)
	if onlyPlanned(faults) {
		return faults
	}
	random := rand.New(rand.NewPCG(seed, 4))
	for range random.IntN(maxRepeats + 1) {
		faults = append(faults, randomFault(random, RepeatAnswers, within))
	}
	return faults
}

// maxRepeats bounds how often members repeat answers in a schedule.
const maxRepeats = 2

func onlyPlanned(faults []Fault) bool {
	return !slices.ContainsFunc(faults, func(f Fault) bool { return !f.Kind.planned() })
}

// scheduleWithoutRepeats returns the faults of a seed in which members answer once.
func scheduleWithoutRepeats(seed uint64, within time.Duration) []Fault {
	if planned := rand.New(rand.NewPCG(seed, 3)); planned.IntN(shutdownScheduleInterval) == 0 {
		return shutdownSchedule(planned, within)
	}
	faults := scheduleWithoutRestores(seed, within)
	random := rand.New(rand.NewPCG(seed, 2))
	for range random.IntN(maxRestores + 1) {
		faults = append(faults, randomFault(random, StoreRestored, within))
	}
	return faults
}

// maxRestores bounds how often the store is restored from a copy in a schedule.
const maxRestores = 2

const shutdownScheduleInterval = 4

// shutdownSchedule returns shutdowns of hosts beside other planned operations, in series and overlapping.
func shutdownSchedule(random *rand.Rand, within time.Duration) []Fault {
	faults := make([]Fault, minFaults+random.IntN(maxFaults-minFaults+1))
	for i := range faults {
		kind := Kind(random.IntN(int(Configure) + 1))
		if i < minFaults {
			kind = Kind(random.IntN(int(StopHostsInTurn) + 1))
		}
		faults[i] = randomFault(random, kind, within)
	}
	return faults
}

// scheduleWithoutRestores returns the faults of a seed in which the store keeps everything that it has acknowledged.
func scheduleWithoutRestores(seed uint64, within time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed, 1))
	faults := make([]Fault, minFaults+random.IntN(maxFaults-minFaults+1))
	for i := range faults {
		faults[i] = randomFault(random, kinds, within)
	}
	return faults
}

// randomFault returns a fault of the kind k, or of a random kind before StoreRestored if k is kinds.
func randomFault(random *rand.Rand, k Kind, within time.Duration) Fault {
	duration := minFaultDuration + time.Duration(random.Int64N(int64(maxFaultDuration-minFaultDuration)))
	if k == kinds {
		k = Kind(random.IntN(int(StoreRestored)))
	}
	return Fault{
		Kind: k, At: time.Duration(random.Int64N(int64(within))).Round(time.Millisecond),
		For: min(duration, within).Round(time.Millisecond), Seed: random.Uint64(),
	}
}
