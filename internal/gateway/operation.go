package gateway

import (
	"time"

	"pearlatch/core/freshness"
	"pearlatch/core/group"
	"pearlatch/core/pool"
)

// operation describes a statement or a transaction on its way to a member.
type operation struct {
	group             *Group
	route             Route
	need              pool.Request
	writes            bool
	prepared          *PreparedStatement
	needsPrimaryCheck bool
	// freshReads is true for a transaction: also one that may write must read nothing old.
	freshReads bool
	deadline   time.Time
	// servedElsewhere is true when other hosts serve the group. What a member must hold is
	// then decided there.
	servedElsewhere bool
}

// planOperation says what a request needs. For a transaction, arrived is its start.
func (s *Session) planOperation(arrived time.Time, writes bool) (operation, *Failure) {
	at, err := s.route()
	if err != nil {
		return operation{}, err
	}
	g := at.group
	w := operation{group: g, route: at.route, writes: writes, need: pool.Request{Account: at.account.Name, Priority: at.route.Priority, ArrivedAt: arrived}}
	if s.origin == nil && s.host.shouldForward(g) {
		w.servedElsewhere = true
		return w, nil
	}
	w.setRequirements(s.lastWrite)
	w.need.Forwardable = w.need.PrimaryOnly && s.mayReroute(g)
	return w, nil
}

// mayReroute reports whether a statement whose primary this host can't reach may run by
// way of another host. A caller of another host goes back there, and its host knows
// further ones.
func (s *Session) mayReroute(g *Group) bool {
	if s.origin != nil {
		return !s.origin.waitForPrimary
	}
	return len(s.host.alternativeHosts(g)) > 0
}

// setRequirements says what a member must hold, or be, for a session with the mark.
func (w *operation) setRequirements(mark group.Position) {
	if w.writes {
		// What is written must not go to a primary that may have been replaced either: its
		// write would hang until the caller's time is up, and be in doubt.
		w.need.PrimaryOnly, w.needsPrimaryCheck = true, true
		return
	}
	switch c := w.route.Class.(type) {
	case freshness.Latest:
		w.need.PrimaryOnly, w.needsPrimaryCheck = true, true
	case freshness.OwnWrites:
		w.need.MinPosition = mark
	case freshness.MaxAge:
		p, ok := w.group.positionCovering(w.need.ArrivedAt.Add(-c.Age))
		if !ok {
			// Nothing was heard of the primary within the age: only it knows.
			w.need.PrimaryOnly, w.needsPrimaryCheck = true, true
			break
		}
		w.need.MinPosition = p
		if mark.Compare(p) > 0 {
			w.need.MinPosition = mark
		}
	}
}

// resolvePrepared returns whether the request writes, and the shape that it executes.
func (s *Session) resolvePrepared(r Request) (writes bool, shape *PreparedStatement, failure *Failure) {
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

const (
	// maxWaitFraction of a statement's timeout may go by while it waits. A caller that
	// is refused then still has time to try elsewhere: the users' callers give an
	// operation up after 600 ms where the timeout is 800 ms.
	maxWaitFraction = 0.35
	// maxWaitLatencyFactor is how many times the latency objective a statement may wait:
	// beyond that its answer is of little use.
	maxWaitLatencyFactor = 1.2
)

// waitUntil returns until when the statement may wait without an offer.
func (w *operation) waitUntil() time.Time {
	started := w.deadline.Add(-w.route.Timeout)
	wait := time.Duration(maxWaitFraction * float64(w.route.Timeout))
	if w.route.LatencyTarget > 0 {
		wait = min(wait, time.Duration(maxWaitLatencyFactor*float64(w.route.LatencyTarget)))
	}
	return started.Add(wait)
}

func busyReply(w operation) Reply {
	if !w.need.PrimaryOnly {
		return failureReply(Busy, "no connection in time, "+retryAfter(0))
	}
	remaining, _ := w.group.outageOutlasts(w.deadline)
	return failureReply(Busy, "no connection to the primary in time, "+retryAfter(remaining))
}

// outageRefusal returns a refusal with the code for a statement whose primary is not expected
// back in time, or nil.
func (w *operation) outageRefusal(code Code) *Failure {
	if !w.need.PrimaryOnly || w.servedElsewhere {
		return nil
	}
	w.group.notePrimaryNeeded()
	if remaining, ok := w.group.outageOutlasts(w.deadline); ok {
		return outageFailure(code, remaining)
	}
	return nil
}
