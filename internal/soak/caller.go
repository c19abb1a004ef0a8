package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"pearlatch/core/freshness"
	"pearlatch/core/group"
	"pearlatch/internal/gateway"
	"pearlatch/internal/pause"
	"pearlatch/internal/site"
	"pearlatch/platform/platformtest"
)

const (
	// meanOperationDelay is the average delay between two operations of a caller.
	meanOperationDelay = 30 * time.Millisecond
	// meanSessionOperations is the average number of operations of a session.
	meanSessionOperations = 20
	// connectTimeout bounds the opening of a session, and statementTimeout a statement. Both are longer than
	// the timeout of any route.
	connectTimeout   = 2 * time.Second
	statementTimeout = 4 * time.Second
	// meanStatementDelay is the average delay before a statement within a transaction.
	meanStatementDelay = 5 * time.Millisecond
)

// caller is a client that runs operations one after the other in sessions of one database. It is used by one
// goroutine at a time.
type caller struct {
	run      *run
	name     string
	database string
	class    freshness.Class
	ledger   *ledger
	random   *rand.Rand
	texts    textSource

	serial int
	// conn is the current session or nil, host the index of its host, and incarnation the one of the host's process.
	conn              *platformtest.Caller
	host, incarnation int
	// values holds the settings of the session, and prepared the texts of its prepared statements, both by name.
	values    map[string]string
	prepared  map[string]string
	lastWrite group.Position
	// transactionID is the request that began the open transaction, or empty. inFirst is true until one of its statements
	// was served.
	transactionID string
	inFirst       bool
	// ignoresNotices is true if the caller sends statements of an open transaction without looking for the end of its
	// session before.
	ignoresNotices bool
}

// runOperations runs operations until ctx ends, and opens a new session whenever one has ended.
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

// jitter returns a random duration from zero to twice the average.
func jitter(random *rand.Rand, average time.Duration) time.Duration {
	return time.Duration(random.Int64N(int64(2 * average)))
}

func (c *caller) open(ctx context.Context) bool {
	c.host = c.run.balancer.pickHost(c.random)
	c.incarnation, _ = c.run.processes[c.host].current()
	dialCtx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	conn, err := platformtest.Dial(dialCtx, c.run.site.Callers(c.host), c.database, c.name)
	if err != nil {
		return false
	}
	c.conn, c.values, c.prepared, c.lastWrite = conn, map[string]string{}, map[string]string{}, group.Position{}
	c.transactionID = ""
	return true
}

func (c *caller) close() {
	if c.conn != nil {
		_ = c.conn.Close() // fails if the host has closed the connection
		c.conn = nil
	}
}

// terminated reports whether the session has ended while it was idle. What the host has sent without a request, other than a
// notice of the end, is a finding.
func (c *caller) terminated() bool {
	ended := c.conn.Terminated()
	if unasked := c.conn.Unasked(); unasked != "" {
		c.run.site.History().Broken("MIXED: host %d sent %.*q after the answer to request %s-%d", c.host, maxQuoted, unasked, c.name, c.serial)
	}
	return ended
}

// answer is the outcome of a request: the reply of the host, or the error if there is none.
type answer struct {
	id    string
	began time.Time
	reply gateway.Reply
	err   error
	// ended is when err occurred.
	ended time.Time
}

func (a answer) served() bool { return a.err == nil && a.reply.Failure == nil }

// refused reports whether the caller was told that the request had no effect.
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

// execute sends a statement and waits for its answer.
func (c *caller) execute(text string) answer {
	return c.send(text, site.Statement{Text: text, Held: c.expectedRow("")})
}

// executePrepared runs a prepared statement with arguments.
func (c *caller) executePrepared(name, arguments string) answer {
	s := site.Statement{Text: arguments, Prepared: true, Held: c.expectedRow(c.prepared[name])}
	return c.send("EXEC "+name+" "+arguments, s)
}

