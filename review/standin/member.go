//go:build review

package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	slotsPerMember    = 3                      // slots of the site
	queuePerMember    = 24                     // queue of the site
	connsPerMember    = 23                     // max_conns of the site
	handshakeTime     = 12 * time.Millisecond  // handshake of the site
	promoteTime       = 300 * time.Millisecond // a promote of the site
	replicationDelay  = time.Millisecond       // one way between zones
	heartbeatInterval = 1200 * time.Millisecond
	// busyMoment is how long a member that is rolled back is busy: PROTOCOL.md says "a moment".
	busyMoment = 300 * time.Millisecond
)

// position is a log position. The zero value is written as "-".
type position struct{ term, lsn int }

func (p position) String() string { return fmt.Sprintf("%d.%d", p.term, p.lsn) }

func (p position) before(q position) bool {
	return p.term < q.term || p.term == q.term && p.lsn < q.lsn
}

// service is a group of members.
type service struct {
	name  string
	store *store
	rec   *recorder
	// work returns how long a statement takes.
	work func() time.Duration

	mu      sync.Mutex
	members []*member
	primary *member
	token   int64
	conns   int
	// onPromote is called in a goroutine when the next promotion is accepted. onLed is called when a promotion takes
	// effect, with s.mu held, before the other members follow.
	onPromote func(target *member)
	onLed     func(promoted *member)
	// committed holds the positions of commits, by the id of the request.
	committed map[string]position
}

// member is a model of a member: the line protocol of PROTOCOL.md, read strictly (a line ends with CR LF).
type member struct {
	s        *service
	id, zone string
	addr     string

	// s.mu guards the fields below.
	leads     bool
	term      int
	fence     int
	log       []position
	busyUntil time.Time
	sequence  int
	sessions  map[net.Conn]bool
	executing int
	queued    int
	slotFree  *sync.Cond
	// cut is true while the member is parted from the other members, but not from the hosts.
	cut bool
	// deaf is true while the member receives nothing from the primary, and leaving once it has reported draining.
	deaf, leaving bool
}

func newService(name string, st *store, rec *recorder, zones []string, work func() time.Duration) (*service, error) {
	s := &service{name: name, store: st, rec: rec, work: work, committed: map[string]position{}}
	for _, zone := range zones {
		if _, err := s.start(zone); err != nil {
			return nil, err
		}
	}
	s.primary = s.members[0]
	s.primary.leads = true
	return s, nil
}

// start starts a member as a replica.
func (s *service) start(zone string) (*member, error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	m := &member{s: s, id: fmt.Sprintf("i-%s-%d", s.name, len(s.members)), zone: zone, addr: lis.Addr().String(),
		term: 1, log: []position{{1, 1}}, sessions: map[net.Conn]bool{}}
	m.slotFree = sync.NewCond(&s.mu)
	s.members = append(s.members, m)
	go m.accept(lis)
	go m.beat()
	return m, nil
}

// beat writes the member's entry to the store.
func (m *member) beat() {
	for {
		m.s.mu.Lock()
		m.register()
		m.s.mu.Unlock()
		time.Sleep(heartbeatInterval)
	}
}

// register writes the entry. s.mu must be held.
func (m *member) register() {
	m.sequence++
	role, state := "replica", "ready"
	if m.leads {
		role = "primary"
	}
	if m.leaving {
		state = "draining"
	}
	m.s.store.put("servers/"+m.id, fmt.Appendf(nil, `{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":%q,"cold_remaining_ms":0,"db_role":%q,"sequence":%d}`,
		m.s.name, m.addr, m.zone, slotsPerMember, state, role, m.sequence))
}

func (m *member) accept(lis net.Listener) {
	for {
		nc, err := lis.Accept()
		if err != nil {
			return
		}
		go m.serve(nc)
	}
}

// leave reports that the member is to be replaced. It serves on.
func (m *member) leave() {
	m.s.mu.Lock()
	defer m.s.mu.Unlock()
	m.leaving = true
	m.s.rec.note("member %s reports draining", m.id)
	m.register()
}

// addReplica starts a new member, which receives the log of the primary.
func (s *service) addReplica(zone string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	m, err := s.start(zone)
	if err != nil {
		return err
	}
	m.follow(s.primary)
	s.rec.note("member %s starts, and has the log up to %v", m.id, m.end())
	return nil
}

// follow takes over the log of the primary. What the member had received and the primary had not is rolled back, for which
// the member is busy for a moment. s.mu must be held.
func (m *member) follow(p *member) {
	common := 0
	for common < len(m.log) && common < len(p.log) && m.log[common] == p.log[common] {
		common++
	}
	if common < len(m.log) {
		m.busyUntil = time.Now().Add(busyMoment)
		m.s.rec.note("member %s rolls back %v", m.id, m.log[common:])
	}
	m.log, m.term, m.fence = slices.Clone(p.log), p.term, 0
}

