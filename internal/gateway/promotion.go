package gateway

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"pearlatch/core/group"
)

const (
	// watchPause is the pause between two questions to all members by the holder.
	watchPause = 350 * time.Millisecond
	// orderTimeout bounds an order to a member.
	orderTimeout = 300 * time.Millisecond
	// silentRounds is how many rounds a primary may leave unanswered. With
	// orderTimeout it makes about 0.6 s of silence; a connection that is refused
	// counts twice.
	silentRounds = 2
	// silentPause is the pause before a primary that didn't answer is asked again.
	silentPause = 20 * time.Millisecond
	// stuckTime is how long the replicas may receive nothing of what the primary
	// has written until it counts as cut off from them.
	stuckTime = 600 * time.Millisecond
	// reliefRounds is how many rounds in a row a primary must be at its limit while
	// no replica is fresh, until another one takes over.
	reliefRounds = 2
	// reliefPause is the least time between two changes of primary for relief: each
	// aborts the transactions that are open.
	reliefPause = 8 * time.Second
	// promoteTimeout bounds the call that orders a promotion. It is answered within
	// milliseconds, unless the answer is lost; then it is given again.
	promoteTimeout = 350 * time.Millisecond
	// leadTimeout is how long a promoted member may take to lead.
	leadTimeout = 2500 * time.Millisecond
	// leadWait is how long a promoted member may take to lead until the order is
	// given again, since it may have been lost. The users' members take up to 1 s;
	// an order for a member that is about to lead changes nothing.
	leadWait = 400 * time.Millisecond
	// leadPoll is the pause between two looks at it.
	leadPoll = 30 * time.Millisecond
)

// watcher is what the holder of a duty remembers between its rounds.
type watcher struct {
	*duty
	// primary is the member that led last.
	primary Member
	// silent counts rounds without an answer of the primary.
	silent int
	// written is a position of the primary that no replica had received at
	// writtenAt and has not since, or zero.
	written   group.Position
	writtenAt time.Time
	// overloaded counts rounds in which the primary was at its limit and no replica
	// fresh; relieved is when that last led to a change of primary.
	overloaded int
	relieved   time.Time
}

// watch looks after the group while this host holds the duty.
func (d *duty) watch(ctx context.Context) {
	w := &watcher{duty: d}
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.group.alarm:
		case <-time.After(w.pause()):
		}
		if !d.holds() {
			w.silent, w.written, w.primary = 0, group.Position{}, Member{}
			continue
		}
		w.round(ctx)
	}
}

// pause is how long to wait until the next round. A primary that didn't answer is
// asked again soon.
func (w *watcher) pause() time.Duration {
	if w.silent > 0 && w.silent < silentRounds {
		return silentPause
	}
	return watchPause
}

// round asks all members and acts on the answers.
func (w *watcher) round(ctx context.Context) {
	started := w.host.now()
	answers := w.group.orderAll(w.group.list(), Probe{}, orderTimeout)
	if w.group.adopt(answers) {
		w.led(ctx, answers)
		return
	}
	if w.primary.ID == "" {
		w.primary = w.group.leaderMember()
	}
	if w.group.heardSince(w.primary.ID, started) {
		// It serves statements, and its queue is too full for questions.
		w.silent = 0
		return
	}
	w.silent += silence(w.primary, answers)
	if w.silent >= silentRounds && w.settled() {
		w.log("primary_lost", "member", w.primary.ID, "rounds", w.silent)
		w.failover(ctx, started, answers)
	}
}

// silence returns how much a round without a primary says against the one before.
func silence(primary Member, answers []answered) int {
	for _, a := range answers {
		if a.member.ID != primary.ID {
			continue
		}
		switch {
		case a.err == nil:
			return silentRounds // it answers, and doesn't lead
		case refusedByMember(a.err):
			return 0 // it lives
		case connectionRefused(a.err):
			return silentRounds
		}
		return 1
	}
	return silentRounds // the platform no longer lists it
}

// settled reports whether the duty has been held for long enough to order.
func (w *watcher) settled() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.host.now().Sub(w.since) >= takeoverPause
}

