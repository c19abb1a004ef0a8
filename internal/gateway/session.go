package gateway

import (
	"context"
	"maps"
	"time"

	"pearlatch/core/freshness"
	"pearlatch/core/group"
)

// Session is a caller's session. It is used by one goroutine at a time.
type Session struct {
	host     *Host
	database string
	// values and prepared belong to the caller until the session ends.
	values   map[string]string
	prepared map[string]Shape
	state    State
	tx       *transaction
	// mark is the position of the session's last write.
	mark group.Position
	// last is the identifier of the newest request.
	last string
}

// Open starts a session with a database, or returns a *Failure.
func (h *Host) Open(database string) (*Session, *Failure) {
	if _, _, err := h.route(database); err != nil {
		return nil, err
	}
	h.sessions.Add(1)
	return &Session{host: h, database: database}, nil
}

// Close ends the session. An open transaction is rolled back.
func (s *Session) Close() {
	s.host.sessions.Add(-1)
	if s.tx != nil {
		s.host.log("caller_left", "request", s.last, "database", s.database, "group", s.tx.work.group.name,
			"transaction_ms", s.host.now().Sub(s.tx.started).Milliseconds(), "outcome", "rolled back")
		s.tx.rollback()
		s.tx = nil
	}
}

// Unheard records that the answer to the newest request could not be delivered.
func (s *Session) Unheard() {
	s.host.log("answer_undelivered", "request", s.last, "database", s.database)
}

// State returns the transaction status.
func (s *Session) State() State { return s.state }

// Do runs a statement and returns the answer for the caller.
func (s *Session) Do(ctx context.Context, r Request) Reply {
	arrived := s.host.now()
	s.last = r.ID
	if s.state == Broken {
		return s.doBroken(r)
	}
	var reply Reply
	switch st := r.Statement.(type) {
	case Begin:
		reply = s.begin(st, arrived)
	case Commit:
		reply = s.commit(ctx, r, arrived)
	case Rollback:
		reply = s.rollback()
	case Read, Write, Execute:
		reply = s.run(ctx, r, arrived)
	case Set:
		s.set(st)
	case Prepare:
		s.prepare(st)
	case Forget:
		reply = s.forget(st)
	default:
		reply = fail(Malformed, "not a statement")
	}
	reply.State = s.state
	s.note(r, arrived, reply)
	return reply
}

// note counts a statement that was answered, and writes a line if it failed.
func (s *Session) note(r Request, arrived time.Time, reply Reply) {
	if reply.Failure == nil {
		if reply.Signature != "" {
			s.host.meters.statement(s.database, "served", s.host.now().Sub(arrived))
		}
		return
	}
	s.host.meters.statement(s.database, reply.Failure.Code.String(), s.host.now().Sub(arrived))
	s.host.logFailure(s, r, arrived, reply.Failure)
}

func fail(c Code, detail string) Reply { return Reply{Failure: &Failure{Code: c, Detail: detail}} }

// doBroken answers while a failed transaction waits for its end.
func (s *Session) doBroken(r Request) Reply {
	switch r.Statement.(type) {
	case Rollback:
		s.state = Idle
		return Reply{}
	case Commit:
		s.state = Idle
		return fail(Aborted, "the transaction had failed and was rolled back")
	}
	reply := fail(Malformed, "the transaction has failed and must be ended")
	reply.State = s.state
	return reply
}

func (s *Session) set(st Set) {
	if s.values == nil {
		s.values = map[string]string{}
	}
	s.values[st.Name] = st.Value
}

func (s *Session) prepare(st Prepare) {
	if s.prepared == nil {
		s.prepared = map[string]Shape{}
	}
	s.prepared[st.Name] = st.Shape
}

func (s *Session) forget(st Forget) Reply {
	if _, ok := s.prepared[st.Name]; !ok {
		return fail(UnknownStatement, st.Name)
	}
	delete(s.prepared, st.Name)
	return Reply{}
}

// work describes a statement or a transaction on its way to a member.
type work struct {
	group    *Group
	route    Route
	need     need
	writes   bool
	shape    *Shape
	verify   bool
	deadline time.Time
}

// plan says what a request needs. For a transaction, arrived is its start.
func (s *Session) plan(arrived time.Time, writes bool) (work, *Failure) {
	route, g, err := s.host.route(s.database)
	if err != nil {
		return work{}, err
	}
	w := work{group: g, route: route, writes: writes}
	w.need = need{priority: route.Priority, arrived: arrived}
	if writes {
		w.need.primary = true
		return w, nil
	}
	switch c := route.Class.(type) {
	case freshness.Latest:
		w.need.primary, w.verify = true, true
	case freshness.OwnWrites:
		w.need.after = s.mark
	case freshness.MaxAge:
		p, ok := g.covering(arrived.Add(-c.Age))
		if !ok {
			// Nothing was heard of the primary within the age: only it knows.
			w.need.primary, w.verify = true, true
			break
		}
		w.need.after = p
		if s.mark.Compare(p) > 0 {
			w.need.after = s.mark
		}
	}
	return w, nil
}