// promote makes a member the primary, some time after the call. The result is the HTTP status.
func (s *service) promote(id string, token int64) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if token < s.token {
		return 409
	}
	s.token = token
	i := slices.IndexFunc(s.members, func(m *member) bool { return m.id == id })
	if i < 0 {
		return 409
	}
	m := s.members[i]
	if m == s.primary && m.leads {
		return 200
	}
	if s.onPromote != nil {
		go s.onPromote(m)
		s.onPromote = nil
	}
	time.AfterFunc(promoteTime, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if m == s.primary && m.leads {
			return
		}
		term := 0
		for _, o := range s.members {
			term = max(term, o.term)
			o.leads = false
		}
		s.primary, m.leads, m.fence, m.term = m, true, 0, term+1
		s.rec.note("member %s leads term %d from %v", m.id, m.term, m.end())
		if s.onLed != nil {
			s.onLed(m)
		}
		m.register()
		for _, o := range s.members {
			if o.cut {
				s.rec.note("member %s reaches the other members again", o.id)
				o.cut = false // primary_cut, how = heals: it ends as another is promoted
			}
			if o != m {
				o.follow(m)
				o.register()
			}
		}
	})
	return 200
}

// memberSession is a connection to a member.
type memberSession struct {
	m        *member
	conn     int
	state    string
	readOnly bool
	wrote    bool
	values   map[string]string
	prepared map[string]string // kind and shape
}

// readStrictLine reads a line that ends with CR LF.
func readStrictLine(r *bufio.Reader) (string, error) {
	var b strings.Builder
	for {
		part, err := r.ReadString('\n')
		b.WriteString(part)
		if err != nil {
			return "", err
		}
		if strings.HasSuffix(part, "\r\n") {
			return strings.TrimSuffix(b.String(), "\r\n"), nil
		}
	}
}

func (m *member) serve(nc net.Conn) {
	defer nc.Close()
	r := bufio.NewReader(nc)
	line, err := readStrictLine(r)
	if err != nil {
		return
	}
	time.Sleep(handshakeTime)
	f := strings.Fields(line)
	m.s.mu.Lock()
	switch {
	case len(f) < 3 || f[0] != "START" || f[1] != m.s.name || len(f) > 3 && f[3] != m.id:
		m.s.mu.Unlock()
		_, _ = io.WriteString(nc, "ERR MISROUTED "+m.id+"\r\n")
		return
	case len(m.sessions) >= connsPerMember:
		m.s.mu.Unlock()
		_, _ = io.WriteString(nc, "ERR TOOMANY "+m.id+"\r\n")
		return
	}
	m.sessions[nc] = true
	m.s.conns++
	s := &memberSession{m: m, conn: m.s.conns, state: "I", values: map[string]string{}, prepared: map[string]string{}}
	text := "READY I " + m.end().String() + "\r\n"
	m.s.mu.Unlock()
	defer func() {
		m.s.mu.Lock()
		delete(m.sessions, nc)
		m.s.mu.Unlock()
	}()
	for {
		if _, err := io.WriteString(nc, text); err != nil {
			return
		}
		line, err := readStrictLine(r)
		if err != nil {
			return
		}
		id, statement, ok := strings.Cut(strings.TrimPrefix(line, "QUERY "), " ")
		if !strings.HasPrefix(line, "QUERY ") || !ok {
			return
		}
		out, err := s.query(id, statement)
		if err != nil {
			return
		}
		text = out
	}
}

// end returns the end of the log. s.mu must be held.
func (m *member) end() position { return m.log[len(m.log)-1] }

// errReplaced breaks the connection: the member was replaced before a replica had received the commit.
var errReplaced = errors.New("the member was replaced")

// query runs a statement and returns the reply.
func (s *memberSession) query(id, text string) (string, error) {
	m := s.m
	m.s.mu.Lock()
	defer m.s.mu.Unlock()
	body, err := s.run(id, text)
	if err != nil {
		return "", err
	}
	if strings.HasPrefix(body, "ERR ") && s.state == "T" && !strings.HasPrefix(body, "ERR BUSY") {
		s.state = "E"
	}
	return body + "READY " + s.state + " " + m.end().String() + "\r\n", nil
}

func fail(code, detail string) string { return "ERR " + code + " " + detail + "\r\n" }

const done = "DONE -\r\n"

