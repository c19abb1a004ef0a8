package standin

import (
	"net"
	"net/netip"
	"sync"
	"time"

	"pearlatch/core/group"
)

// replicationTick is how often a replica asks its source for records.
const replicationTick = time.Millisecond

// Member is one database server of a group.
type Member struct {
	group   *Group
	options MemberOptions
	slots   chan struct{}

	mu         sync.Mutex
	running    bool
	paused     chan struct{} // not nil while paused; closed on resume
	listener   net.Listener
	stop       chan struct{}
	sessions   map[uint32]*session
	nextPID    uint32
	wal        wal
	inRecovery bool
	source     *Member // what a replica follows; nil when cut off
	fence      group.Fence
	readOnly   bool
	timeline   uint32
	settings   map[string]string // set by ALTER SYSTEM, active after a reload
	advisory   map[string]*session
	rows       map[string]*session // rows locked by open transactions
	released   *sync.Cond          // signalled when a lock is released
	lagBy      time.Duration       // added to both lags by SetLag
	slow       time.Duration       // added to every statement by SetSlow
	reads      Reads
}

func newMember(g *Group, o MemberOptions) *Member {
	m := &Member{
		group:      g,
		options:    o,
		slots:      make(chan struct{}, max(1, g.options.Slots)),
		sessions:   map[uint32]*session{},
		wal:        newWAL(),
		inRecovery: true,
		timeline:   1,
		settings:   map[string]string{},
		advisory:   map[string]*session{},
		rows:       map[string]*session{},
	}
	m.released = sync.NewCond(&m.mu)
	return m
}

// Reads counts the reads of items that a member answered, by its role then.
type Reads struct{ AsPrimary, AsReplica int }

// Reads returns the reads that the member has answered.
func (m *Member) Reads() Reads {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.reads
}

// Name returns the member's name.
func (m *Member) Name() string { return m.options.Name }

// Addr returns the address that the member listens on.
func (m *Member) Addr() netip.AddrPort { return m.options.Addr }

// Start starts a member that is not running, with the log and settings that it
// stopped with.
func (m *Member) Start() error {
	l, err := m.group.options.Network.Listen(m.options.Addr)
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.running, m.listener, m.stop = true, l, make(chan struct{})
	go m.accept(l)
	go m.replicate(m.stop)
	return nil
}

// Crash stops the member at once: connections are reset and open transactions
// are gone, and the log stays.
func (m *Member) Crash() {
	m.mu.Lock()
	if !m.running {
		m.mu.Unlock()
		return
	}
	m.running = false
	close(m.stop)
	m.listener.Close()
	open := m.openSessions()
	m.mu.Unlock()
	m.Resume()
	for _, s := range open {
		s.abort()
	}
}

func (m *Member) openSessions() []*session {
	open := make([]*session, 0, len(m.sessions))
	for _, s := range m.sessions {
		open = append(open, s)
	}
	return open
}

// Rejoin restarts a stopped member the way the platform does after a repair: as
// a replica whose log was rewound to that of the present primary.
func (m *Member) Rejoin() error {
	primary := m.group.Primary()
	if primary != m {
		primary.mu.Lock()
		records := append([]record(nil), primary.wal.records...)
		primary.mu.Unlock()
		m.mu.Lock()
		m.wal.rewind(&wal{records: records})
		m.inRecovery, m.readOnly, m.source = true, false, primary
		m.mu.Unlock()
	}
	return m.Start()
}

// Pause freezes the member, as a stopped process: connections stay open and
// nothing is answered until Resume.
func (m *Member) Pause() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.paused == nil {
		m.paused = make(chan struct{})
	}
}

// Resume ends a pause.
func (m *Member) Resume() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.paused != nil {
		close(m.paused)
		m.paused = nil
	}
}

// awake blocks while the member is paused.
func (m *Member) awake() {
	for {
		m.mu.Lock()
		paused := m.paused
		m.mu.Unlock()
		if paused == nil {
			return
		}
		<-paused
	}
}

// SetLag adds to the time that a record takes to be received and to be applied.
func (m *Member) SetLag(by time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lagBy = by
}

// SetApplyLag replaces the time that a received record waits to be applied.
func (m *Member) SetApplyLag(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.options.ApplyLag = d
}

// SetSlow adds to the time that every statement takes.
func (m *Member) SetSlow(by time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.slow = by
}

// Value returns what the member's state holds for a key of a table.
func (m *Member) Value(table, key string) (string, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	v, ok := m.wal.state[table+"/"+key]
	return v, ok
}

func (m *Member) accept(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go serveSession(m, conn.(aborter))
	}
}

// replicate pulls records from the source until stop closes.
func (m *Member) replicate(stop <-chan struct{}) {
	t := time.NewTicker(replicationTick)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			m.awake()
			m.pull()
		case <-stop:
			return
		}
	}
}

// pull receives and applies the records that are due.
func (m *Member) pull() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.inRecovery {
		return
	}
	now := time.Now()
	if source := m.source; source != nil && m.linked(source) {
		m.receive(source, now.Add(-m.options.ReceiveLag-m.lagBy))
	}
	due := now.Add(-m.options.ReceiveLag - m.options.ApplyLag - 2*m.lagBy)
	n := m.wal.applied
	for n < len(m.wal.records) && !m.wal.records[n].at.After(due) {
		n++
	}
	m.wal.applyTo(n)
}

func (m *Member) linked(source *Member) bool {
	return m.group.options.Network.Reachable(source.options.Addr.Addr(), m.options.Addr.Addr())
}

// receive copies the source's records written up to due. The source is locked
// while m is: only replicas lock a second member, and a replica is never a
// source.
func (m *Member) receive(source *Member, due time.Time) {
	source.mu.Lock()
	defer source.mu.Unlock()
	if !source.running || source.paused != nil || source.inRecovery || !m.wal.follows(&source.wal) {
		return
	}
	for _, r := range source.wal.records[len(m.wal.records):] {
		if r.at.After(due) {
			return
		}
		m.wal.records = append(m.wal.records, r)
		m.timeline = r.timeline
	}
	if len(m.wal.records) == len(source.wal.records) {
		m.timeline = source.timeline
	}
}

// streaming reports whether a replica's receiver is connected, as the replica
// itself believes. A cut link goes unnoticed, as it does within a receiver's
// timeout; a stopped source does not.
func (m *Member) streaming() bool {
	source := m.source
	if !m.inRecovery || source == nil {
		return false
	}
	source.mu.Lock()
	defer source.mu.Unlock()
	return source.running && !source.inRecovery && m.wal.follows(&source.wal)
}

// reload makes the settings of ALTER SYSTEM active.
func (m *Member) reload() {
	if v, ok := m.settings["primary_conninfo"]; ok && m.inRecovery {
		m.source = nil
		if addr, err := parseConninfo(v); err == nil {
			m.source = m.group.byAddr(addr)
		}
	}
	m.readOnly = m.settings["default_transaction_read_only"] == "on"
	if v, ok := m.settings[fenceSetting]; ok {
		m.fence = parseFence(v)
	}
}

// promote ends recovery: everything received is applied first, and the member
// starts a timeline of its own.
func (m *Member) promote() bool {
	if !m.inRecovery {
		return false
	}
	m.wal.applyTo(len(m.wal.records))
	m.inRecovery, m.source, m.readOnly = false, nil, false
	delete(m.settings, "default_transaction_read_only")
	m.timeline++
	m.group.mu.Lock()
	m.group.promotions++
	m.group.mu.Unlock()
	return true
}
