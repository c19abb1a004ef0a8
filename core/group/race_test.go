package group

import (
	"strings"
	"testing"
)

// The model below explores every interleaving of two hosts that promote members
// of a group of three, while a primary writes and replicas receive. It drives
// Fence.Accepts, Candidate and Confirm as the owner does.

const modelMembers = 3

// modelMember is a member. Its log is a string with a letter for each record:
// digits are term records, letters are writes.
type modelMember struct {
	fence   Fence
	log     string
	primary bool
	source  int // member that it receives from, or -1
}

// modelHost is a host that may be in the middle of a promotion.
type modelHost struct {
	term     Term // that it fences for, or zero
	accepted [modelMembers]bool
	logs     [modelMembers]string // the member's log when it accepted
	promoted bool
}

type model struct {
	members         [modelMembers]modelMember
	hosts           [2]modelHost
	writes          int
	acked           string // writes that were confirmed
	fencingDisabled bool   // fences accept everything: the broken variant
}

// term returns the term of the last term record in a log.
func term(log string) Term {
	for i := len(log) - 1; i >= 0; i-- {
		if log[i] >= '0' && log[i] <= '9' {
			return Term(log[i] - '0')
		}
	}
	return 0
}

func (m *model) status(i int) Status {
	b := m.members[i]
	t := term(b.log)
	return Status{
		Fence: b.fence, InRecovery: !b.primary, LogTerm: t, Timeline: uint32(t) + 1,
		Streaming: !b.primary && b.source >= 0 && m.members[b.source].primary && strings.HasPrefix(m.members[b.source].log, b.log),
		Received:  LSN(len(b.log)), Replayed: LSN(len(b.log)),
	}
}

// confirm acknowledges what a majority holds under primary p, as the owner does
// on the samples of one moment.
func (m *model) confirm(p int) {
	samples := m.samples()
	c, ok := Confirm(samples, p, samples[p].SentAt)
	if !ok {
		return
	}
	for _, r := range m.members[p].log[:c.LSN] {
		if r >= 'a' && !strings.ContainsRune(m.acked, r) {
			m.acked += string(r)
		}
	}
}

// successors returns every state that one step leads to.
func (m *model) successors() []model {
	var out []model
	add := func(change func(*model) bool) {
		n := *m
		if change(&n) {
			out = append(out, n)
		}
	}
	for i := range m.members {
		add(func(n *model) bool { return n.write(i) })
		add(func(n *model) bool { return n.receive(i) })
		add(func(n *model) bool { return n.rebuild(i) })
		add(func(n *model) bool { before := n.acked; n.confirmIfPrimary(i); return n.acked != before })
	}
	for h := range m.hosts {
		add(func(n *model) bool { return n.startPromotion(h) })
		add(func(n *model) bool { return n.promote(h) })
		for i := range m.members {
			add(func(n *model) bool { return n.fence(h, i) })
			add(func(n *model) bool { return n.attach(h, i) })
		}
	}
	return out
}

const modelWrites = 2

func (m *model) write(i int) bool {
	if !m.members[i].primary || m.writes == modelWrites {
		return false
	}
	m.members[i].log += string(rune('a' + m.writes))
	m.writes++
	return true
}

func (m *model) receive(i int) bool {
	if !m.status(i).Streaming {
		return false
	}
	source := m.members[m.members[i].source].log
	if len(source) == len(m.members[i].log) {
		return false
	}
	m.members[i].log = source[:len(m.members[i].log)+1]
	return true
}

// rebuild makes a member whose log has diverged a replica of the primary that
// leads, as the platform does.
func (m *model) rebuild(i int) bool {
	led, ok := FindPrimary(m.samples()).(Led)
	if !ok || led.Primary == i || strings.HasPrefix(m.members[led.Primary].log, m.members[i].log) {
		return false
	}
	b := &m.members[i]
	b.log, b.primary, b.source = m.members[led.Primary].log, false, led.Primary
	return true
}

// samples returns the members' statuses at one moment.
func (m *model) samples() []Sample {
	var out []Sample
	for i := range m.members {
		out = append(out, sample(1, m.status(i)))
	}
	return out
}

func (m *model) confirmIfPrimary(i int) {
	if m.members[i].primary {
		m.confirm(i)
	}
}

