package joining

import (
	"math"
	"net/netip"
	"slices"
	"time"

	"pearlatch/core/serving"
)

const (
	// initialReadProbability is the probability that a host reads the store in its first round while it does not
	// know the size of the fleet. It doubles with each round. Some hosts of a large fleet therefore read early, and
	// those of a small fleet whose seeds are gone do so after seconds.
	initialReadProbability = 1.0 / 1024
	// initialListProbability is the probability that a host reads the list of hosts in its first round if another host
	// has answered. It doubles with each round and is divided by failedListDivisor after each failed list, since the
	// store's link may be saturated.
	initialListProbability = 1.0 / 256
	failedListDivisor      = 4
	// hostsPerRound is the largest number of hosts asked in one part of a round.
	hostsPerRound = 3
	// maxDrawsPerAddress bounds the random draws for each address to ask.
	maxDrawsPerAddress = 8
	// initialBackoff and maxBackoff bound the backoff between two rounds, which doubles with each round. Jitter of
	// up to half the backoff is added or subtracted, so that hosts that started together do not retry together.
	initialBackoff = 200 * time.Millisecond
	maxBackoff     = 800 * time.Millisecond
)

// Joiner chooses the steps of one host until it has the contents of the store. Use New to create one. It is not
// safe for concurrent use.
//
// It is designed for the start of all hosts, or of half of them, at once. Hosts that have the contents pass them
// on, so the number of possible sources multiplies with each round. The list of hosts is read by few: if all read it,
// the store would send bytes in proportion to the square of the fleet, and its link would have no room for the contents.
type Joiner struct {
	self   netip.AddrPort
	seeds  []netip.AddrPort
	random func() float64

	// listedHosts are the hosts that the store lists, once listed is true. selfListed is true if this host is among
	// them, from an earlier process. The list then stems from before the start and its length tells the size of the
	// fleet. Otherwise a fleet that starts for the first time may have just begun to fill it.
	listedHosts        []netip.AddrPort
	listed, selfListed bool
	// failedLists counts the lists that were started since the last complete one.
	failedLists int
	// reached is true once another host has answered.
	reached bool
	// referrals are hosts with the contents that busy hosts have named in this round, and roundReferrals those that they
	// named in the round before, which are asked first in this one.
	referrals, roundReferrals []netip.AddrPort
	// A round has two parts: the first one asks other hosts, the second one reads from the store. plan holds the
	// remaining steps of the present part, and asking is true during the first one.
	plan   []Step
	asking bool
	round  int
}

// New returns a Joiner for the host at the address self, which may be one of the seeds. random returns numbers
// in [0, 1).
func New(self netip.AddrPort, seeds []netip.AddrPort, random func() float64) *Joiner {
	return &Joiner{self: self, seeds: seeds, random: random}
}

// Next returns the next step.
func (j *Joiner) Next() Step {
	for len(j.plan) == 0 {
		if j.asking {
			j.plan = j.planStoreSteps()
		} else {
			j.plan = j.planRound()
		}
	}
	step := j.plan[0]
	j.plan = j.plan[1:]
	return step
}

// SetListedHosts records the result of a ListHosts step and plans the rest of the round from it.
func (j *Joiner) SetListedHosts(hosts []netip.AddrPort) {
	j.failedLists = 0
	j.listedHosts, j.listed, j.selfListed = hosts, true, slices.Contains(hosts, j.self)
	j.plan = nil
	if j.shouldReadStore() {
		j.plan = append(j.plan, ReadStore{})
	}
	j.plan = append(append(j.plan, j.askSteps(j.listedHosts)...), j.backoff())
}

// Redirect records that the host asked by an AskHost step is busy passing the contents on, and named other hosts
// that have them.
func (j *Joiner) Redirect(referrals []netip.AddrPort) { j.referrals, j.reached = referrals, true }

// Reached records that the host asked by an AskHost step answered that it does not have the contents.
func (j *Joiner) Reached() { j.reached = true }

// planRound starts a round and returns the steps of its first part. Seeds read the store at once; without them, no host
// would have the contents.
func (j *Joiner) planRound() []Step {
	j.round++
	j.asking = true
	j.roundReferrals, j.referrals = j.referrals, nil
	asked := j.askSteps(j.roundReferrals, j.listedHosts, j.seeds)
	if j.isSeed() || len(j.seeds) == 0 {
		return append([]Step{ReadStore{}}, asked...)
	}
	return asked
}

// planStoreSteps returns the steps of the second part of a round. SetListedHosts replaces those that follow a list.
func (j *Joiner) planStoreSteps() []Step {
	j.asking = false
	if j.shouldList() {
		j.failedLists++ // until SetListedHosts is called
		return []Step{ListHosts{}, j.backoff()}
	}
	if j.shouldReadStore() {
		return []Step{ReadStore{}, j.backoff()}
	}
	return []Step{j.backoff()}
}

// askSteps returns the steps that ask up to hostsPerRound hosts, drawn from the first list of addresses first.
func (j *Joiner) askSteps(addrs ...[]netip.AddrPort) []Step {
	var out []Step
	for _, some := range addrs {
		for _, a := range j.sample(some, hostsPerRound-len(out)) {
			out = append(out, AskHost{a})
		}
	}
	return out
}

// shouldList draws at random whether this host reads the list of hosts in this round. A host that has a list reads it
// again as rarely as the store itself. A host that no other host has answered always reads it: its seeds may be gone.
func (j *Joiner) shouldList() bool {
	if j.listed {
		return serving.ShouldReadStore(len(j.listedHosts), j.random())
	}
	p := 1.0
	if j.reached {
		p = math.Ldexp(initialListProbability, j.round-1)
	}
	return j.random() < p/math.Pow(failedListDivisor, float64(j.failedLists))
}

// shouldReadStore draws at random whether this host reads the store in this round.
func (j *Joiner) shouldReadStore() bool {
	if j.selfListed {
		return serving.ShouldReadStore(len(j.listedHosts), j.random())
	}
	return j.random() < initialReadProbability*float64(uint64(1)<<min(j.round, 10))
}

func (j *Joiner) isSeed() bool { return slices.Contains(j.seeds, j.self) }

// sample returns up to n of the addresses, drawn at random, without those of this host.
func (j *Joiner) sample(addrs []netip.AddrPort, n int) []netip.AddrPort {
	var out []netip.AddrPort
	// A draw of an address that was drawn before counts against the limit too, so the result may be incomplete.
	for tries := maxDrawsPerAddress * n; tries > 0 && len(out) < min(n, len(addrs)); tries-- {
		a := addrs[int(j.random()*float64(len(addrs)))]
		if a != j.self && a.IsValid() && !slices.Contains(out, a) {
			out = append(out, a)
		}
	}
	return out
}

// backoff returns the backoff after this round, with jitter.
func (j *Joiner) backoff() Backoff {
	backoff := min(initialBackoff<<min(j.round-1, 4), maxBackoff)
	return Backoff{time.Duration((0.5 + j.random()) * float64(backoff))}
}
