package gateway

import (
	"time"

	"github.com/pkg/errors"

	"pearlatch/core/account"
	"pearlatch/core/freshness"
	"pearlatch/core/group"
	"pearlatch/core/pool"
)

// operation describes a statement or a transaction and what it requires of the member that runs
// it.
type operation struct {
	group             *Group
	account           *account.Account
	route             Route
	need              pool.ConnRequest
	writes            bool
	prepared          *PreparedStatement
	needsPrimaryCheck bool
	// freshReads is true for a transaction: even if it may write, its reads must not return stale
	// data.
	freshReads bool
	deadline   time.Time
	// shouldForward is true if the operation is to be forwarded to a host that serves the group.
	// That host then decides what is required of the member.
	shouldForward bool
	// toHome is true if this host serves the group but is not the home server of the account. The
	// operation is then forwarded only to the home server, and runs here if that does not take it.
	toHome bool
	// decision is that of the session.
	decision *decision
}

// planOperation returns the operation for a request, with its requirements. For a transaction,
// arrived is the time of its begin.
func (s *Session) planOperation(arrived time.Time, writes bool) (operation, *Failure) {
	target, err := s.route()
	if err != nil {
		return operation{}, err
	}
	g := target.group
	op := operation{group: g, account: target.account, route: target.route, writes: writes, decision: &s.decision, need: pool.ConnRequest{
		Account: target.account.Name, Weight: s.host.accountWeight(target.account.Name), Rank: target.route.Priority, ArrivedAt: arrived,
		RefuseEarly: target.route.LatencyTarget > 0,
	}}
	if s.origin == nil && s.host.shouldForward(g) {
		op.shouldForward = true
		return op, nil
	}
	if s.origin == nil {
		_, op.toHome = g.loads.HomeElsewhere(op.need.Account)
		op.shouldForward = op.toHome
	}
	if !op.shouldForward {
		s.runHere(&op)
	}
	return op, nil
}

// runHere sets the requirements of an operation that runs on this host.
func (s *Session) runHere(op *operation) {
	op.setRequirements(s.lastWrite)
	op.need.Forwardable = op.need.PrimaryOnly && s.mayReroute(op.group)
}

// mayReroute reports whether a statement may run by way of another host if this host can't reach
// the primary. This host declines a forwarded statement in that case, since the host that sent it
// knows alternative hosts.
func (s *Session) mayReroute(g *Group) bool {
	if s.origin != nil {
		return !s.origin.waitForPrimary
	}
	return len(s.host.alternativeHosts(g)) > 0
}

// setRequirements sets which members may run the operation: only the primary, or those that have
// applied the log up to a position. lastWrite is the position of the session's last write.
func (op *operation) setRequirements(lastWrite group.Position) {
	if op.writes {
		// Writes need the primary check too: on a replaced primary they would hang until the
		// deadline and be in doubt.
		op.need.PrimaryOnly, op.needsPrimaryCheck = true, true
		return
	}
	switch c := op.route.Class.(type) {
	case freshness.Latest:
		op.need.PrimaryOnly, op.needsPrimaryCheck = true, true
	case freshness.OwnWrites:
		op.need.MinPosition = lastWrite
	case freshness.MaxAge:
		p, ok := op.group.positionCovering(op.need.ArrivedAt.Add(-c.Age))
		if !ok {
			// No position of the primary is known within the maximum age, so only the primary can answer.
			op.need.PrimaryOnly, op.needsPrimaryCheck = true, true
			break
		}
		op.need.MinPosition = p
		if lastWrite.Compare(p) > 0 {
			op.need.MinPosition = lastWrite
		}
	}
}

// resolvePrepared returns whether the request writes, and the prepared statement that it executes,
// if any.
func (s *Session) resolvePrepared(r Request) (writes bool, prepared *PreparedStatement, failure *Failure) {
	switch st := r.Statement.(type) {
	case Write:
		return true, nil, nil
	case Execute:
		statement, ok := s.prepared[st.Name]
		if !ok {
			return false, nil, &Failure{UnknownPrepared, st.Name}
		}
		return statement.Writes, &statement, nil
	}
	return false, nil, nil
}

const (
	// maxWaitFraction is the share of its timeout that a statement may wait for a member. A caller
	// that is refused after that still has time to try another host: where a route's timeout is
	// 800 ms, users' clients give up an operation after 600 ms.
	maxWaitFraction = 0.35
	// maxWaitLatencyFactor bounds the same wait, as a multiple of the route's latency target: a
	// later reply is of little use.
	maxWaitLatencyFactor = 1.2
)

// waitUntil returns the time until which the statement may wait for a member that can run it.
func (op *operation) waitUntil() time.Time {
	started := op.deadline.Add(-op.route.Timeout)
	wait := time.Duration(maxWaitFraction * float64(op.route.Timeout))
	if op.route.LatencyTarget > 0 {
		wait = min(wait, time.Duration(maxWaitLatencyFactor*float64(op.route.LatencyTarget)))
	}
	return started.Add(wait)
}

func busyReply(op operation) Reply { return Reply{Failure: op.noConnection(Busy, errNoConnection)} }

// noConnection returns the refusal of an operation for which acquireConn has returned err.
func (op *operation) noConnection(code Code, err error) *Failure {
	reason := "no connection in time"
	switch {
	case errors.Is(err, errOverloaded):
		reason = err.Error()
	case op.need.PrimaryOnly:
		reason = "no connection to the primary in time"
	}
	return op.refusal(code, reason)
}

// knownRefusal returns the refusal of a statement that needs a primary which is not expected back in time, or nil. A
// transaction has no deadline yet and is refused with its first statement.
func (op *operation) knownRefusal() *Failure {
	switch {
	case op.deadline.IsZero():
		return nil
	case op.shouldForward && op.writes:
		return op.overloadRefusal(Busy)
	case op.need.Forwardable:
		return nil
	}
	return op.outageRefusal(Busy)
}

// outageRefusal returns a failure with the code if the operation needs the primary and the outage
// is expected to outlast its deadline, or nil.
func (op *operation) outageRefusal(code Code) *Failure {
	if !op.need.PrimaryOnly || op.shouldForward {
		return nil
	}
	op.group.notePrimaryNeeded()
	if _, ok := op.group.outageOutlasts(op.deadline); ok {
		return op.refusal(code, "the primary is not expected back in time")
	}
	return nil
}