// led acts on a round in which a primary answered.
func (w *watcher) led(ctx context.Context, answers []answered) {
	w.silent = 0
	w.primary = w.group.leaderMember()
	primary, replicas := split(w.primary.ID, answers)
	if open := w.openOrder(); open != "" && open != w.primary.ID {
		// The order may be carried out at any moment, so the fences that make it safe
		// stay, and it is given again.
		w.promote(ctx, open, choice{})
		return
	}
	w.raise(ctx)
	if !w.settled() || !w.current() {
		return
	}
	w.releaseLeftovers(primary, replicas)
	stuck := w.stuck(primary, replicas)
	switch {
	case w.primary.Leaving || w.group.primaryMissing() > missingGrace:
		w.handOver(ctx, replicas)
	case w.relieves(primary, replicas):
		w.handOver(ctx, replicas)
	case stuck:
		w.log("primary_cut_off", "member", w.primary.ID, "position", primary.status.Received, "answers", describe(replicas))
		w.failover(ctx, w.host.now(), answers)
	}
}

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

// raise makes the platform refuse orders of earlier holders, by naming the
// primary that leads anyway.
func (w *watcher) raise(ctx context.Context) {
	if w.current() {
		return
	}
	w.mu.Lock()
	token := w.token
	w.mu.Unlock()
	call, cancel := context.WithTimeout(ctx, promoteTimeout)
	defer cancel()
	err := w.host.ports.Promoter.Promote(call, w.host.settings.Host, token, w.group.name, w.primary.ID)
	if err != nil {
		w.log("token_not_raised", "token", token, "err", err)
		if errors.Is(err, ErrFenced) {
			w.refused(ctx)
		}
		return
	}
	w.acknowledged(token)
}

// refused settles whether the duty is still ours after the platform refused its
// token: only then a higher one is to be had.
func (w *watcher) refused(ctx context.Context) {
	if err := w.renewToken(ctx); err != nil {
		w.log("duty_doubtful", "err", err)
	}
}

func split(primary string, answers []answered) (answered, []answered) {
	var p answered
	var rest []answered
	for _, a := range answers {
		if a.member.ID == primary {
			p = a
			continue
		}
		rest = append(rest, a)
	}
	return p, rest
}

// stuck reports whether the replicas have received nothing of what the primary
// wrote for too long: it waits for their acknowledgement, and so do its callers.
func (w *watcher) stuck(primary answered, replicas []answered) bool {
	var best group.Position
	for _, r := range replicas {
		if refusedByMember(r.err) {
			// It lives, and has no room to tell how far it is.
			return false
		}
		if r.err == nil && r.status.Received.Compare(best) > 0 {
			best = r.status.Received
		}
	}
	now := w.host.now()
	if len(replicas) == 0 {
		return false
	}
	if w.written == (group.Position{}) || best.Compare(w.written) >= 0 {
		w.written, w.writtenAt = group.Position{}, now
		if primary.status.Received.Compare(best) > 0 {
			w.written = primary.status.Received
		}
		return false
	}
	return now.Sub(w.writtenAt) > stuckTime
}

// releaseLeftovers ends fences that an earlier holder left behind.
func (w *watcher) releaseLeftovers(primary answered, replicas []answered) {
	var fenced []Member
	for _, r := range replicas {
		if r.err == nil && r.status.Fenced > primary.status.Term {
			fenced = append(fenced, r.member)
		}
	}
	if len(fenced) == 0 {
		return
	}
	w.log("fences_released", "members", len(fenced))
	w.group.orderAll(fenced, Release{}, orderTimeout)
}

// failover promotes a replica in place of a primary that does not serve. The members
// were listed at the given time, and answered since.
func (w *watcher) failover(ctx context.Context, started time.Time, answers []answered) {
	term := max(newest(answers), w.group.seenTerm()) + 1
	var replicas []Member
	for _, a := range answers {
		if a.member.ID != w.primary.ID {
			replicas = append(replicas, a.member)
		}
	}
	fenced := w.group.orderAll(replicas, Fence{Term: term}, orderTimeout)
	if w.misled(fenced) {
		w.log("failover_off", "why", "another member leads", "answers", describe(fenced))
		return
	}
	best, ok := w.successor(answers, fenced)
	if !ok {
		w.log("no_successor", "term", term, "answers", describe(fenced))
		return
	}
	w.log("successor", "member", best, "term", term, "answers", describe(fenced),
		"found_ms", w.host.now().Sub(started).Milliseconds())
	w.promote(ctx, best, choice{listed: started, held: heldBy(best, fenced)})
}

