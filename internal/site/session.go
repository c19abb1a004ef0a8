package site

import (
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"pearlatch/core/group"
	"pearlatch/internal/gateway"
	"pearlatch/platform"
	"pearlatch/platform/platformtest"
)

// session is a connection to a member.
type session struct {
	member *Member
	// broken is true once the member's process has ended.
	broken bool
	state  gateway.State
	// readOnly tells the transaction's kind, and owner whose it is.
	readOnly bool
	owner    string
	// transaction is the request that began the caller's transaction, once a statement has run in it.
	transaction string
	// writes holds the requests that wrote in the transaction.
	writes []string
	// long is true once the transaction has used LongItem.
	long   bool
	values map[string]string
	shapes map[string]gateway.PreparedStatement
	// recent holds the latest messages and answers, shortened, the newest last.
	recent []string
}

var (
	_ platform.MemberServer   = (*Member)(nil)
	_ platform.MemberSession  = (*session)(nil)
	_ platformtest.Recorder   = (*session)(nil)
	_ platformtest.Positioned = (*session)(nil)
)

// errBroken ends a connection without an answer.
var errBroken = errors.New("the connection is broken")

// Start implements platform.MemberServer.
func (m *Member) Start(groupName, id string) (platform.MemberSession, *gateway.Failure) {
	time.Sleep(m.group.site.options.OpenTime)
	g := m.group
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case groupName != g.name || id != m.id:
		return nil, &gateway.Failure{Code: gateway.Misrouted, Detail: m.id}
	case len(m.sessions) >= g.site.options.Connections:
		return nil, &gateway.Failure{Code: gateway.TooManyConnections, Detail: m.id}
	}
	s := &session{member: m, values: map[string]string{}, shapes: map[string]gateway.PreparedStatement{}}
	m.sessions[s] = true
	m.peak = max(m.peak, len(m.sessions))
	return s, nil
}

// Close implements platform.MemberSession.
func (s *session) Close() {
	s.member.change(func() { delete(s.member.sessions, s) })
}

// Control implements platform.MemberSession.
func (s *session) Control(o gateway.ControlCommand) (gateway.Status, *gateway.Failure, error) {
	m := s.member
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	if s.broken {
		return gateway.Status{}, nil, errBroken
	}
	switch o := o.(type) {
	case gateway.Fence:
		if !m.leads && o.Term > m.term {
			m.fenced = max(m.fenced, o.Term)
		}
	case gateway.Release:
		m.fenced = 0
	case gateway.Demote:
		if m.leads && o.Term > m.term {
			m.leads = false
		}
	}
	return m.status(time.Now()), nil, nil
}

// Do implements platform.MemberSession.
func (s *session) Do(c gateway.Command) (gateway.Reply, error) {
	reply, err := s.run(c)
	if err != nil {
		return gateway.Reply{}, err
	}
	m := s.member
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	if s.broken {
		return gateway.Reply{}, errBroken
	}
	if reply.Failure != nil && s.state == gateway.InTransaction && reply.Failure.Code != gateway.Busy {
		s.state, s.writes = gateway.InFailedTransaction, nil
	}
	reply.State = s.state
	if reply.Position == (group.Position{}) {
		reply.Position = m.catchUp(time.Now())
	}
	if _, forwarded := c.(gateway.RunStatement); forwarded && rand.Float64() < m.lose {
		return gateway.Reply{}, errBroken
	}
	return reply, nil
}

func (s *session) run(c gateway.Command) (gateway.Reply, error) {
	switch c := c.(type) {
	case gateway.RunStatement:
		if d, ok := c.Request.Statement.(gateway.Deallocate); ok {
			s.member.change(func() { delete(s.shapes, d.Name) })
			return gateway.Reply{}, nil
		}
		return s.forward(c)
	case gateway.OpenTransaction:
		return s.open(c), nil
	}
	s.member.group.mu.Lock()
	defer s.member.group.mu.Unlock()
	switch c := c.(type) {
	case gateway.Abort:
		s.endTransaction()
	case gateway.Assign:
		s.values[c.Name] = c.Value
	case gateway.Define:
		s.shapes[c.Name] = c.Prepared
	case gateway.Reset:
		clear(s.values)
		clear(s.shapes)
	}
	return gateway.Reply{}, nil
}

