package quota

import (
	"maps"
	"slices"
	"time"

	"pearlatch/core/account"
	"pearlatch/core/leadership"
)

// Ledger is what the granter of some accounts knows of what it has given. Use NewLedger. It is not safe for
// concurrent use.
type Ledger struct {
	// first and token are the granter's fencing tokens: those of its duty's begin, and the newest one. All that
	// lie between are its own.
	first, token int64
	terms        Terms
	began        time.Time
	// certain is until when no successor can have begun, and until when this granter's time is over.
	certain, until time.Time
	// before holds the hosts that have been granters and may still take themselves for the present one.
	before map[string]bool
	// scope is what this granter may hand out, since the time since.
	scope scope
	since time.Time
	// hosts holds all hosts that may hold portions, or have been granters.
	hosts map[string]*host
	// silent counts those that have not told what they hold; told is when the last of them had, or zero.
	silent int
	told   time.Time
	books  map[string]*book
	// dozing holds the hosts whose portions count as asleep.
	dozing map[string]*host
}

// host is a host that may hold portions.
type host struct {
	// process is the one that answered last, or empty. Portions of an earlier process ended with it.
	process string
	// silent is true until the host has told what it holds of earlier granters, or has certainly ended.
	silent bool
	// told is when it told, and heard when it last told, or asked.
	told, heard time.Time
	// asked is the ID of its last question, which was answered at answeredAt if answered is true.
	asked      uint64
	answered   bool
	answeredAt time.Time
	// asleepUntil is until when its portions certainly sleep, and awake whether they count as awake.
	asleepUntil time.Time
	awake       bool
	// holds names the accounts of which it may hold portions.
	holds map[string]bool
}

// NewLedger returns the ledger of a granter with a fencing token, which begins now. The hosts named may hold
// portions of earlier granters, and those before may have been one.
func NewLedger(token int64, t Terms, now time.Time, mayHold, before []string) *Ledger {
	l := &Ledger{
		first: token, token: token, terms: t, began: now, since: now, before: map[string]bool{},
		hosts: map[string]*host{}, books: map[string]*book{}, dozing: map[string]*host{},
	}
	for _, id := range before {
		l.before[id] = true
	}
	for _, id := range slices.Concat(mayHold, before) {
		l.hosts[id] = &host{silent: true, awake: true, holds: map[string]bool{}}
	}
	if l.silent = len(l.hosts); l.silent == 0 {
		l.told = now
	}
	l.Extend(now)
	l.scope = l.scopeAt(now)
	return l
}

// scopeAt returns what this granter may hand out. One that was taken away from its holder before is believed to go on
// until it has told, or for as long as it counts on its duty.
func (l *Ledger) scopeAt(now time.Time) scope {
	switch {
	case !now.Before(l.certain):
		return apart
	case l.Known(now):
		return whole
	case len(l.before) == 0 || !now.Before(l.began.Add(leadership.DutyValidity+drift)):
		return sole
	}
	return apart
}

// look takes over what the granter may hand out from now on. Until now it was the smaller part.
func (l *Ledger) look(now time.Time) {
	s := l.scopeAt(now)
	if s == l.scope {
		return
	}
	if s == sole {
		clear(l.before) // they have noticed, for good
	}
	for _, b := range l.books {
		b.advance(now, min(s, l.scope))
	}
	l.scope, l.since = s, now
}

// Token returns the granter's fencing token.
func (l *Ledger) Token() int64 { return l.token }

// Raise records that the granter's fencing token has risen.
func (l *Ledger) Raise(token int64) { l.token = max(l.token, token) }

// Extend records that the granter held its duty at a time, so that whoever succeeds it begins no sooner. It goes
// on for Lifetime, with what its followers hold.
func (l *Ledger) Extend(held time.Time) {
	l.certain, l.until = held.Add(leadership.DutyValidity), held.Add(Lifetime)
}

// Knows reports whether the host may be given portions: it is among those that a successor will ask.
func (l *Ledger) Knows(id string) bool { return l.hosts[id] != nil }

// Admit lets more hosts get portions. A successor must know of them first.
func (l *Ledger) Admit(ids ...string) {
	for _, id := range ids {
		if l.hosts[id] == nil {
			l.hosts[id] = &host{awake: true, holds: map[string]bool{}}
		}
	}
}

