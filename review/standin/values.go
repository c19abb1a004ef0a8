//go:build review

package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() { cases["values"] = runValues }

// runValues: sessions with values and a prepared statement of their own read all the time, half of them in transactions. A primary crashes and comes back as a replica, which is
// rolled back and busy for a moment. Every statement must run with the values that were acknowledged to its session.
func runValues(e *env) error {
	const sessions = 12
	stop := make(chan struct{})
	var wait sync.WaitGroup
	var mu sync.Mutex
	expected := map[string]string{} // values by request
	errs := make(chan error, sessions+1)
	for i := range sessions {
		name := fmt.Sprintf("client-%d", i)
		host := e.hosts[i%len(e.hosts)].callers
		wait.Go(func() {
			for n := 0; ; n++ {
				c, err := dialClient(e.rec, name, host, boundedDB)
				if err != nil {
					errs <- err
					return
				}
				value := fmt.Sprintf("%s-%d", name, n)
				// One value is the same in all sessions, as applications set it, and one differs.
				alive := c.do(newID(), "SET desk allergens", 2*time.Second).broken == nil &&
					c.do(newID(), "SET owner "+value, 2*time.Second).broken == nil &&
					c.do(newID(), "PREPARE s1 READ q2c", 2*time.Second).broken == nil
				for alive {
					select {
					case <-stop:
						c.close()
						return
					case <-time.After(20 * time.Millisecond):
					}
					id := newID()
					mu.Lock()
					expected[id] = "desk=allergens;owner=" + value
					mu.Unlock()
					if i%2 == 0 {
						alive = c.do(id, "READ 1a4", 3*time.Second).broken == nil
						continue
					}
					alive = c.do(newID(), "BEGIN READ", 3*time.Second).broken == nil
					r := c.do(id, "EXEC s1 1a4", 3*time.Second)
					if r.code == "NOSTMT" {
						e.rec.breaks("%s got NOSTMT for request %s, and its PREPARE was acknowledged", name, id)
					}
					alive = alive && r.broken == nil && c.do(newID(), "COMMIT", 3*time.Second).broken == nil
				}
				c.close()
			}
		})
	}
	// One client writes, so that the primary has something in its log that no replica has received yet.
	wait.Go(func() {
		for n := 0; ; n++ {
			c, err := dialClient(e.rec, "writer", e.hosts[0].callers, primaryDB)
			if err != nil {
				errs <- err
				return
			}
			for alive := true; alive; {
				select {
				case <-stop:
					c.close()
					return
				case <-time.After(100 * time.Millisecond):
				}
				id := newID()
				mu.Lock()
				expected[id] = ""
				mu.Unlock()
				alive = c.do(id, fmt.Sprintf("WRITE 1a4 w%d", n), 3*time.Second).broken == nil
			}
			c.close()
		}
	})
	time.Sleep(2 * time.Second)
	if e.trouble {
		crashed := make(chan struct{})
		e.service.mu.Lock()
		primary := e.service.primary
		primary.crashAtCommit = func() { close(crashed) }
		e.service.mu.Unlock()
		select {
		case <-crashed:
		case <-time.After(5 * time.Second):
			return fmt.Errorf("no commit reached the primary")
		}
		time.Sleep(7 * time.Second) // for_s of srv_crash at the site
		if err := primary.restart(); err != nil {
			return err
		}
	} else {
		time.Sleep(7 * time.Second)
	}
	time.Sleep(5 * time.Second)
	close(stop)
	wait.Wait()
	select {
	case err := <-errs:
		return err
	default:
	}
	if e.trouble {
		e.service.mu.Lock()
		promoted := e.service.primary.id
		e.service.mu.Unlock()
		e.rec.note("the primary is now %s", promoted)
	}
	for _, r := range e.rec.runs {
		want, known := expected[r.id]
		if known && r.values != want && !strings.HasPrefix(r.text, "WRITE") {
			e.rec.breaks("%s ran %s %q at %.3f on conn %d with the values [%s], its session was acknowledged [%s]",
				r.member, r.id, r.text, r.at.Sub(e.rec.started).Seconds(), r.conn, r.values, want)
		}
	}
	e.rec.note("%s run", plural(len(e.rec.runs), "statements"))
	return nil
}
