package joining

import (
	"net/netip"
	"slices"
	"time"

	"pearlatch/core/serving"
)

const (
	// unknownShare is the chance that a host reads the store in its first round while it can't tell how large the fleet
	// is. It doubles with each round, so that the first readers come early in a large fleet and after seconds in a small
	// one whose seeds are gone.
	unknownShare = 1.0 / 1024
	// askedPerRound is how many hosts are asked between two pauses.
	askedPerRound = 3
	// drawsPerAddress bounds the draws for each address to ask.
	drawsPerAddress = 8
	// firstPause and longestPause bound the pause between two rounds, which doubles; up to half as much is added or
	// taken away, so that hosts that started together don't return together.
	firstPause   = 200 * time.Millisecond
	longestPause = 800 * time.Millisecond
)

// Joiner chooses the steps of one host until it has learned everything. Use New. It is not safe for concurrent use.
//
// The load that it answers is the start of all hosts, or of half of them, at the same moment: whoever knows the list
// passes it on, and those who have it grow many times over with each round.
type Joiner struct {
	self  netip.AddrPort
	seeds []netip.AddrPort
	draw  func() float64

	// hosts are those that are listed in the store. listed is true if an earlier process of this one is among them, so that
	// the list is not the beginning of one.
	hosts  []netip.AddrPort
	listed bool
	// told are hosts that a busy one named: they have the list.
	told []netip.AddrPort
	// plan holds the further steps of the round.
	plan  []Step
	round int
}

// New returns the Joiner of the host with the address, which may be one of the seeds. draw returns random numbers from
// 0 up to 1.
func New(self netip.AddrPort, seeds []netip.AddrPort, draw func() float64) *Joiner {
	return &Joiner{self: self, seeds: seeds, draw: draw}
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

// Counted takes over the addresses of the listed hosts, and plans the rest of the round by them.
func (j *Joiner) Counted(hosts []netip.AddrPort) {
	j.hosts, j.listed = hosts, slices.Contains(hosts, j.self)
	switch {
	case j.reads():
		j.plan = append([]Step{ReadStore{}}, j.ask()...)
	case len(j.hosts) == 0 && j.round == 1:
		j.plan = []Step{j.pause()} // nobody has the list yet: the seeds need a moment
	default:
		j.plan = j.ask()
	}
}

// Busy takes over that a host which has the list is passing it on to many others, and named some that have it too.
func (j *Joiner) Busy(elsewhere []netip.AddrPort) { j.told = elsewhere }

// planRound returns the steps of the next round. Others learn from the seeds, which don't wait for each other.
func (j *Joiner) planRound() []Step {
	j.round++
	first := Step(CountHosts{})
	if j.isSeed() || len(j.seeds) == 0 {
		first = ReadStore{}
	}
	return append([]Step{first}, j.ask()...)
}

// ask returns whom to ask in this round, those first that certainly have the list.
func (j *Joiner) ask() []Step {
	var out []Step
	for _, from := range [][]netip.AddrPort{j.told, j.hosts, j.seeds} {
		for _, a := range j.some(from, askedPerRound-len(out)) {
			out = append(out, AskHost{a})
		}
	}
	j.told = nil
	return append(out, j.pause())
}

// reads draws whether this host reads the store in this round.
func (j *Joiner) reads() bool {
	if j.listed {
		return serving.ShouldReadStore(len(j.hosts), j.draw())
	}
	return j.draw() < unknownShare*float64(uint64(1)<<min(j.round, 10))
}

func (j *Joiner) isSeed() bool { return slices.Contains(j.seeds, j.self) }

// some returns up to n of the addresses, drawn at random, without this host's own.
func (j *Joiner) some(from []netip.AddrPort, n int) []netip.AddrPort {
	var out []netip.AddrPort
	// Draws that hit an address twice are spent, so that of a few addresses one may be left out.
	for tries := drawsPerAddress * n; tries > 0 && len(out) < min(n, len(from)); tries-- {
		a := from[int(j.draw()*float64(len(from)))]
		if a != j.self && a.IsValid() && !slices.Contains(out, a) {
			out = append(out, a)
		}
	}
	return out
}

// pause returns the pause after this round.
func (j *Joiner) pause() Pause {
	pause := min(firstPause<<min(j.round-1, 4), longestPause)
	return Pause{time.Duration((0.5 + j.draw()) * float64(pause))}
}
