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
	// meanOperationDelay is the pause of a caller between two operations, on average.
	meanOperationDelay = 30 * time.Millisecond
	// meanSessionOperations is how many operations a session serves, on average.
	meanSessionOperations = 20
	// connectTimeout bounds the opening of a session, and answerPatience a statement: longer than any
	// route lets it take.
	connectTimeout   = 2 * time.Second
	statementTimeout = 4 * time.Second
	// meanStatementDelay is the pause between the statements of a transaction, on average.
	meanStatementDelay = 5 * time.Millisecond
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
	conn              *platform.CallerConn
	host, incarnation int
	// values are the session's, and prepared what it has prepared.
	values    map[string]string
	prepared  map[string]string
	lastWrite group.Position
}

// runOperations runs operations until ctx ends.
func (c *caller) runOperations(ctx context.Context) {
	for pause.For(ctx, jitter(c.random, meanOperationDelay)) {
		if c.conn == nil && !c.open(ctx) {
			continue
		}
		if !c.runOperation() || c.random.IntN(meanSessionOperations) == 0 {
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
	c.host = c.run.balancer.pickHost(c.random)
	c.incarnation, _ = c.run.processes[c.host].current()
	call, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	conn, err := platform.DialCaller(call, c.run.site.Callers(c.host), c.database, c.name)
	if err != nil {
		return false
	}
	c.conn, c.values, c.prepared, c.lastWrite = conn, map[string]string{}, map[string]string{}, group.Position{}
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

// refused reports whether the caller was told that nothing is kept.
func (a answer) refused() bool {
	if a.err != nil || a.reply.Failure == nil {
		return false
	}
	switch a.reply.Failure.Code {
	case gateway.Busy, gateway.Aborted, gateway.Lagging, gateway.NotPrimary, gateway.Misrouted, gateway.TooManyConnections:
		return true
	}
	return false
}

// execute sends a statement.
func (c *caller) execute(text string) answer {
	a := answer{id: c.nextID(), began: time.Now()}
	a.reply, a.err = c.conn.Do(statementTimeout, a.id, text)
	if a.err != nil {
		c.run.recordInterrupted(c, a)
	}
	return a
}

// runOperation runs one operation. It returns false if the session is to end.
func (c *caller) runOperation() bool {
	if c.conn.Parted() {
		return false
	}
	var ok bool
	switch n := c.random.IntN(10); {
	case n == 0:
		ok = c.changeSessionState()
	case n <= 2:
		ok = c.transaction()
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

// changeSessionState gives the session a value, or a prepared statement.
func (c *caller) changeSessionState() bool {
	if c.random.IntN(2) == 0 {
		value := fmt.Sprint(c.name, ".", c.serial)
		if !c.execute("SET tz " + value).served() {
			return false
		}
		c.values["tz"] = value
		return true
	}
	shape := fmt.Sprint("shape-", c.random.IntN(3))
	if !c.execute("PREPARE s1 READ " + shape).served() {
		return false
	}
	c.prepared["s1"] = shape
	return true
}

// expectedRow is what a read must answer.
func (c *caller) expectedRow(shape string) string {
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
	a := c.execute(text)
	c.run.countOutcome(a)
	if a.served() {
		c.checkRead(a, a.began, shape)
	}
	return a.err == nil
}

// checkRead checks who answered a read, in whose session, and from how old a log.
func (c *caller) checkRead(a answer, began time.Time, shape string) {
	h := c.run.site.History()
	p, ok := parseSignature(a.reply.Signature)
	if !ok || p.request != a.id {
		h.Broken("MIXED: request %s got the answer %q", a.id, a.reply.Signature)
		return
	}
	if want := c.expectedRow(shape); len(a.reply.Rows) != 1 || a.reply.Rows[0] != want {
		h.Broken("MIXED: request %s got %q, its session holds %q", a.id, a.reply.Rows, want)
	}
	if need := c.ledger.requiredPosition(c.class, began, c.lastWrite); p.position.Compare(need) < 0 {
		h.Broken("STALE: request %s (%s), begun at %s, read a log up to %s that lacks %s",
			a.id, c.class, began.Format(time.StampMilli), p.position, need)
	}
}

// write writes an item.
func (c *caller) write() bool {
	a := c.execute("WRITE 1a " + c.name)
	c.run.countOutcome(a)
	c.recordOutcome(a, []string{a.id})
	return a.err == nil
}

// recordOutcome notes what the caller was told of writes.
func (c *caller) recordOutcome(a answer, writes []string) {
	switch {
	case a.refused():
		c.ledger.recordRefused(writes)
	case a.served() && len(writes) > 0:
		p, ok := parseSignature(a.reply.Signature)
		if !ok || p.request != a.id {
			c.run.site.History().Broken("MIXED: request %s got the answer %q", a.id, a.reply.Signature)
			return
		}
		c.ledger.recordAcknowledged(writes, p.position)
		if p.position.Compare(c.lastWrite) > 0 {
			c.lastWrite = p.position
		}
	}
}

// transaction runs a transaction. Some are rolled back, some are left in the middle.
func (c *caller) transaction() bool {
	begin := "BEGIN"
	if !c.writes() {
		begin = "BEGIN READ"
	}
	first := c.execute(begin)
	if !first.served() {
		return first.err == nil
	}
	var writes []string
	for range 1 + c.random.IntN(4) {
		time.Sleep(jitter(c.random, meanStatementDelay))
		a, ok := c.transactionStatement(first.began, &writes)
		if a.err != nil {
			return false
		}
		if !ok {
			c.run.countOutcome(a)
			c.ledger.recordRefusedIf(a.refused(), writes)
			return c.execute("ROLLBACK").err == nil
		}
	}
	switch c.random.IntN(8) {
	case 0:
		return false // the caller leaves
	case 1:
		a := c.execute("ROLLBACK")
		c.ledger.recordRefusedIf(a.served(), writes)
		return a.err == nil
	}
	a := c.execute("COMMIT")
	c.run.countOutcome(a)
	c.recordOutcome(a, writes)
	return a.err == nil
}

// transactionStatement runs one statement of a transaction.
func (c *caller) transactionStatement(began time.Time, writes *[]string) (answer, bool) {
	if c.writes() && c.random.IntN(3) == 0 {
		a := c.execute("WRITE 1a " + c.name)
		*writes = append(*writes, a.id)
		return a, a.served()
	}
	a := c.execute("READ 1a")
	if a.served() {
		c.checkRead(a, began, "")
	}
	return a, a.served()
}

// recordRefusedIf notes writes that were promised not to be kept.
func (l *ledger) recordRefusedIf(promised bool, writes []string) {
	if promised {
		l.recordRefused(writes)
	}
}

// isTimeout reports whether an answer did not come in time.
func isTimeout(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.As(err, &timeout) && timeout.Timeout()
}
