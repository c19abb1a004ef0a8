package soak

import (
	"math/rand/v2"
	"time"
)

//go:generate go tool stringer -type=Kind -output=kind_string.go

// Kind is what goes wrong.
type Kind uint8

// The kinds. Those up to Configure are planned work, during which nothing of callers may be cut.
const (
	// StopHost stops a host in order, and starts it again.
	StopHost Kind = iota
	// StopHostsInTurn stops several hosts, the next one before the last one is back.
	StopHostsInTurn
	// Reload changes a host's settings file: the same, broken, or half of it, with a signal or without.
	Reload
	// LeaveMember announces the end of a member; another instance takes its place and its log.
	LeaveMember
	// Configure changes the configuration, several times in a row.
	Configure
	// KillHost kills a host.
	KillHost
	// KillHosts kills most of the hosts at once.
	KillHosts
	// FreezeHost stops a host's process and lets it go on later.
	FreezeHost
	// CutHost parts a host from the store, from members or from other hosts, one way or both.
	CutHost
	// DelayHost makes what a host sends and gets late.
	DelayHost
	// ResetHost resets the connections of a host.
	ResetHost
	// CrashMember crashes a member, which comes back with its log.
	CrashMember
	// WipeMember crashes a replica, which comes back with nothing.
	WipeMember
	// DarkenMember keeps everything from a member.
	DarkenMember
	// CutMember parts a member from the other members.
	CutMember
	// DeafenMember keeps a replica from receiving.
	DeafenMember
	// LagMember makes a replica apply late.
	LagMember
	// SlowMember makes a member slow.
	SlowMember
	// LoseAnswers makes a member lose answers.
	LoseAnswers
	// StoreAway makes the store refuse, or answer nothing.
	StoreAway
	// StoreTurnsAway makes the store refuse some hosts.
	StoreTurnsAway
	// StoreSlow makes the store slow, or lose answers.
	StoreSlow
	// StoreForgets drops the store's history.
	StoreForgets
	// LateOrders makes promotions late, without an answer.
	LateOrders
	// StoreRestored brings the store back from an older copy, after it was away for a moment.
	StoreRestored
	kinds
)

// planned reports whether nothing of callers may be cut by it.
func (k Kind) planned() bool { return k <= Configure }

// Fault is one thing that goes wrong.
type Fault struct {
	Kind Kind
	// At is when it begins, counted from the begin of the faults, and For how long it lasts.
	At, For time.Duration
	// Seed settles all else: which host or member, and how.
	Seed uint64
}

// newRand returns what settles the details of the fault.
func (f Fault) newRand() *rand.Rand { return rand.New(rand.NewPCG(f.Seed, uint64(f.Kind))) }

const (
	// minFaults and maxFaults bound the faults of a schedule.
	minFaults, maxFaults = 2, 8
	// minFaultDuration and maxFaultDuration bound how long one lasts: from less than a lease on a primary to
	// more than a duty's.
	minFaultDuration, maxFaultDuration = 200 * time.Millisecond, 4 * time.Second
)

// Schedule returns the faults of a seed, within the given time. In some of them the store comes back from an older
// copy.
func Schedule(seed uint64, within time.Duration) []Fault {
	out := scheduleWithoutRestores(seed, within)
	random := rand.New(rand.NewPCG(seed, 2))
	for range random.IntN(maxRestores + 1) {
		out = append(out, randomFault(random, StoreRestored, within))
	}
	return out
}

// maxRestores bounds how often the store comes back from a copy within a schedule.
const maxRestores = 2

// scheduleWithoutRestores returns the faults of a seed with which the store keeps what it has acknowledged.
func scheduleWithoutRestores(seed uint64, within time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed, 1))
	out := make([]Fault, minFaults+random.IntN(maxFaults-minFaults+1))
	for i := range out {
		out[i] = randomFault(random, kinds, within)
	}
	return out
}

// randomFault returns a fault of the kind, or of any of those that lasting has.
func randomFault(random *rand.Rand, k Kind, within time.Duration) Fault {
	length := minFaultDuration + time.Duration(random.Int64N(int64(maxFaultDuration-minFaultDuration)))
	if k == kinds {
		k = Kind(random.IntN(int(StoreRestored)))
	}
	return Fault{
		Kind: k, At: time.Duration(random.Int64N(int64(within))).Round(time.Millisecond),
		For: min(length, within).Round(time.Millisecond), Seed: random.Uint64(),
	}
}
