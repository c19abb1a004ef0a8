package joining

import (
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
	// hostsPerRound is the largest number of hosts asked in a round.
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
// on, so the number of possible sources multiplies with each round.
type Joiner struct {
	self   netip.AddrPort
	seeds  []netip.AddrPort
	random func() float64

	// listedHosts are the hosts that the store lists. selfListed is true if this host is among them, from an earlier
	// process. The list then stems from before the start and its length tells the size of the fleet. Otherwise a
	// fleet that starts for the first time may have just begun to fill it.
	listedHosts []netip.AddrPort
	selfListed  bool
	// referrals are hosts with the contents that busy hosts have named in this round, and roundReferrals those that they
	// named in the round before, which are asked first in this one.
	referrals, roundReferrals []netip.AddrPort
	// plan holds the remaining steps of the round.
	plan  []Step
	round int
}

// New returns a Joiner for the host at the address self, which may be one of the seeds. random returns numbers
// in [0, 1).
func New(self netip.AddrPort, seeds []netip.AddrPort, random func() float64) *Joiner {
	return &Joiner{self: self, seeds: seeds, random: random}
}

// Next returns the next step.
func (j *Joiner) Next() Step {
	if len(j.plan) == 0 {
		j.plan = j.planRound()
	}
	step := j.plan[0]
	j.plan = j.plan[1:]
	return step
}

// SetListedHosts records the result of a ListHosts step and plans the rest of the round from it.
func (j *Joiner) SetListedHosts(hosts []netip.AddrPort) {
	j.listedHosts, j.selfListed = hosts, slices.Contains(hosts, j.self)
	switch {
	case j.shouldReadStore():
		j.plan = append([]Step{ReadStore{}}, j.askSteps()...)
	case len(j.listedHosts) == 0 && j.round == 1:
		j.plan = []Step{j.backoff()} // no host has the contents yet: give the seeds time to read them
	default:
		j.plan = j.askSteps()
	}
}

// Redirect records that the host asked by an AskHost step is busy passing the contents on, and named other hosts
// that have them.
func (j *Joiner) Redirect(referrals []netip.AddrPort) { j.referrals = referrals }

// planRound starts a round and returns its steps. Seeds read the store without waiting for each other; the other
// hosts ask the seeds.
func (j *Joiner) planRound() []Step {
	j.round++
	j.roundReferrals, j.referrals = j.referrals, nil
	first := Step(ListHosts{})
	if j.isSeed() || len(j.seeds) == 0 {
		first = ReadStore{}
	}
	return append([]Step{first}, j.askSteps()...)
}

// askSteps returns the steps that ask other hosts in this round, and the backoff after them. Hosts known to have
// the contents come first.
func (j *Joiner) askSteps() []Step {
	var out []Step
	for _, addrs := range [][]netip.AddrPort{j.roundReferrals, j.listedHosts, j.seeds} {
		for _, a := range j.sample(addrs, hostsPerRound-len(out)) {
			out = append(out, AskHost{a})
		}
	}
	return append(out, j.backoff())
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
