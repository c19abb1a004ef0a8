package site

import (
	"net/netip"
	"time"

	"pearlatch/core/group"
	"pearlatch/internal/gateway"
	"pearlatch/platform"
)

// Member is a member of a group of the model. The group's lock guards what changes.
type Member struct {
	group *Group
	zone  string
	addr  netip.AddrPort
	proxy *Proxy

	// id and born change when another instance takes the member's place.
	id   string
	born int64
	// run counts the runs of the member: what belongs to an earlier one is void.
	run int
	// down is true while the process does not run, dark while nothing reaches it, deaf while it
	// receives nothing, and cut while it is parted from the other members.
	down, dark, deaf, cut bool
	// leaving is true between the announcement of the end and the end.
	leaving bool
	// goneSince is since when the member is down or dark, and rejoined since when it reaches the
	// present primary again, or zero.
	goneSince, rejoined time.Time

	leads        bool
	term, fenced group.Term
	log          []record
	// applied is how many records of log have been applied; lag is how much later than they were
	// committed.
	applied int
	lag     time.Duration
	// work stretches the time of statements.
	work float64
	// lose is the share of answers that get lost.
	lose float64
	// repeat is the share of answers that are sent again, those to START only if repeatStart is true.
	repeat      float64
	repeatStart bool

	sessions  map[*session]bool
	executing int
	queued    int
	// peak is how many connections the member had at most.
	peak int
}

// ID returns the present instance.
func (m *Member) ID() string {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	return m.id
}

// Group returns the member's group.
func (m *Member) Group() *Group { return m.group }

// change changes the member under its group's lock.
func (m *Member) change(f func()) {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	f()
}

// running reports whether the process runs.
func (m *Member) running() bool { return !m.down }

// connected reports whether two members reach each other.
func (m *Member) connected(o *Member) bool {
	return m.running() && o.running() && !m.dark && !o.dark && !m.cut && !o.cut
}

// follow makes the member a replica of the primary if it reaches it, and ends a fence of an older term.
// A primary that was replaced while it was parted goes on to lead for a while.
func (m *Member) follow(p *Member) {
	if !m.connected(p) || m.term > p.term {
		m.rejoined = time.Time{}
		return
	}
	if m.rejoined.IsZero() {
		m.rejoined = time.Now()
	}
	if m.leads && m.term < p.term && time.Since(m.rejoined) < m.group.site.options.Rejoin {
		return
	}
	if m.term < p.term {
		m.term, m.leads = p.term, false
		if m.fenced <= p.term {
			m.fenced = 0
		}
		common := commonLength(m.log, p.log)
		m.log, m.applied = m.log[:common:common], min(m.applied, common)
	}
	m.receive(p)
}

// receive takes over the primary's log, and reports whether the member has it then.
func (m *Member) receive(p *Member) bool {
	if !m.connected(p) || m.deaf || m.leads || m.fenced > p.term || m.term != p.term {
		return false
	}
	if n := len(m.log); n > len(p.log) || n > 0 && m.log[n-1].position != p.log[n-1].position {
		return false
	}
	m.log = p.log[:len(p.log):len(p.log)]
	return true
}

// end returns the position of the last of n records.
func (m *Member) end(n int) group.Position {
	if n == 0 {
		return group.Position{Term: 1, LSN: 1}
	}
	return m.log[n-1].position
}

// catchUp applies what is due, and returns the position up to which the log has been applied.
func (m *Member) catchUp(now time.Time) group.Position {
	for m.applied < len(m.log) && (m.leads || !m.log[m.applied].at.Add(m.lag).After(now)) {
		m.applied++
	}
	return m.end(m.applied)
}

// status answers an order.
func (m *Member) status(now time.Time) gateway.Status {
	s := gateway.Status{
		IsPrimary: m.leads, Received: m.end(len(m.log)), Term: m.term, Fenced: m.fenced,
		Running: m.executing, Connections: len(m.sessions),
	}
	m.catchUp(now)
	if m.applied < len(m.log) {
		s.Lag = now.Sub(m.log[m.applied].at)
	}
	return s
}

// entry returns the member's entry in the store, or nil if it has none.
func (m *Member) entry(now time.Time) (key string, value []byte) {
	key, value = platform.EncodeMember(gateway.Member{
		ID: m.id, Group: m.group.name, Addr: m.addr, Zone: m.zone, Slots: m.group.site.options.Slots,
		Leaving: m.leaving, IsPrimary: m.leads, Incarnation: m.born,
	})
	if !m.goneSince.IsZero() && now.Sub(m.goneSince) > m.group.site.options.EntryLapse {
		return key, nil
	}
	return key, value
}

// Crash ends the member's process. What it holds stays on its disk.
func (m *Member) Crash() {
	m.change(func() {
		if m.down {
			return
		}
		m.stop()
	})
}

// stop ends the process and its connections. The group's lock is held.
func (m *Member) stop() {
	m.down, m.executing, m.queued = true, 0, 0
	m.run++
	m.goneSince = time.Now()
	for s := range m.sessions {
		s.broken = true
	}
	clear(m.sessions)
	m.proxy.Refuse(true)
}

// Restart starts a member that crashed: with its log as a replica, or as the primary if nobody else
// was promoted, or with nothing of before.
func (m *Member) Restart(withLog bool) {
	m.change(func() {
		if !m.down {
			return
		}
		m.down, m.leaving, m.goneSince, m.fenced = false, false, time.Time{}, 0
		m.born = time.Now().UnixMilli()
		if p := m.group.primary(); p != nil && p != m {
			m.leads = false
		}
		if !withLog {
			m.leads, m.log, m.applied, m.term = false, nil, 0, 0
		}
		m.proxy.Refuse(false)
	})
}

// SetDark cuts everybody off from the member, or ends that.
func (m *Member) SetDark(dark bool) {
	m.change(func() {
		m.dark, m.goneSince = dark, time.Time{}
		if dark {
			m.goneSince = time.Now()
		}
		m.proxy.Silence(dark)
	})
}

// SetCut parts the member from the other members, or ends that.
func (m *Member) SetCut(cut bool) { m.change(func() { m.cut = cut }) }

// SetDeaf keeps the member from receiving, or ends that.
func (m *Member) SetDeaf(deaf bool) { m.change(func() { m.deaf = deaf }) }

// SetLag makes the member apply its log so late.
func (m *Member) SetLag(d time.Duration) { m.change(func() { m.lag = d }) }

// SetWork makes statements take so many times as long.
func (m *Member) SetWork(x float64) { m.change(func() { m.work = x }) }

// SetLose makes the member lose a share of its answers.
func (m *Member) SetLose(share float64) { m.change(func() { m.lose = share }) }

// Leave announces the end of the member. After drain another instance takes its place and its log, at
// its address.
func (m *Member) Leave(drain time.Duration) {
	m.change(func() { m.leaving = true })
	time.AfterFunc(drain, func() {
		m.change(func() {
			if !m.leaving || m.down {
				return
			}
			key, _ := m.entry(time.Now())
			m.stop()
			m.group.site.forget(key)
			m.id = m.group.site.newInstance()
		})
		time.Sleep(m.group.site.options.Replace)
		m.Restart(true)
	})
}
