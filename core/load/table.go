package load

import "time"

// Server is a host that serves a group.
type Server struct {
	// ID is the host's ID.
	ID string
	// Way is the round trip to the host.
	Way time.Duration
}

// Choice is the choice of a server for a statement.
type Choice struct {
	// Group is the group's name, and Account the statement's account, or empty where callers have
	// none.
	Group, Account string
	// Servers are the servers in the order in which they are tried without regard to accounts and
	// load.
	Servers []Server
	// Random is a random number in [0, 1).
	Random float64
}

// maxReports bounds the number of reports in a Table. A group has one server for each availability
// zone, and at least three; replacements of servers that failed come in addition.
const maxReports = 64

// maxDelay bounds delays. No statement waits that long.
const maxDelay = time.Minute

// toDelay returns the time in which a number of statements is served at a rate above zero.
func toDelay(waiting int, rate float64) time.Duration {
	return time.Duration(min(float64(waiting)/rate, maxDelay.Seconds()) * float64(time.Second))
}

// Table holds the latest reports of the servers of a group and decides in which order a host tries
// them. The zero value has no reports and is ready for use. A Table is not safe for concurrent use.
type Table struct {
	reports map[string]receivedReport
	large   *largeAccounts
	moves   int // see Moves
}

// Moves returns the number of statements that Order has moved to another server because of its load.
func (t *Table) Moves() int { return t.moves }

// receivedReport is the latest report of a server.
type receivedReport struct {
	Report
	// process is the server's process that sent the report, and former the one that sent reports before.
	process, former string
	sequence        uint64
	receivedAt      time.Time
}

// Record records a report that a server's process has sent with a reply. Reports of an earlier
// process and those with an earlier sequence are ignored, since they arrived late.
func (t *Table) Record(server, process string, sequence uint64, r Report, now time.Time) {
	r.Waiting, r.Delay = max(0, r.Waiting), max(0, min(r.Delay, maxDelay))
	known, ok := t.reports[server]
	if ok && (process == known.former || process == known.process && sequence <= known.sequence) {
		return
	}
	if !ok && len(t.reports) >= maxReports {
		t.removeOld(now)
	}
	if t.reports == nil {
		t.reports = map[string]receivedReport{}
	}
	former := known.former
	if ok && process != known.process {
		former = known.process
	}
	t.reports[server] = receivedReport{r, process, former, sequence, now}
}

// removeOld removes the reports that are no longer used, or all if none is old.
func (t *Table) removeOld(now time.Time) {
	for server, r := range t.reports {
		if !r.fresh(now) {
			delete(t.reports, server)
		}
	}
	if len(t.reports) >= maxReports {
		clear(t.reports)
	}
}

func (r *receivedReport) fresh(now time.Time) bool { return now.Sub(r.receivedAt) <= reportTTL }

// Order appends to dst the indices of c.Servers in the order in which they are tried for a
// statement. For a statement with an account this is the order of AppendAffinity, and otherwise that
// of c.Servers, except that an overloaded first server may change places with another one.
//
// A host learns of a server's load only from replies, so that many hosts act on reports that are
// hundreds of milliseconds old. If all of them moved their statements to the server that reported
// the shortest queue, that server would be overloaded next. Each therefore moves only the part that
// would even out the two servers' queues, at most maxMoved, and it considers only one other server.
// If n servers are equally loaded and one reports no queue, it gets at most 1+maxMoved times its
// part.
func (t *Table) Order(dst []int, c Choice, now time.Time) []int {
	first := len(dst)
	if c.Account != "" {
		dst = AppendAffinity(dst, c.Group, c.Account, c.Servers)
	} else {
		for i := range c.Servers {
			dst = append(dst, i)
		}
	}
	order := dst[first:]
	if len(order) < 2 {
		return dst
	}
	if c.Account != "" {
		draw := t.accountDraw(c)
		if draw < t.movedShare(c.Servers[order[0]], c.Servers[order[1]], openCost, now) {
			order[0], order[1] = order[1], order[0]
			t.moves++
		}
		return dst
	}
	draw := c.Random * float64(len(order)-1)
	other := 1 + int(draw)
	draw -= float64(other - 1)
	if s := c.Servers[order[other]]; draw < t.movedShare(c.Servers[order[0]], s, s.Way, now) {
		chosen := order[other]
		copy(order[1:other+1], order[:other])
		order[0] = chosen
		t.moves++
	}
	return dst
}

// accountDraw returns the number in [0, 1) that is compared with the share of statements to move. It
// is fixed for an account, the same on all hosts, so that an account is moved as a whole and needs
// connections on one server only. For an account that makes up more than half of a server's part of
// the statements it is random, so that the account uses two servers.
func (t *Table) accountDraw(c Choice) float64 {
	if t.large == nil {
		t.large = &largeAccounts{}
	}
	if t.large.note(c.Account) > max(1/(2*float64(len(c.Servers))), 1.0/countedAccounts) {
		return c.Random
	}
	return fraction(c.Group, c.Account)
}

// movedShare returns the share of a server's statements that go to another server instead. It is
// zero unless the expected finish of a statement there is earlier by more than cost.
func (t *Table) movedShare(from, to Server, cost time.Duration, now time.Time) float64 {
	fromDelay, fromKnown := t.delay(from.ID, now)
	toDelay, toKnown := t.delay(to.ID, now)
	gain := from.Way + fromDelay - to.Way - toDelay - cost
	if !fromKnown || !toKnown || gain <= 0 || fromDelay <= 0 {
		return 0
	}
	return min(maxMoved, evenShare*float64(gain)/float64(fromDelay+queueNoise))
}

const (
	// evenShare is the part of the difference between two queues whose move evens them out.
	evenShare = 0.5
	// maxMoved bounds the share of a server's statements that go to another one. All hosts may act on
	// the same old report, so a server that reported no queue gets up to 1+maxMoved times its part.
	// This and what comes by chance must stay below 1.5 times.
	maxMoved = 0.4
	// queueNoise is a queue that arises and passes by chance at a load near the capacity. Moving
	// statements because of it only makes the servers' loads less even.
	queueNoise = 100 * time.Millisecond
)

// delay returns the time that a server takes to serve the statements that wait there, and whether it
// is known. A server without a fresh report has no queue, since servers send reports while they have
// one. The delay is not known if statements wait and none is served, as while the primary is being
// replaced.
func (t *Table) delay(server string, now time.Time) (delay time.Duration, known bool) {
	r, ok := t.reports[server]
	switch {
	case !ok || !r.fresh(now) || r.Waiting == 0:
		return 0, true
	case r.Rate <= 0:
		return 0, false
	}
	return toDelay(r.Waiting, r.Rate), true
}
