package soak

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"pearlatch/core/freshness"
	"pearlatch/core/group"
	"pearlatch/internal/gateway"
	"pearlatch/internal/pause"
	"pearlatch/platform"
)

const (
	// callerRest is the pause of a caller between two operations, on average.
	callerRest = 30 * time.Millisecond
	// sessionOperations is how many operations a session serves, on average.
	sessionOperations = 20
	// startPatience bounds the opening of a session, and answerPatience a statement: longer than any
	// route lets it take.
	startPatience  = 2 * time.Second
	answerPatience = 4 * time.Second
	// restInTransaction is the pause between the statements of a transaction, on average.
	restInTransaction = 5 * time.Millisecond
)

// caller runs one operation after the other on sessions of one database.
type caller struct {
	run      *run
	name     string
	database string
	class    freshness.Class
	ledger   *ledger
	random   *rand.Rand

	serial int
	// The session, its host and the host's process.
	conn       *platform.CallerConn
	host, life int
	// values are the session's, and prepared what it has prepared.
	values   map[string]string
	prepared map[string]string
	mark     group.Position
}

// work runs operations until ctx ends.
func (c *caller) work(ctx context.Context) {
	for pause.For(ctx, jitter(c.random, callerRest)) {
		if c.conn == nil && !c.open(ctx) {
			continue
		}
		if !c.operate() || c.random.IntN(sessionOperations) == 0 {
			c.close()
		}
	}
	c.close()
}

// jitter returns a time between nothing and twice the average.
func jitter(random *rand.Rand, average time.Duration) time.Duration {
	return time.Duration(random.Int64N(int64(2 * average)))
}

func (c *caller) open(ctx context.Context) bool {
	c.host = c.run.rotation.pick(c.random)
	c.life, _ = c.run.processes[c.host].lifetime()
	call, cancel := context.WithTimeout(ctx, startPatience)
	defer cancel()
	conn, err := platform.DialCaller(call, c.run.site.Callers(c.host), c.database, c.name)
	if err != nil {
		return false
	}
	c.conn, c.values, c.prepared, c.mark = conn, map[string]string{}, map[string]string{}, group.Position{}
	return true
}

func (c *caller) close() {
	if c.conn != nil {
		_ = c.conn.Close() // the host may have ended it
		c.conn = nil
	}
}

// nextID returns the identifier of the next request.
func (c *caller) nextID() string {
	c.serial++
	id := fmt.Sprintf("%s-%d", c.name, c.serial)
	c.run.site.History().Issue(id)
	return id
}

// answer is what came of a request.
type answer struct {
	id    string
	began time.Time
	reply gateway.Reply
	err   error
}

func (a answer) served() bool { return a.err == nil && a.reply.Failure == nil }

// promised reports whether the caller was told that nothing is kept.
func (a answer) promised() bool {
	if a.err != nil || a.reply.Failure == nil {
		return false
	}
	switch a.reply.Failure.Code {
	case gateway.Busy, gateway.Aborted, gateway.Lagging, gateway.NotPrimary, gateway.Misrouted, gateway.TooManyConnections:
		return true
	}
	return false
}

// ask sends a statement.
func (c *caller) ask(text string) answer {
	a := answer{id: c.nextID(), began: time.Now()}
	a.reply, a.err = c.conn.Do(answerPatience, a.id, text)
	if a.err != nil {
		c.run.cut(c, a)
	}
	return a
}

// operate runs one operation. It returns false if the session is to end.
func (c *caller) operate() bool {
	if c.conn.Terminated() {
		return false
	}
	var ok bool
	switch n := c.random.IntN(10); {
	case n == 0:
		ok = c.setUp()
	case n <= 2:
		ok = c.transact()
	case n <= 4 && c.writes():
		ok = c.write()
	default:
		ok = c.read()
	}
	return ok
}

// writes reports whether callers of the database write.
func (c *caller) writes() bool {
	_, onlyReads := c.class.(freshness.MaxAge)
	return !onlyReads
}

// setUp gives the session a value, or a prepared statement.
func (c *caller) setUp() bool {
	if c.random.IntN(2) == 0 {
		value := fmt.Sprint(c.name, ".", c.serial)
		if !c.ask("SET tz " + value).served() {
			return false
		}
		c.values["tz"] = value
		return true
	}
	shape := fmt.Sprint("shape-", c.random.IntN(3))
	if !c.ask("PREPARE s1 READ " + shape).served() {
		return false
	}
	c.prepared["s1"] = shape
	return true
}

