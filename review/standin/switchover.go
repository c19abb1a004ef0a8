//go:build review

package main

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

func init() { cases["switchover"] = runSwitchover }

// runSwitchover: the members of a service are replaced one after the other, the primary first. While the platform carries
// out the promotion, the next new replica starts, and the member that is to lead receives nothing. No commit that a client
// was told of may be missing in the log of the member that is promoted.
func runSwitchover(e *env) error {
	// About as many writes a second as a database of the site gets.
	const writers, writeInterval = 9, 250 * time.Millisecond
	s := e.service
	stop := make(chan struct{})
	var mu sync.Mutex
	acknowledged := map[string]time.Time{}
	errs := make(chan error, writers+1)
	var wait sync.WaitGroup
	s.mu.Lock()
	s.work = func() time.Duration { return 6 * time.Millisecond } // work ms of recipe-save
	old := s.primary
	led := make(chan struct{})
	s.onLed = func(m *member) {
		s.onLed = nil
		mu.Lock()
		defer mu.Unlock()
		for id, at := range acknowledged {
			if p := s.committed[id]; !slices.Contains(m.log, p) {
				e.rec.breaks("request %s was acknowledged to its client at %.3f with the commit %v, which %s lacks as it is promoted at %v",
					id, at.Sub(e.rec.started).Seconds(), p, m.id, m.end())
			}
		}
		close(led)
	}
	if e.trouble {
		s.onPromote = func(target *member) { errs <- disturb(s, target) }
	}
	s.mu.Unlock()
	for i := range writers {
		name, host := fmt.Sprintf("client-%d", i), e.hosts[i%len(e.hosts)].callers
		wait.Go(func() {
			for {
				c, err := dialClient(e.rec, name, host, primaryDB)
				if err != nil {
					errs <- err
					return
				}
				for alive := true; alive; {
					select {
					case <-stop:
						c.close()
						return
					case <-time.After(writeInterval):
					}
					id := newID()
					r := c.do(id, "WRITE 1a4 w", 3*time.Second)
					alive = r.broken == nil
					if alive && r.code == "" {
						mu.Lock()
						acknowledged[id] = time.Now()
						mu.Unlock()
					}
				}
				c.close()
			}
		})
	}
	time.Sleep(2 * time.Second)
	old.leave()
	select {
	case <-led:
	case <-time.After(20 * time.Second):
		return fmt.Errorf("no other member was promoted in 20 s")
	}
	time.Sleep(2 * time.Second)
	close(stop)
	wait.Wait()
	e.rec.note("%s acknowledged", plural(len(acknowledged), "writes"))
	select {
	case err := <-errs:
		return err
	default:
		return nil
	}
}

// disturb keeps the target from receiving, and goes on with the release: a new replica starts, before the next old member
// drains.
func disturb(s *service, target *member) error {
	time.Sleep(30 * time.Millisecond)
	s.mu.Lock()
	target.deaf = true
	s.rec.note("member %s receives nothing from now on", target.id)
	s.mu.Unlock()
	time.Sleep(30 * time.Millisecond)
	return s.addReplica(zones[2])
}
