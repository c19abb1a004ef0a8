package load

import "time"

// Refusal reports whether every server would refuse a statement that waits at most wait, since the
// statements that wait there take longer than that. comeBack is then the time after which the caller
// should come back: the shortest queue is expected to take half of wait by then.
//
// Only statements that need the primary are refused, since others may run on a member that is free
// while statements with other requirements wait. All servers must have sent a fresh report with the
// reply to such a statement of the same or a more important rank, and what they have served since is
// deducted, as if nothing had arrived there meanwhile. No server has a free connection to the primary
// before wait is over then, so that no slot stays idle because of a refusal. Servers may serve a newer
// statement first; another one is then refused in its place. Statements with an account are not
// refused, since a server that is fair among accounts may serve them before a long queue of another
// account.
func (t *Table) Refusal(c Choice, k Kind, wait time.Duration, now time.Time) (comeBack time.Duration, refused bool) {
	if c.Account != "" || !k.NeedsPrimary || len(c.Servers) == 0 {
		return 0, false
	}
	least := maxDelay
	for _, s := range c.Servers {
		r, ok := t.reports[s.ID]
		if !ok || !r.fresh(now) || !r.Kind.NeedsPrimary || r.Kind.Rank > k.Rank {
			return 0, false
		}
		least = min(least, r.Delay-now.Sub(r.receivedAt))
	}
	if least <= wait {
		return 0, false
	}
	return least - wait/2, true
}
