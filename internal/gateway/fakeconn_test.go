package gateway

import (
	"context"
	"fmt"
	"maps"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"pearlatch/core/group"
)

func (s *fakeSite) Dial(ctx context.Context, m Member, account string) (Conn, error) {
	s.mu.Lock()
	f := s.member(m.ID)
	crashed, silent, atLimit := f.crashed, f.silent, f.conns >= s.maxConns
	if !crashed && !silent && !atLimit {
		f.conns++
		s.peakConns = max(s.peakConns, f.conns)
	}
	s.mu.Unlock()
	switch {
	case crashed:
		return nil, errors.WithStack(syscall.ECONNREFUSED)
	case silent:
		<-ctx.Done()
		return nil, ctx.Err()
	case atLimit:
		return nil, &Failure{TooManyConnections, m.ID}
	}
	time.Sleep(10 * time.Millisecond)
	return &fakeConn{site: s, m: f, incarnation: f.incarnation, account: account}, nil
}

type fakeConn struct {
	site *fakeSite
	m    *fakeMember
	// incarnation is the incarnation of the member that the connection was opened to.
	incarnation int
	// account is the client account that the connection was opened for.
	account   string
	state     State
	readWrite bool // the transaction may write
	values    map[string]string
	prepared  map[string]PreparedStatement
	closed    bool
	// severed, if set, reports whether the network path to the member is cut.
	severed func() bool
	// signed counts the signatures given on the connection.
	signed atomic.Int64
	// beforeRelease, if set, is called before a fence is released.
	beforeRelease func()
}

func (c *fakeConn) Alive() bool {
	c.site.mu.Lock()
	defer c.site.mu.Unlock()
	return !c.m.crashed && c.m.incarnation == c.incarnation
}

func (c *fakeConn) Close() error {
	c.site.mu.Lock()
	defer c.site.mu.Unlock()
	if !c.closed {
		c.closed = true
		c.m.conns--
	}
	return nil
}

// awaitNoReply returns the error of a call to a member that can't answer, after the timeout if the
// member is silent. It returns nil if the member can answer.
func (c *fakeConn) awaitNoReply(timeout time.Duration) error {
	c.site.mu.Lock()
	crashed, silent := c.m.crashed || c.m.resets || c.m.incarnation != c.incarnation, c.m.silent
	c.site.mu.Unlock()
	silent = silent || c.severed != nil && c.severed()
	if crashed {
		return errors.WithStack(syscall.ECONNRESET)
	}
	if silent {
		time.Sleep(timeout)
		return context.DeadlineExceeded
	}
	return nil
}

func (c *fakeConn) Control(timeout time.Duration, o ControlCommand) (Status, error) {
	if err := c.awaitNoReply(timeout); err != nil {
		return Status{}, err
	}
	if _, releases := o.(Release); releases && c.beforeRelease != nil {
		c.beforeRelease()
	}
	c.site.mu.Lock()
	defer c.site.mu.Unlock()
	m := c.m
	if m.resetsControl > 0 {
		m.resetsControl--
		return Status{}, errors.WithStack(syscall.ECONNRESET)
	}
	if _, isProbe := o.(Probe); m.full || m.refusesProbes && isProbe {
		return Status{}, &Failure{Busy, m.id}
	}
	switch o := o.(type) {
	case Probe:
		c.site.probes++
	case Fence:
		if !m.isPrimary && o.Term > m.term {
			m.fenced = o.Term
		}
	case Release:
		m.fenced = 0
	case Demote:
		if m.isPrimary && o.Term > m.term {
			m.isPrimary = false
			m.demoted++
		}
	}
	s := Status{IsPrimary: m.isPrimary || m.claimsPrimary, Received: m.received, Term: m.term, Fenced: m.fenced, Connections: m.conns, Running: m.running}
	if m.lagging && !m.isPrimary {
		s.Lag = time.Minute
	}
	return s, nil
}

func (c *fakeConn) Do(timeout time.Duration, commands ...Command) ([]Reply, error) {
	var out []Reply
	for _, command := range commands {
		if err := c.awaitNoReply(timeout); err != nil {
			return out, err
		}
		r, err := c.run(timeout, command)
		if err != nil {
			return out, err
		}
		r.State = c.state
		if r.Failure != nil && r.Failure.Code != Busy && c.state == InTransaction {
			c.state, r.State = InFailedTransaction, InFailedTransaction
		}
		out = append(out, r)
	}
	return out, nil
}

// Receive fails, since the member answers each command once.
func (c *fakeConn) Receive() (Reply, error) { return Reply{}, errors.New("no answer is to come") }

// run runs a command unless the member refuses it. A refusal with Failed comes after the command was carried out.
func (c *fakeConn) run(timeout time.Duration, command Command) (Reply, error) {
	c.site.mu.Lock()
	refuses := c.site.refuses
	c.site.mu.Unlock()
	if refuses == nil {
		return c.carryOut(timeout, command)
	}
	f := refuses(command)
	switch {
	case f == nil:
		return c.carryOut(timeout, command)
	case f.Code == Failed:
		if _, err := c.carryOut(timeout, command); err != nil {
			return Reply{}, err
		}
	}
	return Reply{Failure: f, Position: c.applied()}, nil
}