// successor returns the member to promote: a fenced replica, or one that holds what a
// primary held that has been demoted. If nobody else does, that one leads again.
func (w *watcher) successor(answers, fenced []answered) (string, bool) {
	if best, ok := group.Successor(nil, w.standbys(fenced)); ok {
		return best.Member, true
	}
	primary, _ := split(w.primary.ID, answers)
	if primary.member.ID == "" || primary.err != nil || primary.status.Leads || primary.status.Received.Term < newest(fenced) {
		return "", false
	}
	end := primary.status.Received
	if best, ok := group.Successor(&end, w.standbys(fenced)); ok {
		return best.Member, true
	}
	return w.primary.ID, !w.primary.Leaving
}

// heldBy returns the end of the member's log among the answers, or the zero position.
func heldBy(id string, answers []answered) group.Position {
	for _, a := range answers {
		if a.member.ID == id {
			return a.status.Received
		}
	}
	return group.Position{}
}

// misled reports whether the primary that is to be replaced is not the last one: a
// member leads that it took for a replica, or one has led in a later term and can't
// be told from a replica now. Replicas would then acknowledge to an unknown primary.
func (w *watcher) misled(answers []answered) bool {
	for _, a := range answers {
		if a.err == nil && a.status.Leads {
			w.group.adopt(answers)
			return true
		}
	}
	return newest(answers) > w.group.seenTerm() && silent(answers) > 0
}

// silent counts the members without an answer.
func silent(answers []answered) int {
	n := 0
	for _, a := range answers {
		if a.err != nil {
			n++
		}
	}
	return n
}

// standbys turns answers of fenced replicas into what the choice of a successor
// needs.
func (w *watcher) standbys(answers []answered) []group.Standby {
	lost := w.group.lost()
	var out []group.Standby
	for _, a := range answers {
		if a.err != nil && lost[a.member.ID] {
			continue // it has left: what it may have acknowledged is asked of Complete
		}
		out = append(out, group.Standby{
			Member: a.member.ID, Answered: a.err == nil, Fenced: a.err == nil, Received: a.status.Received,
			Leaving: a.member.Leaving || lost[a.member.ID], Complete: w.group.complete(a.status.Received),
		})
	}
	return out
}

// describe lists answers for a log line.
func describe(answers []answered) []string {
	out := make([]string, len(answers))
	for i, a := range answers {
		out[i] = a.member.ID + " " + a.status.Received.String()
		if a.err != nil {
			out[i] = a.member.ID + " " + a.err.Error()
		}
	}
	return out
}

// handOver replaces a leaving primary while it goes on serving: all replicas but
// the successor are fenced, so that every write from then on is acknowledged by
// the successor.
func (w *watcher) handOver(ctx context.Context, replicas []answered) {
	started := w.host.now()
	best, ok := heir(replicas)
	if !ok {
		w.log("no_heir", "answers", describe(replicas))
		return
	}
	term := newest(replicas) + 1
	var others []Member
	for _, r := range replicas {
		if r.member.ID != best.ID {
			others = append(others, r.member)
		}
	}
	fenced := w.group.orderAll(others, Fence{Term: term}, orderTimeout)
	if !w.caughtUp(ctx, best, nil, fenced) && !w.demoted(ctx, term, best, fenced) {
		w.log("heir_behind", "member", best.ID, "answers", describe(fenced))
		w.group.orderAll(others, Release{}, orderTimeout)
		return
	}
	w.log("successor", "member", best.ID, "term", term, "planned", true)
	w.promote(ctx, best.ID, choice{listed: started, held: heldBy(best.ID, replicas)})
}

// heir returns the replica that takes over from a leaving primary.
func heir(replicas []answered) (Member, bool) {
	var best answered
	for _, r := range replicas {
		if r.err != nil || r.member.Leaving {
			continue
		}
		if best.member.ID == "" || r.status.Received.Compare(best.status.Received) > 0 {
			best = r
		}
	}
	return best.member, best.member.ID != ""
}

// caughtUpRounds bounds the wait for the heir to receive what others had.
const caughtUpRounds = 10