// resolve returns whether the request writes, and the shape that it executes.
func (s *Session) resolve(r Request) (writes bool, shape *Shape, failure *Failure) {
	switch st := r.Statement.(type) {
	case Write:
		return true, nil, nil
	case Execute:
		known, ok := s.prepared[st.Name]
		if !ok {
			return false, nil, &Failure{UnknownStatement, st.Name}
		}
		return known.Writes, &known, nil
	}
	return false, nil, nil
}

// run answers a read or a write.
func (s *Session) run(ctx context.Context, r Request, arrived time.Time) Reply {
	writes, shape, failure := s.resolve(r)
	if failure != nil {
		return s.failed(Reply{Failure: failure})
	}
	if s.state == InTransaction {
		return s.runInTransaction(ctx, r, arrived, writes, shape)
	}
	w, failure := s.plan(arrived, writes)
	if failure != nil {
		return Reply{Failure: failure}
	}
	w.shape = shape
	w.deadline = arrived.Add(w.route.Timeout)
	return s.runSingle(ctx, r, w)
}

// runSingle runs a statement outside a transaction. It offers the statement
// again only while it has certainly not run, or when it only reads.
func (s *Session) runSingle(ctx context.Context, r Request, w work) Reply {
	for {
		w.need.deadline = w.waitUntil()
		p, err := w.group.acquire(ctx, w.need)
		if err != nil {
			return refuse(w)
		}
		reply, next := s.try(r, &w, p)
		if next == nil {
			return reply
		}
		if !w.group.now().Before(w.waitUntil()) {
			return next.final(w)
		}
		s.host.meters.retry(w.group.name, next.reason())
		next.pause(ctx)
	}
}

const (
	// waitShare of a statement's timeout may go by while it waits. A caller that
	// is refused then still has time to try elsewhere: the users' callers give an
	// operation up after 600 ms where the timeout is 800 ms.
	waitShare = 0.35
	// waitTargets is how many times the latency objective a statement may wait:
	// beyond that its answer is of little use.
	waitTargets = 1.2
)

// waitUntil returns until when the statement may wait without an offer.
func (w *work) waitUntil() time.Time {
	started := w.deadline.Add(-w.route.Timeout)
	wait := time.Duration(waitShare * float64(w.route.Timeout))
	if w.route.Target > 0 {
		wait = min(wait, time.Duration(waitTargets*float64(w.route.Target)))
	}
	return started.Add(wait)
}

// retryAfter is when a refused caller may come back: about the time in which a
// queue of a member's slots empties.
const retryAfter = "retry_after_ms=50"

func refuse(w work) Reply {
	if w.need.primary {
		return fail(Busy, "no connection to the primary in time, "+retryAfter)
	}
	return fail(Busy, "no connection in time, "+retryAfter)
}

// again says why a statement is offered again.
type again struct {
	failure *Failure
	wait    time.Duration
}

