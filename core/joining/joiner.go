package joining

import (
	"net/netip"
	"slices"
	"time"

	"pearlatch/core/serving"
)

const (
	// initialReadProbability is the chance that a host reads the store in its first round while it can't tell how large the fleet
	// is. It doubles with each round, so that the first readers come early in a large fleet and after seconds in a small
	// one whose seeds are gone.
	initialReadProbability = 1.0 / 1024
	// hostsPerRound is how many hosts are asked between two pauses.
	hostsPerRound = 3
	// maxDrawsPerAddress bounds the draws for each address to ask.
	maxDrawsPerAddress = 8
	// initialBackoff and longestPause bound the pause between two rounds, which doubles; up to half as much is added or
	// taken away, so that hosts that started together don't return together.
	initialBackoff = 200 * time.Millisecond
	maxBackoff     = 800 * time.Millisecond
)

// Joiner chooses the steps of one host until it has learned everything. Use New. It is not safe for concurrent use.
//
// The load that it answers is the start of all hosts, or of half of them, at the same moment: whoever knows the list
// passes it on, and those who have it grow many times over with each round.
type Joiner struct {
	self   netip.AddrPort
	seeds  []netip.AddrPort
	random func() float64

	// listedHosts are those that are listed in the store. listed is true if an earlier process of this one is among them, so that
	// the list is not the beginning of one.
	listedHosts []netip.AddrPort
	selfListed  bool
	// referrals are hosts that a busy one named: they have the list.
	referrals []netip.AddrPort
	// plan holds the further steps of the round.
	plan  []Step
	round int
}

// New returns the Joiner of the host with the address, which may be one of the seeds. draw returns random numbers from
// 0 up to 1.
func New(self netip.AddrPort, seeds []netip.AddrPort, draw func() float64) *Joiner {
	return &Joiner{self: self, seeds: seeds, random: draw}
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

// SetListedHosts takes over the addresses of the listed hosts, and plans the rest of the round by them.
func (j *Joiner) SetListedHosts(hosts []netip.AddrPort) {
	j.listedHosts, j.selfListed = hosts, slices.Contains(hosts, j.self)
	switch {
	case j.shouldReadStore():
		j.plan = append([]Step{ReadStore{}}, j.askSteps()...)
	case len(j.listedHosts) == 0 && j.round == 1:
		j.plan = []Step{j.backoff()} // nobody has the list yet: the seeds need a moment
	default:
		j.plan = j.askSteps()
	}
}

// Redirect takes over that a host which has the list is passing it on to many others, and named some that have it too.
func (j *Joiner) Redirect(elsewhere []netip.AddrPort) { j.referrals = elsewhere }

// planRound returns the steps of the next round. Others learn from the seeds, which don't wait for each other.
func (j *Joiner) planRound() []Step {
	j.round++
	first := Step(ListHosts{})
	if j.isSeed() || len(j.seeds) == 0 {
		first = ReadStore{}
	}
	return append([]Step{first}, j.askSteps()...)
}

// askSteps returns whom to askSteps in this round, those first that certainly have the list.
func (j *Joiner) askSteps() []Step {
	var out []Step
	for _, from := range [][]netip.AddrPort{j.referrals, j.listedHosts, j.seeds} {
		for _, a := range j.sample(from, hostsPerRound-len(out)) {
			out = append(out, AskHost{a})
		}
	}
	j.referrals = nil
	return append(out, j.backoff())
}

// shouldReadStore draws whether this host shouldReadStore the store in this round.
func (j *Joiner) shouldReadStore() bool {
	if j.selfListed {
		return serving.ShouldReadStore(len(j.listedHosts), j.random())
	}
	return j.random() < initialReadProbability*float64(uint64(1)<<min(j.round, 10))
}

func (j *Joiner) isSeed() bool { return slices.Contains(j.seeds, j.self) }

// sample returns up to n of the addresses, drawn at random, without this host's own.
func (j *Joiner) sample(from []netip.AddrPort, n int) []netip.AddrPort {
	var out []netip.AddrPort
	// Draws that hit an address twice are spent, so that of a few addresses one may be left out.
	for tries := maxDrawsPerAddress * n; tries > 0 && len(out) < min(n, len(from)); tries-- {
		a := from[int(j.random()*float64(len(from)))]
		if a != j.self && a.IsValid() && !slices.Contains(out, a) {
			out = append(out, a)
		}
	}
	return out
}

// backoff returns the backoff after this round.
func (j *Joiner) backoff() Pause {
	pause := min(initialBackoff<<min(j.round-1, 4), maxBackoff)
	return Pause{time.Duration((0.5 + j.random()) * float64(pause))}
}