// Before returns the hosts that may still take themselves for the granter, in order.
func (l *Ledger) Before() []string { return slices.Sorted(maps.Keys(l.before)) }

// Forget drops a host that holds nothing, and of which no successor need know.
func (l *Ledger) Forget(id string) { delete(l.hosts, id) }

// Silent returns the hosts that have not told what they hold, in order.
func (l *Ledger) Silent() []string {
	var out []string
	for id, h := range l.hosts {
		if h.silent {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// Unheard returns the hosts that hold portions and were not heard of since, in order. They may have ended.
func (l *Ledger) Unheard(since time.Time) []string {
	var out []string
	for id, h := range l.hosts {
		if len(h.holds) > 0 && h.heard.Before(since) {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// Ended records that the host's process has certainly ended, and holds nothing.
func (l *Ledger) Ended(id string, now time.Time) {
	h := l.hosts[id]
	if h == nil {
		return
	}
	l.look(now)
	for name := range h.holds {
		l.books[name].advance(now, l.scope)
		l.books[name].drop(id)
	}
	clear(h.holds)
	delete(l.dozing, id)
	delete(l.before, id)
	h.process, h.awake, h.asleepUntil = "", true, time.Time{}
	if !h.silent {
		return
	}
	h.silent = false
	if l.silent--; l.silent == 0 {
		l.told = now
	}
	l.look(now)
	for _, b := range l.books {
		b.advance(now, l.scope)
		b.silent = l.silent
	}
}

// Holding is what a host holds of an account.
type Holding struct {
	Account string
	Portion Portion
	Lasts   time.Duration
}

// Told records what a process of a host holds of earlier granters. From then on it takes nothing from them. It
// must answer a question of the granter, so that processes are heard of in the order in which they ran.
func (l *Ledger) Told(id, process string, holds []Holding, now time.Time) {
	h := l.hosts[id]
	if h == nil {
		return
	}
	if h.process == process {
		h.heard = now // what it got from this granter is known
		return
	}
	l.Ended(id, now)
	h.process, h.told, h.heard, h.asked, h.answered, h.asleepUntil, h.awake = process, now, now, 0, false, time.Time{}, true
	for _, each := range holds {
		b := l.book(each.Account, account.Quota{}, now)
		b.advance(now, l.scope)
		b.set(id, part{held: each.Portion, offered: each.Portion, awake: true, until: now.Add(each.Lasts + drift), demand: each.Portion.Rate / portionHeadroom})
		b.serial = max(b.serial, each.Portion.Serial)
		h.holds[each.Account] = true
	}
}

// Heard reports whether the host's process has told what it holds.
func (l *Ledger) Heard(id, process string) bool {
	h := l.hosts[id]
	return h != nil && !h.silent && h.process == process
}

// Question is what a host asks of an account.
type Question struct {
	Account string
	// Quota is the account's, as the granter's configuration says.
	Quota account.Quota
	// Holding is the serial of the portion that the host has, and Tokens what it has left.
	Holding uint64
	Tokens  float64
	// Back is how many tokens it gives back.
	Back int
	// Demand is how many operations its callers begin per second.
	Demand float64
	// Waiting is how many operations wait for a token, and Room how many more tokens the host would like.
	Waiting int
	Room    float64
}

// Grant answers a Question.
type Grant struct {
	Account string
	Serial  uint64
	// Rate and Cap make the host's portion, which lasts for so long from when it was asked for.
	Rate, Cap float64
	Lasts     time.Duration
	// Tokens are for operations that wait, and Ahead for those that come.
	Tokens int
	Ahead  float64
	// After is when more may be left for operations that got none.
	After time.Duration
}

// Answer answers an Inquiry.
type Answer struct {
	// Asleep is true if the host's portions are to sleep while it reaches the granter.
	Asleep bool
	Grants []Grant
}

// Answer answers a process of a host. It returns false for one that takes tokens from another granter or has not
// told yet what it holds, and once this granter's time is over.
func (l *Ledger) Answer(id, process string, in Inquiry, now time.Time) (Answer, bool) {
	h := l.hosts[id]
	if h == nil || h.silent || h.process != process || in.ID <= h.asked || in.Token < l.first || in.Token > l.token || !now.Before(l.until) {
		return Answer{}, false
	}
	l.look(now)
	l.wakeAll(now)
	if in.Heard == h.asked && h.answered {
		// The host counts from when it asked, which is a little earlier.
		h.asleepUntil = h.answeredAt.Add(chargedAfter)
		l.lull(id, h, now)
	}
	known := l.Known(now)
	// An earlier granter may count on it that the host's portions sleep, and hand out what they leave.
	asleep := known || now.Sub(h.told) >= chargedAfter
	h.heard, h.asked, h.answered, h.answeredAt = now, in.ID, asleep, now
	out := Answer{Asleep: asleep, Grants: make([]Grant, len(in.Questions))}
	for i, q := range in.Questions {
		h.holds[q.Account] = true
		out.Grants[i] = l.ask(id, h, q, known, now)
	}
	return out, true
}

// lull counts the host's portions as asleep.
func (l *Ledger) lull(id string, h *host, now time.Time) {
	if !h.awake || !now.Before(h.asleepUntil) {
		return
	}
	h.awake = false
	l.dozing[id] = h
	for name := range h.holds {
		l.books[name].wake(id, false, now, l.scope)
	}
}

// wakeAll counts the portions of hosts as awake that have not been heard of for long.
func (l *Ledger) wakeAll(now time.Time) {
	for id, h := range l.dozing {
		if now.Before(h.asleepUntil) {
			continue
		}
		h.awake = true
		delete(l.dozing, id)
		for name := range h.holds {
			l.books[name].wake(id, true, h.asleepUntil, l.scope)
		}
	}
}

// ask answers a question of a host.
func (l *Ledger) ask(id string, h *host, q Question, known bool, now time.Time) Grant {
	b := l.book(q.Account, q.Quota, now)
	b.quota = l.terms.quota(q.Quota)
	b.advance(now, l.scope)
	if known {
		b.prune(now)
	}
	p := part{}
	if known := b.parts[id]; known != nil {
		p = *known
	}
	p.awake = h.awake
	p.learn(q)
	b.supply += float64(q.Back)
	b.set(id, p)
	out := l.give(b, &p, q, known, now)
	b.set(id, p)
	b.limit(l.scope)
	out.Tokens, out.Ahead = b.hand(q.Waiting, min(q.Room, p.offered.Cap-q.Tokens))
	p.stock += out.Ahead
	b.set(id, p)
	if out.Tokens < q.Waiting {
		out.After = b.wait(l.scope)
		if l.scope == apart && now.Before(l.certain) {
			// It will be the only one.
			out.After = min(out.After, max(shortestWait, l.began.Add(leadership.DutyValidity+drift).Sub(now)))
		}
	}
	return out
}

// give makes a new portion for the host.
func (l *Ledger) give(b *book, p *part, q Question, known bool, now time.Time) Grant {
	p.offered = b.portion(p, known)
	b.serial++
	p.offered.Serial = b.serial
	lasts := min(Lifetime, l.until.Sub(now))
	if known || p.until.IsZero() {
		p.until = now.Add(lasts + drift)
	} else {
		// Earlier granters who do not know of this one count on its end.
		lasts = min(lasts, p.until.Sub(now)-drift)
	}
	return Grant{Account: q.Account, Serial: p.offered.Serial, Rate: p.offered.Rate, Cap: p.offered.Cap, Lasts: lasts}
}

// Known reports whether the granter knows what hosts hold: all have told, or what earlier granters gave has ended.
func (l *Ledger) Known(now time.Time) bool { return !now.Before(l.knownAt()) }

// knownAt is from when on it knows, as far as it can tell now.
func (l *Ledger) knownAt() time.Time {
	end := l.began.Add(Lifetime + drift)
	if l.told.IsZero() || end.Before(l.told) {
		return end
	}
	return l.told
}

// book returns the book of an account. One that nobody has asked for has gathered tokens for as long as the granter
// could hand them out.
func (l *Ledger) book(name string, q account.Quota, now time.Time) *book {
	b := l.books[name]
	if b == nil {
		at := l.since
		if l.scope == apart {
			at = now
		}
		begins := l.terms.beginning()
		b = &book{quota: l.terms.quota(q), at: at, supply: begins, begins: begins, silent: l.silent, parts: map[string]*part{}}
		l.books[name] = b
	}
	return b
}