// row is what a read must answer.
func (c *caller) row(shape string) string {
	var b strings.Builder
	for _, name := range slices.Sorted(maps.Keys(c.values)) {
		b.WriteString(name + "=" + c.values[name] + ";")
	}
	return b.String() + shape
}

// read reads an item, by a prepared statement if there is one.
func (c *caller) read() bool {
	text, shape := "READ 1a", ""
	if s, ok := c.prepared["s1"]; ok && c.random.IntN(2) == 0 {
		text, shape = "EXEC s1 1a", s
	}
	a := c.ask(text)
	c.run.count(a)
	if a.served() {
		c.checkRead(a, a.began, shape)
	}
	return a.err == nil
}

// checkRead checks who answered a read, in whose session, and from how old a log.
func (c *caller) checkRead(a answer, began time.Time, shape string) {
	h := c.run.site.History()
	p, ok := parseProof(a.reply.Signature)
	if !ok || p.request != a.id {
		h.Broken("MIXED: request %s got the answer %q", a.id, a.reply.Signature)
		return
	}
	if want := c.row(shape); len(a.reply.Rows) != 1 || a.reply.Rows[0] != want {
		h.Broken("MIXED: request %s got %q, its session holds %q", a.id, a.reply.Rows, want)
	}
	if need := c.ledger.needs(c.class, began, c.mark); p.position.Compare(need) < 0 {
		h.Broken("STALE: request %s (%s), begun at %s, read a log up to %s that lacks %s",
			a.id, c.class, began.Format(time.StampMilli), p.position, need)
	}
}

// write writes an item.
func (c *caller) write() bool {
	a := c.ask("WRITE 1a " + c.name)
	c.run.count(a)
	c.settle(a, []string{a.id})
	return a.err == nil
}

// settle notes what the caller was told of writes.
func (c *caller) settle(a answer, writes []string) {
	switch {
	case a.promised():
		c.ledger.refused(writes)
	case a.served() && len(writes) > 0:
		p, ok := parseProof(a.reply.Signature)
		if !ok || p.request != a.id {
			c.run.site.History().Broken("MIXED: request %s got the answer %q", a.id, a.reply.Signature)
			return
		}
		c.ledger.acked(writes, p.position)
		if p.position.Compare(c.mark) > 0 {
			c.mark = p.position
		}
	}
}

// transact runs a transaction. Some are rolled back, some are left in the middle.
func (c *caller) transact() bool {
	begin := "BEGIN"
	if !c.writes() {
		begin = "BEGIN READ"
	}
	first := c.ask(begin)
	if !first.served() {
		return first.err == nil
	}
	var writes []string
	for range 1 + c.random.IntN(4) {
		time.Sleep(jitter(c.random, restInTransaction))
		a, ok := c.inTransaction(first.began, &writes)
		if a.err != nil {
			return false
		}
		if !ok {
			c.run.count(a)
			c.ledger.refusedIf(a.promised(), writes)
			return c.ask("ROLLBACK").err == nil
		}
	}
	switch c.random.IntN(8) {
	case 0:
		return false // the caller leaves
	case 1:
		a := c.ask("ROLLBACK")
		c.ledger.refusedIf(a.served(), writes)
		return a.err == nil
	}
	a := c.ask("COMMIT")
	c.run.count(a)
	c.settle(a, writes)
	return a.err == nil
}

// inTransaction runs one statement of a transaction.
func (c *caller) inTransaction(began time.Time, writes *[]string) (answer, bool) {
	if c.writes() && c.random.IntN(3) == 0 {
		a := c.ask("WRITE 1a " + c.name)
		*writes = append(*writes, a.id)
		return a, a.served()
	}
	a := c.ask("READ 1a")
	if a.served() {
		c.checkRead(a, began, "")
	}
	return a, a.served()
}

// refusedIf notes writes that were promised not to be kept.
func (l *ledger) refusedIf(promised bool, writes []string) {
	if promised {
		l.refused(writes)
	}
}

// isTimeout reports whether an answer did not come in time.
func isTimeout(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.As(err, &timeout) && timeout.Timeout()
}
