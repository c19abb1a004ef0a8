//go:build review

package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { cases["shutdown"] = runShutdown }

const (
	// The sessions send in turn, so that at any time one of their statements is at a member.
	shutdownSessions  = 18
	statementWork     = 30 * time.Millisecond // work ms of menu-lookup
	statementInterval = shutdownSessions * statementWork
	statementsPerTx   = 12 // "a transaction of up to 12 statements"
	// firstBegin is when the first transaction begins, after the SIGTERM: the platform looks once per second and
	// takes a node out after two misses.
	firstBegin = 1200 * time.Millisecond
	grace      = 6 * time.Second
	timeBudget = 5 * time.Second // of menu-lookup
	routeLimit = 2 * time.Second // timeout_ms of the route
)

// runShutdown: a host gets SIGTERM, once, alone, as planned work. Clients with open sessions run read transactions with
// pauses. Every request that was passed on to a member must be answered, whatever the answer is.
func runShutdown(e *env) error {
	e.service.mu.Lock()
	e.service.work = func() time.Duration { return statementWork }
	e.service.mu.Unlock()
	h := e.hosts[0]
	var clients []*client
	for i := range shutdownSessions {
		c, err := dialClient(e.rec, fmt.Sprintf("client-%d", i), h.callers, boundedDB)
		if err != nil {
			return err
		}
		defer c.close()
		// The first statement opens a connection to a member, ahead of the shutdown.
		if r := c.do(newID(), "READ 1a4", 3*time.Second); r.broken != nil {
			return r.broken
		}
		clients = append(clients, c)
	}
	started := time.Now()
	if e.trouble {
		e.rec.note("SIGTERM to %s", h.name)
		if err := h.command.Process.Signal(syscall.SIGTERM); err != nil {
			return err
		}
	}
	begun := make(chan bool, shutdownSessions)
	var wait sync.WaitGroup
	for i, c := range clients {
		wait.Go(func() { begun <- readTransaction(e, c, started, firstBegin+time.Duration(i)*statementWork) })
	}
	wait.Wait()
	close(begun)
	n := 0
	for ok := range begun {
		if ok {
			n++
		}
	}
	e.rec.note("%d of %d transactions began", n, shutdownSessions)
	if n < shutdownSessions/2 {
		return fmt.Errorf("only %d transactions began", n)
	}
	return nil
}

// readTransaction runs a transaction that begins at the offset after the start. It reports whether it began.
func readTransaction(e *env, c *client, started time.Time, offset time.Duration) bool {
	begin := started.Add(offset)
	time.Sleep(time.Until(begin))
	if r := c.do(newID(), "BEGIN READ", routeLimit); r.broken != nil || r.code != "" {
		return false
	}
	for k := range statementsPerTx {
		time.Sleep(time.Until(begin.Add(time.Duration(k) * statementInterval)))
		id, sent := newID(), time.Now()
		r := c.do(id, "READ 1a4", routeLimit)
		took, after := time.Since(sent), time.Since(started)
		e.rec.mu.Lock()
		reached := e.rec.reached[id]
		e.rec.mu.Unlock()
		inTime := took < routeLimit && time.Since(begin) < timeBudget
		if r.broken != nil && reached && inTime && after < grace+time.Second {
			e.rec.breaks("request %s of %s was passed on to a member, and the connection ended without an answer %d ms after it was sent, "+
				"%d ms after SIGTERM and %d ms after its transaction began: %v",
				id, c.name, took.Milliseconds(), after.Milliseconds(), time.Since(begin).Milliseconds(), r.broken)
		}
		if r.broken != nil || r.code != "" {
			return true
		}
	}
	c.do(newID(), "COMMIT", routeLimit)
	return true
}
