//go:build review

package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["values"] = runValues }

const (
	// cutLength is the for_s of primary_cut at the site. The cut ends sooner if another member is promoted.
	cutLength = 5 * time.Second
	// The primary of the time is parted so often, one after the other.
	cuts        = 5
	cutInterval = 10 * time.Second
)

// valuesClient is a client that keeps a session open and reads.
type valuesClient struct {
	env  *env
	name string
	host string
	// setsValues is true if its sessions set values.
	setsValues bool
	// inTransactions is true if it executes a prepared statement in transactions, and false if it reads without.
	inTransactions bool
}

// expectedValues holds the session values that were acknowledged, by the id of the request that follows.
type expectedValues struct {
	mu   sync.Mutex
	byID map[string]string
}

func (x *expectedValues) put(id, values string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.byID[id] = values
}

// runValues: sessions read all the time, half of them with a session value, half without any. The primary is parted from its
// replicas, another member is promoted, and the old primary is rolled back, for which it is busy for a moment. Every
// statement must run with the values that were acknowledged to its session, and no others.
func runValues(e *env) error {
	const clients = 36
	stop := make(chan struct{})
	expected := &expectedValues{byID: map[string]string{}}
	errs := make(chan error, clients+1)
	var wait sync.WaitGroup
	for i := range clients {
		c := valuesClient{e, fmt.Sprintf("client-%d", i), e.hosts[i%len(e.hosts)].callers, i%2 == 0, i%4 < 2}
		wait.Go(func() { errs <- c.run(stop, expected) })
	}
	wait.Go(func() { errs <- runWriter(e, stop) })
	e.service.mu.Lock()
	e.service.work = func() time.Duration { return 6 * time.Millisecond } // work ms of recipe-save
	e.service.mu.Unlock()
	time.Sleep(2 * time.Second)
	for range cuts {
		if e.trouble {
			cutPrimary(e)
		}
		time.Sleep(cutInterval)
	}
	close(stop)
	wait.Wait()
	for range clients + 1 {
		if err := <-errs; err != nil {
			return err
		}
	}
	checked := 0
	for _, r := range e.rec.runs {
		want, known := expected.byID[r.id]
		if !known {
			continue
		}
		checked++
		if r.values != want {
			e.rec.breaks("%s ran %s %q at %.3f on conn %d with the values [%s], and its session was acknowledged [%s]",
				r.member, r.id, r.text, r.at.Sub(e.rec.started).Seconds(), r.conn, r.values, want)
		}
	}
	e.rec.note("%s checked", plural(checked, "reads"))
	if checked < 1000 {
		return fmt.Errorf("only %d reads ran", checked)
	}
	return nil
}

// cutPrimary parts the primary from the replicas.
func cutPrimary(e *env) {
	s := e.service
	s.mu.Lock()
	defer s.mu.Unlock()
	primary := s.primary
	primary.cut = true
	e.rec.note("member %s is parted from the replicas", primary.id)
	time.AfterFunc(cutLength, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		primary.cut = false
	})
}

// run keeps a session open, and opens another one if it ends, until stop is closed.
func (v valuesClient) run(stop <-chan struct{}, expected *expectedValues) error {
	for {
		c, err := dialClient(v.env.rec, v.name, v.host, boundedDB)
		if err != nil {
			return err
		}
		stopped := v.runSession(c, stop, expected)
		c.close()
		if stopped {
			return nil
		}
	}
}

// runSession reads until the session ends or stop is closed. It returns true if stop was closed.
func (v valuesClient) runSession(c *client, stop <-chan struct{}, expected *expectedValues) bool {
	values := ""
	setup := []string{"PREPARE s1 READ q2c"}
	if v.setsValues {
		setup = append(setup, "SET desk allergens")
		values = "desk=allergens"
	}
	for _, text := range setup {
		if r := c.do(newID(), text, 2*time.Second); r.broken != nil || r.code != "" {
			return false
		}
	}
	for {
		select {
		case <-stop:
			return true
		case <-time.After(20 * time.Millisecond):
		}
		id := newID()
		expected.put(id, values)
		var replies []reply
		if v.inTransactions {
			replies = append(replies, c.do(newID(), "BEGIN READ", 3*time.Second), c.do(id, "EXEC s1 1a4", 3*time.Second), c.do(newID(), "COMMIT", 3*time.Second))
		} else {
			replies = append(replies, c.do(id, "READ 1a4", 3*time.Second))
		}
		for _, r := range replies {
			if r.broken != nil {
				return false
			}
		}
	}
}

// runWriter writes ten times a second, so that the primary has something in its log that no replica has received.
func runWriter(e *env, stop <-chan struct{}) error {
	for {
		c, err := dialClient(e.rec, "writer", e.hosts[0].callers, primaryDB)
		if err != nil {
			return err
		}
		for alive := true; alive; {
			select {
			case <-stop:
				c.close()
				return nil
			case <-time.After(100 * time.Millisecond):
			}
			alive = c.do(newID(), "WRITE 1a4 w", 3*time.Second).broken == nil
		}
		c.close()
	}
}
