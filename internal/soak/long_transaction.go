package soak

import (
	"context"
	"time"

	"pearlatch/internal/pause"
	"pearlatch/internal/site"
)

const (
	// longCallers is the number of callers of each database that run long transactions.
	longCallers = 4
	// maxLongStatements bounds the statements of a long transaction, and meanLongDelay is the average pause before each of
	// them. Many such transactions outlast the time that a host has to stop.
	maxLongStatements = 11
	meanLongDelay     = 200 * time.Millisecond
)

// runLongTransactions runs transactions with pauses, one after the other, until ctx ends. It keeps to its session until
// that ends, also while the host stops.
func (c *caller) runLongTransactions(ctx context.Context) {
	for pause.For(ctx, jitter(c.random, meanOperationDelay)) {
		if c.conn == nil && !c.open(ctx) {
			continue
		}
		if c.terminated() || !c.longTransaction(ctx) {
			c.close()
		}
	}
	c.close()
}

// longTransaction runs a transaction of long statements with pauses. It returns false if the session can't be used any
// further.
func (c *caller) longTransaction(ctx context.Context) bool {
	first := c.begin()
	defer c.endTransaction()
	if !first.served() {
		return first.err == nil
	}
	var writes []string
	for range 1 + c.random.IntN(maxLongStatements) {
		if !c.pauseInTransaction(ctx) {
			c.ledger.recordRefused(writes) // no commit was sent
			return false
		}
		a, ok := c.statementOn(site.LongItem, first.began, &writes)
		if !ok {
			return c.failedTransaction(a, writes)
		}
	}
	if !c.pauseInTransaction(ctx) {
		c.ledger.recordRefused(writes)
		return false
	}
	a := c.execute("COMMIT")
	c.run.countOutcome(a)
	c.recordOutcome(a, writes)
	return a.err == nil
}

// pauseInTransaction pauses before the next statement. It returns false if the session or the run has ended meanwhile.
func (c *caller) pauseInTransaction(ctx context.Context) bool {
	return pause.For(ctx, jitter(c.random, meanLongDelay)) && (c.ignoresNotices || !c.terminated())
}