// run returns the reply without READY. s.mu of the service must be held.
func (s *memberSession) run(id, text string) (string, error) {
	m := s.m
	if time.Now().Before(m.busyUntil) {
		// The member is being rolled back. BUSY: the statement was not run.
		if id == "-" {
			m.s.rec.note("member %s conn %d: BUSY to %q", m.id, s.conn, text)
		}
		return fail("BUSY", m.id+" is being rolled back"), nil
	}
	word, rest, _ := strings.Cut(text, " ")
	if word == "AFTER" {
		at, statement, _ := strings.Cut(rest, " ")
		termText, lsnText, _ := strings.Cut(at, ".")
		term, _ := strconv.Atoi(termText)
		lsn, _ := strconv.Atoi(lsnText)
		if m.end().before(position{term, lsn}) {
			return fail("LAGGING", m.id), nil
		}
		text = statement
		word, rest, _ = strings.Cut(text, " ")
	}
	if id == "-" {
		if out, ok := s.control(word, rest); ok {
			return out, nil
		}
	}
	if s.state == "E" && word != "ROLLBACK" && word != "COMMIT" {
		return fail("MALFORMED", "the transaction has failed"), nil
	}
	if s.state == "T" && !s.readOnly && !m.leads && !(word == "COMMIT" && !s.wrote) {
		return fail("READONLY", m.id), nil
	}
	switch word {
	case "BEGIN":
		if rest != "READ" && !m.leads {
			return fail("READONLY", m.id), nil
		}
		s.state, s.readOnly, s.wrote = "T", rest == "READ", false
		return done, nil
	case "ROLLBACK":
		s.state, s.wrote = "I", false
		return done, nil
	case "SET":
		name, value, _ := strings.Cut(rest, " ")
		s.values[name] = value
		return done, nil
	case "PREPARE":
		name, shape, _ := strings.Cut(rest, " ")
		s.prepared[name] = shape
		return done, nil
	case "FORGET":
		delete(s.prepared, rest)
		return done, nil
	case "READ", "WRITE", "EXEC", "COMMIT":
		return s.execute(id, word, text, rest)
	}
	return fail("MALFORMED", word), nil
}

// control runs what only the system itself sends.
func (s *memberSession) control(word, rest string) (string, bool) {
	m := s.m
	term, _ := strconv.Atoi(rest)
	switch word {
	case "RESET":
		clear(s.values)
		clear(s.prepared)
		return done, true
	case "PAUSE":
		if !m.leads && term > m.term {
			m.fence = max(m.fence, term)
		}
	case "RESUME":
		m.fence = 0
	case "DEMOTE":
		if m.leads && term > m.term {
			m.leads = false
			m.register()
		}
	case "STATUS":
	default:
		return "", false
	}
	role := "replica"
	if m.leads {
		role = "primary"
	}
	return fmt.Sprintf("ROW %s %d %s %d 0 %d %d\r\n", role, m.term, m.end(), m.fence, m.executing, len(m.sessions)) + done, true
}

// execute runs a read, write or commit in one of the member's slots.
func (s *memberSession) execute(id, word, text, rest string) (string, error) {
	m := s.m
	m.s.rec.arrived(m.id, s.conn, id, text)
	writes := word == "WRITE"
	if word == "EXEC" {
		name, _, _ := strings.Cut(rest, " ")
		shape, ok := s.prepared[name]
		if !ok {
			return fail("NOSTMT", name), nil
		}
		writes = strings.HasPrefix(shape, "WRITE")
	}
	if writes && !m.leads {
		return fail("READONLY", m.id), nil
	}
	if m.queued >= queuePerMember {
		return fail("BUSY", m.id), nil
	}
	for m.queued++; m.executing >= slotsPerMember; {
		m.slotFree.Wait()
	}
	m.queued--
	m.executing++
	m.s.mu.Unlock()
	time.Sleep(m.s.work())
	m.s.mu.Lock()
	m.executing--
	m.slotFree.Signal()
	var values []string
	for _, name := range slices.Sorted(maps.Keys(s.values)) {
		values = append(values, name+"="+s.values[name])
	}
	commits := word == "COMMIT" && s.wrote || writes && s.state == "I"
	if word == "COMMIT" {
		failed := s.state == "E"
		s.state = "I"
		if failed {
			return fail("ABORTED", m.id), nil
		}
		s.wrote = false
	} else if s.state == "T" {
		s.wrote = s.wrote || writes
	}
	if commits {
		if err := s.commit(id); err != nil {
			return "", err
		}
	}
	m.s.rec.ran(m.id, s.conn, id, text, strings.Join(values, ";"))
	out := ""
	if !writes && word != "COMMIT" {
		out = "ROW " + strings.Join(values, ";") + "\r\n"
	}
	return out + fmt.Sprintf("DONE %s/%s\r\n", m.id, id), nil
}

// commit appends to the log and waits until a replica has received it.
func (s *memberSession) commit(id string) error {
	m := s.m
	if !m.leads {
		return errReplaced
	}
	at := position{m.term, m.end().lsn + 1}
	m.log = append(slices.Clone(m.log), at)
	index := len(m.log)
	m.s.committed[id] = at
	for {
		m.s.mu.Unlock()
		time.Sleep(replicationDelay)
		m.s.mu.Lock()
		if !m.leads || len(m.log) < index || m.log[index-1] != at {
			return errReplaced
		}
		received := 0
		for _, o := range m.s.members {
			if o != m && !m.cut && !o.deaf && o.fence <= m.term && o.term == m.term {
				if len(o.log) < len(m.log) {
					o.log = slices.Clone(m.log)
				}
				received++
			}
		}
		if received > 0 {
			return nil
		}
	}
}