// caughtUp reports whether the heir lacks nothing that fenced replicas, or a demoted
// primary, hold.
func (w *watcher) caughtUp(ctx context.Context, heir Member, end *group.Position, fenced []answered) bool {
	for range caughtUpRounds {
		s, err := w.group.command(heir, Probe{}, orderTimeout)
		if err != nil {
			return false
		}
		all := append(w.standbys(fenced), group.Standby{
			Member: heir.ID, Answered: true, Received: s.Received, Complete: w.group.complete(s.Received),
		})
		best, ok := group.Successor(end, all)
		if ok && best.Member == heir.ID {
			return true
		}
		if !sleep(ctx, leadPoll) {
			return false
		}
	}
	return false
}

// demoted makes a leaving primary a replica where a replica that doesn't answer leaves
// open what was acknowledged, and reports whether the heir holds all that it held.
// Otherwise the primary is to lead again.
func (w *watcher) demoted(ctx context.Context, term group.Term, heir Member, fenced []answered) bool {
	if silent(fenced) == 0 {
		return false
	}
	s, err := w.group.command(w.primary, Demote{Term: term}, orderTimeout)
	if err != nil || s.Leads {
		return false
	}
	w.log("primary_demoted", "member", w.primary.ID, "position", s.Received)
	if w.caughtUp(ctx, heir, &s.Received, fenced) {
		return true
	}
	w.promote(ctx, w.primary.ID, choice{})
	return false
}

// choice says on what a successor was chosen. The zero value says nothing.
type choice struct {
	// listed is when the members were listed out of which it was chosen.
	listed time.Time
	// held is the end of its log then.
	held group.Position
}

// promote orders the promotion and waits until the member leads.
func (w *watcher) promote(ctx context.Context, id string, c choice) {
	if open := w.openOrder(); open != "" && open != id {
		if w.answers(open) {
			// The order for that member may be carried out at any moment. It lacks
			// nothing, so it is ordered again.
			id, c = open, choice{}
		} else if err := w.renewToken(ctx); err != nil {
			// That member is gone, but may come back and be promoted late: only a
			// higher token makes the platform refuse that.
			w.log("promotion_held_back", "member", id, "open", open, "err", err)
			return
		}
	}
	started := w.host.now()
	for w.holds() && ctx.Err() == nil && w.host.now().Sub(started) < leadTimeout {
		if !w.order(ctx, id) {
			return
		}
		if w.leads(ctx, id) {
			w.group.meters.promotion(w.group.name, "led", w.host.now().Sub(started))
			w.log("promoted", "member", id, "took_ms", w.host.now().Sub(started).Milliseconds())
			w.mu.Lock()
			w.ordered = ""
			w.mu.Unlock()
			w.silent = 0
			w.group.renewed(c)
			return
		}
	}
	w.group.meters.promotion(w.group.name, "open", w.host.now().Sub(started))
	w.log("promotion_open", "member", id)
}

// answers reports whether the member answers.
func (w *watcher) answers(id string) bool {
	for _, m := range w.group.list() {
		if m.ID == id {
			_, err := w.group.command(m, Probe{}, orderTimeout)
			return err == nil || refusedByMember(err)
		}
	}
	return false
}

// order names the successor to the platform. It returns false when the order was
// refused.
func (w *watcher) order(ctx context.Context, id string) bool {
	w.mu.Lock()
	token := w.token
	w.ordered, w.orderedToken = id, token
	w.mu.Unlock()
	call, cancel := context.WithTimeout(ctx, promoteTimeout)
	defer cancel()
	err := w.host.ports.Promoter.Promote(call, w.host.settings.Host, token, w.group.name, id)
	if errors.Is(err, ErrFenced) {
		w.log("promotion_refused", "member", id, "token", token, "err", err)
		w.refused(ctx)
		return false
	}
	if err != nil {
		w.log("promotion_unanswered", "member", id, "token", token, "err", err)
		return true
	}
	w.acknowledged(token - 1)
	return true
}

// leads waits until the member leads.
func (w *watcher) leads(ctx context.Context, id string) bool {
	for until := w.host.now().Add(leadWait); w.host.now().Before(until); {
		for _, m := range w.group.list() {
			if m.ID != id {
				continue
			}
			asked := w.host.now()
			s, err := w.group.command(m, Probe{}, orderTimeout)
			if err == nil && w.group.adopt([]answered{{member: m, asked: asked, status: s}}) {
				return true
			}
		}
		if !sleep(ctx, leadPoll) {
			return false
		}
	}
	return false
}