func (m *model) startPromotion(h int) bool {
	if m.hosts[h].term != 0 {
		return false
	}
	highest := Term(0)
	for _, b := range m.members {
		highest = max(highest, b.fence.Term)
	}
	m.hosts[h].term = highest + 1
	return true
}

func (m *model) fence(h, i int) bool {
	host, b := &m.hosts[h], &m.members[i]
	f := Fence{Term: host.term, Host: string(rune('A' + h))}
	if host.term == 0 || host.promoted || host.accepted[i] || !b.fence.Accepts(f) {
		return false
	}
	host.accepted[i], host.logs[i] = true, b.log
	if m.fencingDisabled {
		return true
	}
	b.fence, b.source = f, -1
	return true
}

// promote promotes the candidate. Its fence may have been replaced meanwhile: it
// is promoted all the same, and then does not lead.
func (m *model) promote(h int) bool {
	host := &m.hosts[h]
	if host.term == 0 || host.promoted {
		return false
	}
	var fenced []FenceAck
	for i := range m.members {
		// The old primary stands for one that is out of reach.
		if host.accepted[i] && !m.members[i].primary {
			fenced = append(fenced, FenceAck{Member: i, LogTerm: term(host.logs[i]), Received: LSN(len(host.logs[i])), InRecovery: true})
		}
	}
	best, ok := Candidate(fenced, modelMembers, func(int) bool { return false })
	if !ok {
		return false
	}
	host.promoted = true
	b := &m.members[best.Member]
	b.primary, b.source = true, -1
	b.log += string(rune('0' + host.term))
	if m.fencingDisabled {
		b.fence = Fence{Term: host.term, Host: string(rune('A' + h))}
	}
	return true
}

// attach makes a replica follow the member that the host promoted.
func (m *model) attach(h, i int) bool {
	host, b := &m.hosts[h], &m.members[i]
	f := Fence{Term: host.term, Host: string(rune('A' + h))}
	if !host.promoted || b.primary || b.source >= 0 && m.members[b.source].fence == f || !b.fence.Accepts(f) {
		return false
	}
	for p := range m.members {
		if m.members[p].primary && m.members[p].fence == f && m.status(p).Leads() {
			b.fence, b.source = f, p
			return true
		}
	}
	return false
}

// lostWrite returns an acknowledged write that a primary lacks which a majority still
// follows, or zero. Only such a primary is given reads or writes.
func (m *model) lostWrite() rune {
	samples := m.samples()
	for i := range m.members {
		if _, ok := Confirm(samples, i, samples[i].SentAt); !ok {
			continue
		}
		for _, w := range m.acked {
			if !strings.ContainsRune(m.members[i].log, w) {
				return w
			}
		}
	}
	return 0
}

// explore visits every state reachable from the first one, up to a limit, and
// returns one in which an acknowledged write was lost.
func explore(t *testing.T, first model) (bad *model, visited int) {
	t.Helper()
	const limit = 2_000_000
	seen := map[model]bool{first: true}
	queue := []model{first}
	for len(queue) > 0 {
		m := queue[0]
		queue = queue[1:]
		if m.lostWrite() != 0 {
			return &m, len(seen)
		}
		for _, n := range m.successors() {
			if !seen[n] {
				seen[n] = true
				queue = append(queue, n)
			}
		}
		if len(seen) > limit {
			t.Fatalf("more than %d states", limit)
		}
	}
	return nil, len(seen)
}

func initialModel() model {
	var m model
	m.members[0].primary, m.members[0].source = true, -1
	return m
}

// Two hosts promote at once while the primary writes. Whatever the order of
// their steps, no acknowledged write is missing from the primary that results.
func TestConcurrentPromotionsLoseNoWrite(t *testing.T) {
	bad, visited := explore(t, initialModel())
	if bad != nil {
		t.Errorf("an acknowledged write was lost: %+v", *bad)
	}
	t.Logf("%d states", visited)
}

func TestModelDetectsMissingFencing(t *testing.T) {
	m := initialModel()
	m.fencingDisabled = true
	if bad, visited := explore(t, m); bad == nil {
		t.Errorf("no loss found in %d states although members are not fenced", visited)
	}
}