func refuse(c gateway.Code, detail string) gateway.Reply {
	return gateway.Reply{Failure: &gateway.Failure{Code: c, Detail: detail}}
}

func (s *session) open(o gateway.OpenTransaction) gateway.Reply {
	m := s.member
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	switch applied := m.catchUp(time.Now()); {
	case s.state != gateway.Idle:
		return refuse(gateway.Malformed, "a transaction is open")
	case !o.ReadOnly && !m.leads:
		return refuse(gateway.NotPrimary, m.id)
	case o.After.Compare(applied) > 0:
		return refuse(gateway.Lagging, m.id)
	}
	s.endTransaction()
	s.state, s.readOnly, s.long = gateway.InTransaction, o.ReadOnly, false
	return gateway.Reply{}
}

// endTransaction ends the transaction, if any. The group's mu must be held.
func (s *session) endTransaction() {
	s.state, s.owner, s.transaction, s.writes = gateway.Idle, "", "", nil
}

// forward runs a caller's statement.
func (s *session) forward(f gateway.RunStatement) (gateway.Reply, error) {
	m := s.member
	if refused := s.admit(f); refused != nil {
		return gateway.Reply{Failure: refused}, nil
	}
	if !m.await() {
		return refuse(gateway.Busy, m.id), nil
	}
	defer m.change(func() { m.executing = max(0, m.executing-1) })
	m.group.mu.Lock()
	work := time.Duration(float64(m.group.site.options.Work) * m.work)
	if s.isLong(f) {
		work *= longWorkFactor
	}
	m.group.mu.Unlock()
	time.Sleep(work)
	return s.execute(f)
}

// LongItem is the name of an item whose statements, and the commit after them, take longWorkFactor times as long as others.
const LongItem = "long"

const longWorkFactor = 10

// isLong reports whether the statement uses LongItem, or commits a transaction that has. The group's mu must be held.
func (s *session) isLong(f gateway.RunStatement) bool {
	_, ends := f.Request.Statement.(gateway.Commit)
	s.long = s.long || slices.Contains(strings.Fields(f.Request.Text), LongItem)
	long := s.long
	if ends || s.state != gateway.InTransaction {
		s.long = false
	}
	return long
}

// admit refuses what the member can't run, and notes what must not come at all.
func (s *session) admit(f gateway.RunStatement) *gateway.Failure {
	m, site := s.member, s.member.group.site
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	caller, _, _ := strings.Cut(f.Request.ID, "-")
	site.history.receive(f.Request.ID)
	s.checkAsked(f)
	if s.state == gateway.InTransaction {
		if s.owner != "" && s.owner != caller {
			site.history.Broken("PINNED: request %s came inside a transaction of %s on member %s", f.Request.ID, s.owner, m.id)
		}
		s.owner = caller
	}
	_, ends := f.Request.Statement.(gateway.Commit)
	switch {
	case s.state == gateway.InFailedTransaction && ends:
		s.endTransaction()
		return &gateway.Failure{Code: gateway.Aborted, Detail: m.id}
	case s.state == gateway.InFailedTransaction || f.Request.Statement == gateway.Statement(gateway.Unknown{}):
		return &gateway.Failure{Code: gateway.Malformed, Detail: m.id}
	case f.After.Compare(m.catchUp(time.Now())) > 0:
		return &gateway.Failure{Code: gateway.Lagging, Detail: m.id}
	case f.Name != "" && !s.prepared(f.Name):
		return &gateway.Failure{Code: gateway.UnknownPrepared, Detail: f.Name}
	case !m.leads && s.needsPrimary(f):
		return &gateway.Failure{Code: gateway.NotPrimary, Detail: m.id}
	}
	return nil
}

func (s *session) prepared(name string) bool {
	_, ok := s.shapes[name]
	return ok
}