// send sends a statement, after recording it in the site's history, and waits for its answer.
func (c *caller) send(text string, s site.Statement) answer {
	c.serial++
	a := answer{id: fmt.Sprintf("%s-%d", c.name, c.serial), began: time.Now()}
	s.Transaction, s.First = c.transactionID, c.inFirst
	c.run.site.History().Ask(a.id, s)
	a.reply, a.err = c.conn.Do(statementTimeout, a.id, text)
	if a.err != nil {
		a.ended = time.Now()
		c.run.recordInterrupted(c, a)
	}
	var malformed *platformtest.ProtocolError
	if errors.As(a.err, &malformed) {
		c.run.site.History().Broken("MIXED: request %s: %v", a.id, a.err)
	}
	return a
}

// runOperation runs a random operation. It returns false if the session can't be used any further.
func (c *caller) runOperation() bool {
	if c.terminated() {
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

// writes reports whether callers of the database write. With a freshness of MaxAge they only read.
func (c *caller) writes() bool {
	_, onlyReads := c.class.(freshness.MaxAge)
	return !onlyReads
}

// changeSessionState sets a value in the session, or prepares a statement.
func (c *caller) changeSessionState() bool {
	if c.random.IntN(2) == 0 {
		value := c.texts.next(fmt.Sprint(c.name, ".", c.serial))
		if !c.execute("SET tz " + value).served() {
			return false
		}
		c.values["tz"] = value
		return true
	}
	return c.prepare("s1", "READ", fmt.Sprint("shape-", c.random.IntN(3)))
}

// prepare prepares a statement with the shape or an unusual one. The kind is READ or WRITE.
func (c *caller) prepare(name, kind, shape string) bool {
	shape = c.texts.next(shape)
	if !c.execute("PREPARE " + name + " " + kind + " " + shape).served() {
		return false
	}
	c.prepared[name] = shape
	return true
}

// expectedRow returns the row that a read must return in this session.
func (c *caller) expectedRow(shape string) string { return site.Row(c.values, shape) }

// read runs a read, in half of the cases by a prepared statement if there is one.
func (c *caller) read() bool {
	var a answer
	shape, ok := c.prepared["s1"]
	if ok = ok && c.random.IntN(2) == 0; ok {
		a = c.executePrepared("s1", "1a"+c.texts.next(""))
	} else {
		shape, a = "", c.execute("READ 1a"+c.texts.next(""))
	}
	c.run.countOutcome(a)
	if a.served() {
		c.checkRead(a, a.began, shape)
	}
	return a.err == nil
}

// checkRead checks that the answer belongs to the read and to this session, and that the member had applied the
// log up to the position that the freshness class requires. began is when the read, or its transaction, began.
func (c *caller) checkRead(a answer, began time.Time, shape string) {
	e, ok := c.checkSignature(a)
	if !ok {
		return
	}
	c.checkRows(a, c.expectedRow(shape))
	if required := c.ledger.requiredPosition(c.class, began, c.lastWrite); e.position.Compare(required) < 0 {
		c.run.site.History().Broken("STALE: request %s (%s), begun at %s, read a log up to %s that lacks %s",
			a.id, c.class, began.Format(time.StampMilli), e.position, required)
	}
}

// maxQuoted bounds how much of a text a finding quotes, in bytes.
const maxQuoted = 120

// checkSignature checks that a member has signed the answer to this request, and returns what it signed. It returns false if
// not.
func (c *caller) checkSignature(a answer) (execution, bool) {
	e, ok := parseSignature(a.reply.Signature)
	if !ok || e.request != a.id {
		c.run.site.History().Broken("MIXED: request %s got the answer %.*q", a.id, maxQuoted, a.reply.Signature)
		return execution{}, false
	}
	return e, true
}

// checkRows checks that the answer has exactly these rows.
func (c *caller) checkRows(a answer, want ...string) {
	if !slices.Equal(a.reply.Rows, want) {
		c.run.site.History().Broken("MIXED: request %s got the rows %.*q, want %.*q", a.id, maxQuoted, a.reply.Rows, maxQuoted, want)
	}
}

// write runs a single write, sometimes by a prepared statement.
func (c *caller) write() bool {
	data := "1a " + c.texts.next(c.name)
	var a answer
	if c.texts.random.IntN(4) > 0 {
		a = c.execute("WRITE " + data)
	} else {
		if _, ok := c.prepared["s2"]; !ok && !c.prepare("s2", "WRITE", "shape-w") {
			return false
		}
		a = c.executePrepared("s2", data)
	}
	c.run.countOutcome(a)
	if a.served() {
		c.checkRows(a)
	}
	c.recordOutcome(a, []string{a.id})
	return a.err == nil
}

// recordOutcome records in the ledger what the answer to a write or commit says of writes, the requests with the given
// identifiers. Without a definite answer it records nothing.
func (c *caller) recordOutcome(a answer, writes []string) {
	switch {
	case a.refused():
		c.ledger.recordRefused(writes)
	case a.served():
		e, ok := c.checkSignature(a)
		if !ok || len(writes) == 0 {
			return
		}
		c.ledger.recordAcknowledged(writes, e.position)
		if e.position.Compare(c.lastWrite) > 0 {
			c.lastWrite = e.position
		}
	}
}

// begin begins a transaction, a read-only one if callers of the database don't write. It is the caller's transaction until
// endTransaction is called.
func (c *caller) begin() answer {
	text := "BEGIN"
	if !c.writes() {
		text = "BEGIN READ"
	}
	a := c.execute(text)
	c.transactionID, c.inFirst = a.id, true
	return a
}

func (c *caller) endTransaction() { c.transactionID, c.inFirst = "", false }

// transaction runs a transaction. Some are rolled back, and some are abandoned by closing the session. It returns
// false if the session can't be used any further.
func (c *caller) transaction() bool {
	first := c.begin()
	defer c.endTransaction()
	if !first.served() {
		return first.err == nil
	}
	var writes []string
	for range 1 + c.random.IntN(4) {
		time.Sleep(jitter(c.random, meanStatementDelay))
		a, ok := c.statementOn("1a", first.began, &writes)
		if !ok {
			return c.failedTransaction(a, writes)
		}
	}
	switch c.random.IntN(8) {
	case 0:
		return false // the caller abandons the transaction
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

// failedTransaction ends a transaction with a statement that was not served, with the given answer. It returns false if the
// session can't be used any further.
func (c *caller) failedTransaction(a answer, writes []string) bool {
	if a.err != nil {
		return false
	}
	c.run.countOutcome(a)
	c.ledger.recordRefusedIf(a.refused(), writes)
	return a.reply.State == gateway.Idle || c.execute("ROLLBACK").err == nil
}

// statementOn runs a read or a write of an item in a transaction that began at the given time, and adds the identifier
// of a write to writes. It reports whether the statement was served.
func (c *caller) statementOn(item string, began time.Time, writes *[]string) (answer, bool) {
	if c.writes() && c.random.IntN(3) == 0 {
		a := c.execute("WRITE " + item + " " + c.texts.next(c.name))
		*writes = append(*writes, a.id)
		if a.served() {
			c.inFirst = false
			c.checkSignature(a)
			c.checkRows(a, c.expectedRow(""))
		}
		return a, a.served()
	}
	a := c.execute("READ " + item)
	if a.served() {
		c.inFirst = false
		c.checkRead(a, began, "")
	}
	return a, a.served()
}

// recordRefusedIf records writes as refused if refused is true.
func (l *ledger) recordRefusedIf(refused bool, writes []string) {
	if refused {
		l.recordRefused(writes)
	}
}

// isTimeout reports whether err is a timeout.
func isTimeout(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.As(err, &timeout) && timeout.Timeout()
}