func (c *fakeConn) carryOut(timeout time.Duration, command Command) (Reply, error) {
	switch command := command.(type) {
	case RunStatement:
		return c.runStatement(timeout, command)
	case OpenTransaction:
		return c.open(command), nil
	case Abort:
		c.state = Idle
	case Assign:
		if c.values == nil {
			c.values = map[string]string{}
		}
		c.values[command.Name] = command.Value
	case Define:
		if c.prepared == nil {
			c.prepared = map[string]PreparedStatement{}
		}
		c.prepared[command.Name] = command.Prepared
	case Reset:
		c.values, c.prepared = nil, nil
	}
	return Reply{Position: c.applied()}, nil
}

func (c *fakeConn) applied() group.Position {
	c.site.mu.Lock()
	defer c.site.mu.Unlock()
	return c.m.applied
}

func (c *fakeConn) open(o OpenTransaction) Reply {
	c.site.mu.Lock()
	defer c.site.mu.Unlock()
	if !o.ReadOnly && !c.m.isPrimary {
		return Reply{Failure: &Failure{NotPrimary, c.m.id}}
	}
	if o.After.Compare(c.m.applied) > 0 {
		return Reply{Failure: &Failure{Lagging, c.m.id}, Position: c.m.applied}
	}
	c.state, c.readWrite = InTransaction, !o.ReadOnly
	return Reply{Position: c.m.applied}
}

func (c *fakeConn) runStatement(timeout time.Duration, f RunStatement) (Reply, error) {
	c.site.mu.Lock()
	refused := c.refuse(f)
	work := c.m.work
	c.site.mu.Unlock()
	switch _, ends := f.Request.Statement.(Commit); {
	case ends && c.state != InTransaction:
		c.state, refused = Idle, &Failure{Malformed, "no transaction is open"}
	case c.state == InFailedTransaction:
		refused = &Failure{Malformed, "the transaction has failed"}
	}
	if refused != nil {
		return Reply{Failure: refused, Position: c.applied()}, nil
	}
	c.site.mu.Lock()
	c.m.running++
	c.site.mu.Unlock()
	time.Sleep(min(work, timeout))
	c.site.mu.Lock()
	c.m.running--
	if _, writes := f.Request.Statement.(Write); !c.m.isPrimary && (writes || c.readWrite && c.state == InTransaction) {
		c.site.mu.Unlock()
		return Reply{Failure: &Failure{NotPrimary, c.m.id}, Position: c.applied()}, nil
	}
	c.m.runs = append(c.m.runs, f.Request.ID)
	c.site.ranFor[f.Request.ID] = c.account
	c.site.ranUnder = append(c.site.ranUnder, statementRun{f.Request.ID, maps.Clone(c.values), c.prepared[f.Name], c.state == InTransaction})
	broken := c.m.breaksAfter > 0
	if broken {
		c.m.breaksAfter--
	}
	c.site.mu.Unlock()
	if work > timeout || broken {
		return Reply{}, context.DeadlineExceeded
	}
	row := c.m.id
	if v, ok := c.values["v"]; ok {
		row += " v=" + v
	}
	if f.Name != "" {
		row += " " + c.prepared[f.Name].Text
	}
	switch f.Request.Statement.(type) {
	case Commit:
		c.state = Idle
		return c.commit(timeout, f.Request.ID, c.readWrite)
	case Write:
		if c.state == Idle {
			return c.commit(timeout, f.Request.ID, true)
		}
	}
	return Reply{Rows: []string{row}, Signature: c.sign(f.Request.ID), Position: c.applied()}, nil
}

// sign returns a signature that names the member and the request and is unique.
func (c *fakeConn) sign(id string) string {
	return fmt.Sprint("by ", c.m.id, " ", c.signed.Add(1), " ", id)
}

func (c *fakeConn) refuse(f RunStatement) *Failure {
	_, writes := f.Request.Statement.(Write)
	switch {
	case c.m.full:
		return &Failure{Busy, c.m.id}
	case f.Name != "" && c.prepared[f.Name] == (PreparedStatement{}):
		return &Failure{UnknownPrepared, f.Name}
	case f.After.Compare(c.m.applied) > 0:
		return &Failure{Lagging, c.m.id}
	case !c.m.isPrimary && (writes || c.state == InTransaction && c.readWrite):
		return &Failure{NotPrimary, c.m.id}
	}
	return nil
}

// commit appends a record to the member's log and fails after the timeout if no replica receives it. A write is refused
// if the member is no longer the primary: it may have been replaced since it began to run the statement, and would
// otherwise acknowledge a write as a replica, in the new primary's term.
func (c *fakeConn) commit(timeout time.Duration, id string, writes bool) (Reply, error) {
	c.site.mu.Lock()
	defer c.site.mu.Unlock()
	m := c.m
	if writes && !m.isPrimary {
		return Reply{Failure: &Failure{NotPrimary, m.id}, Position: m.applied}, nil
	}
	m.received = group.Position{Term: m.term, LSN: m.received.LSN + 1}
	m.applied = m.received
	acknowledged := false
	for _, o := range c.site.members {
		if o == m || o.crashed || o.receivesNothing || o.silent || o.partitioned || m.partitioned || o.fenced > m.term || o.term > m.term {
			continue
		}
		o.received, acknowledged = m.received, true
		if !o.lagging {
			o.applied = m.received
		}
	}
	if !acknowledged {
		c.site.mu.Unlock()
		time.Sleep(timeout)
		c.site.mu.Lock()
		return Reply{}, context.DeadlineExceeded
	}
	c.site.acknowledgedWrites = append(c.site.acknowledgedWrites, m.received)
	return Reply{Signature: c.sign(id), Position: m.received}, nil
}
