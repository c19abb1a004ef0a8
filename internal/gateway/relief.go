package gateway

// relieves reports whether the group is better off with another primary: the present
// one is at its limit, since no replica is fresh enough for the group's routes. A
// promoted replica is up to date at once, however far it was behind, and the old
// primary goes on as a replica that is not behind, so two members serve reads.
func (w *watcher) relieves(primary answered, replicas []answered) bool {
	age := w.group.shortestAge()
	now := w.host.now()
	lagging := len(replicas) > 0 && age > 0
	for _, r := range replicas {
		lagging = lagging && r.err == nil && r.status.Lag > age
	}
	if !lagging || primary.status.Running < primary.member.Slots {
		w.overloaded = 0
		return false
	}
	w.overloaded++
	if w.overloaded < reliefRounds || now.Sub(w.relieved) < reliefPause {
		return false
	}
	w.overloaded, w.relieved = 0, now
	w.log("primary_relieved", "member", primary.member.ID, "running", primary.status.Running, "answers", describe(replicas))
	return true
}