func (a *again) pause(ctx context.Context) {
	if a.wait == 0 {
		return
	}
	t := time.NewTimer(a.wait)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// reason names why, for counting.
func (a *again) reason() string {
	if a.failure == nil {
		return "moved"
	}
	return a.failure.Code.String()
}

func (a *again) final(w work) Reply {
	if a.failure != nil {
		return Reply{Failure: a.failure}
	}
	return refuse(w)
}

// try runs a statement once on the connection. It returns an answer, or why the
// statement is to be offered again.
func (s *Session) try(r Request, w *work, p *pooled) (Reply, *again) {
	g := w.group
	if next := s.prove(w, p); next != nil {
		return Reply{}, next
	}
	asked := g.now()
	left := w.deadline.Sub(asked)
	if w.writes && asked.Sub(p.used) > staleConnection && !s.refresh(w, p) {
		return Reply{}, &again{}
	}
	layout, name := p.layout(s.values, w.shape)
	commands := append(layout, Forward{Request: r, After: w.need.after, Name: name})
	replies, err := p.conn.Do(patience(left, w.writes), commands...)
	if err != nil {
		g.discard(p, err)
		w.need.avoid = p.member.ID
		return s.broke(r, w, p, err)
	}
	reply := replies[len(replies)-1]
	return s.judge(w, p, asked, reply)
}

const (
	// staleConnection is how long a connection may have been unused before a
	// write is preceded by a question of our own: a connection that went silent
	// would leave the write's outcome unknown.
	staleConnection = 500 * time.Millisecond
	// minPatience is the least time for which a read is left with a member.
	minPatience = 250 * time.Millisecond
	// refreshTimeout bounds the question before a write on an unused connection.
	refreshTimeout = 150 * time.Millisecond
)

// patience is how long a member has to answer. A read is offered to another
// member when half of the time has gone by.
func patience(left time.Duration, writes bool) time.Duration {
	if writes {
		return max(left, time.Millisecond)
	}
	return max(min(left, max(left/2, minPatience)), time.Millisecond)
}

// prove makes sure that the member leads, where the statement needs that and
// would not find out by itself.
func (s *Session) prove(w *work, p *pooled) *again {
	if !w.verify || w.group.proven(w.need.arrived) {
		return nil
	}
	leads, err := w.group.verify(p, w.deadline.Sub(w.group.now()))
	switch {
	case isBusy(err):
		w.group.shed(p.member)
		w.group.release(p)
		return &again{wait: busyPause}
	case err != nil:
		w.group.discard(p, err)
		return &again{}
	case !leads:
		w.group.release(p)
		w.group.lostLeader(p.member.ID)
		return &again{}
	}
	return nil
}

// refresh asks whether the connection still works.
func (s *Session) refresh(w *work, p *pooled) bool {
	_, err := p.conn.Do(refreshTimeout, Reset{})
	if err != nil {
		w.group.discard(p, err)
		return false
	}
	clear(p.values)
	clear(p.shapes)
	return true
}

// broke decides what a connection that failed means for a statement.
func (s *Session) broke(r Request, w *work, p *pooled, err error) (Reply, *again) {
	s.host.logOffer(s, r, w, p.member.ID, "broken", err)
	if w.writes {
		return fail(InDoubt, "the connection to "+p.member.ID+" failed after the write was sent"), nil
	}
	return Reply{}, &again{failure: &Failure{TimedOut, "no answer from " + p.member.ID}}
}

// busyPause is the pause before a member with a full queue is asked again: one
// short statement's time.
const busyPause = 8 * time.Millisecond

// judge decides what a member's answer means for a statement.
func (s *Session) judge(w *work, p *pooled, asked time.Time, reply Reply) (Reply, *again) {
	g := w.group
	g.took(p.member, asked)
	g.applied(p.member, reply.Position)
	p.used = g.now()
	if reply.Failure == nil {
		g.grown(p.member)
		if w.writes {
			g.observe(asked, reply.Position)
			s.raise(reply.Position)
		}
		g.release(p)
		return reply, nil
	}
	next := &again{failure: reply.Failure}
	switch reply.Failure.Code {
	case Busy:
		g.shed(p.member)
		w.need.avoid = p.member.ID
		next.wait = busyPause
	case Lagging:
		g.lagged(p.member, reply.Position)
	case ReadOnly:
		g.lostLeader(p.member.ID)
	case UnknownStatement:
		clear(p.shapes)
	case Failed, TimedOut:
		if w.writes || w.need.avoid != "" {
			g.release(p)
			return reply, nil
		}
		w.need.avoid = p.member.ID
	default:
		g.release(p)
		return reply, nil
	}
	g.release(p)
	return Reply{}, next
}

// raise lifts the session's mark.
func (s *Session) raise(p group.Position) {
	if p.Compare(s.mark) > 0 {
		s.mark = p
	}
}

// failed breaks a transaction, if there is one, and returns the reply.
func (s *Session) failed(reply Reply) Reply {
	if s.tx != nil {
		s.tx.rollback()
		s.tx = nil
		s.state = Broken
	}
	return reply
}

// maxShapes bounds the prepared statements that a connection keeps.
const maxShapes = 64

// layout returns the commands that bring the connection to the session's values
// and a prepared shape, and the connection's name of that shape.
func (p *pooled) layout(values map[string]string, shape *Shape) (out []Command, name string) {
	reset := len(p.shapes) >= maxShapes
	for k := range p.values {
		if _, ok := values[k]; !ok {
			reset = true
		}
	}
	if reset {
		out = append(out, Reset{})
		clear(p.values)
		clear(p.shapes)
	}
	for k, v := range values {
		if old, ok := p.values[k]; !ok || old != v {
			out = append(out, Assign{k, v})
		}
	}
	maps.Copy(p.values, values)
	if shape == nil {
		return out, ""
	}
	name, ok := p.shapes[*shape]
	if !ok {
		name = shapeName(len(p.shapes))
		p.shapes[*shape] = name
		out = append(out, Define{name, *shape})
	}
	return out, name
}