// needsPrimary reports whether only the primary may run the statement.
func (s *session) needsPrimary(f gateway.RunStatement) bool {
	if s.state == gateway.InTransaction {
		_, ends := f.Request.Statement.(gateway.Commit)
		return !s.readOnly && !(ends && len(s.writes) == 0)
	}
	return s.writesWith(f)
}

// writesWith reports whether the statement writes.
func (s *session) writesWith(f gateway.RunStatement) bool {
	switch f.Request.Statement.(type) {
	case gateway.Write:
		return true
	case gateway.Execute:
		return s.shapes[f.Name].Writes
	}
	return false
}

// await takes one of the member's slots, or returns false if its queue is full.
func (m *Member) await() bool {
	o := m.group.site.options
	full := false
	m.change(func() {
		if full = m.queued >= o.Queue; !full {
			m.queued++
		}
	})
	if full {
		return false
	}
	for {
		taken := false
		m.change(func() {
			if taken = m.executing < o.Slots; taken {
				m.executing++
				m.queued = max(0, m.queued-1)
			}
		})
		if taken {
			return true
		}
		time.Sleep(slotPoll)
	}
}

// slotPoll is how often a waiting statement looks for a slot.
const slotPoll = time.Millisecond

// execute runs the statement at the end of its work.
func (s *session) execute(f gateway.RunStatement) (gateway.Reply, error) {
	m := s.member
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	if s.broken {
		return gateway.Reply{}, errBroken
	}
	if !m.leads && s.needsPrimary(f) {
		return refuse(gateway.NotPrimary, m.id), nil
	}
	s.checkSession(f)
	if _, ends := f.Request.Statement.(gateway.Commit); ends {
		return s.commit(f.Request.ID)
	}
	if s.writesWith(f) {
		s.writes = append(s.writes, f.Request.ID)
		if s.state == gateway.Idle {
			return s.commit(f.Request.ID)
		}
	}
	at := m.catchUp(time.Now())
	return gateway.Reply{Rows: []string{s.row(f)}, Signature: sign(f.Request.ID, m.id, at), Position: at}, nil
}

// row tells what the connection held as the statement ran.
func (s *session) row(f gateway.RunStatement) string { return Row(s.values, s.shapes[f.Name].Text) }

// Row returns the row that statements return in a session with the values, by name, and the shape of the prepared statement,
// if any.
func Row(values map[string]string, shape string) string {
	var b strings.Builder
	for _, name := range slices.Sorted(maps.Keys(values)) {
		b.WriteString(name + "=" + values[name] + ";")
	}
	return b.String() + shape
}

// commit ends the transaction, or the single write, and waits until a replica has received it. The
// group's lock is held, but while it waits.
func (s *session) commit(request string) (gateway.Reply, error) {
	m, g := s.member, s.member.group
	writes := s.writes
	s.endTransaction()
	if len(writes) == 0 {
		return gateway.Reply{Signature: sign(request, m.id, m.catchUp(time.Now()))}, nil
	}
	position := group.Position{Term: m.term, LSN: m.end(len(m.log)).LSN + 1}
	index := len(m.log)
	m.log = append(m.log[:index:index], record{position: position, commit: request, writes: writes, at: time.Now()})
	for !g.replicate(m) {
		g.mu.Unlock()
		time.Sleep(replicationPoll)
		g.mu.Lock()
		if s.broken || !m.leads || index >= len(m.log) || m.log[index].position != position {
			return gateway.Reply{}, errBroken
		}
	}
	m.log[index].acknowledged = true
	m.applied = max(m.applied, index+1)
	return gateway.Reply{Signature: sign(request, m.id, position), Position: position}, nil
}

// replicationPoll is how often a commit looks for a replica that receives it.
const replicationPoll = 5 * time.Millisecond

// sign returns the member's proof that it ran a request, with the position that its log was at.
func sign(request, member string, at group.Position) string {
	return fmt.Sprintf("%s/%s/%d/%d", request, member, at.Term, at.LSN)
}
