package gateway

import "pearlatch/internal/usage"

// decision is the last refusal that this host has decided on in a session. Refusals that other hosts have decided on, and
// which are only passed on, are counted by those.
type decision struct {
	failure *Failure
	cause   usage.Cause
}

// refusal returns the refusal of an operation that no member has begun to run, with the time after which its caller is to
// retry.
func (op *operation) refusal(code Code, reason string) *Failure {
	return op.decide(op.notRun(code, reason))
}

// decide records f as a refusal that this host has decided on, and returns it.
func (op *operation) decide(f *Failure) *Failure {
	cause := usage.Load
	if op.need.PrimaryOnly && op.group.primaryMissing() {
		cause = usage.NoPrimary
	}
	*op.decision = decision{f, cause}
	return f
}

// primaryMissing reports whether the primary is unreachable, unknown or unconfirmed.
func (g *Group) primaryMissing() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.primaryOutage(g.now()) > 0
}

// countRefusal counts f by its cause, and returns that, if the session's operation was refused with it on this host.
func (s *Session) countRefusal(target routeTarget, f *Failure) (cause usage.Cause, ok bool) {
	if s.decision.failure != f {
		return 0, false
	}
	s.host.usage.Refused(target.group.name, target.account.Name, s.decision.cause)
	return s.decision.cause, true
}
