//go:build review

// Command case stops a host in order (SIGTERM) while transactions are open that go on longer than the grace.
package main

import (
	"context"
	"fmt"
	"os"
	"sync"
	"syscall"
	"time"

	"pearlatch/internal/gateway"
	"pearlatch/platform"
	harness "pearlatch/review/harness2"
)

const (
	sessions   = 9
	statements = 12                     // of a transaction, with its COMMIT
	pauseTime  = 410 * time.Millisecond // between two statements of a transaction
	work       = 45 * time.Millisecond  // the largest of the site's class recipe-save
	grace      = 6 * time.Second
	slack      = 200 * time.Millisecond // loss_slack_ms
)

// request is what a client sent and got.
type request struct {
	id, text string
	sent     time.Time
	ended    time.Time
	answered bool
	outcome  string
}

func main() { os.Exit(run()) }

func run() int {
	rec := harness.NewRecord()
	defer rec.Close()
	folder, err := os.MkdirTemp("", "pearlatch-review")
	if err != nil {
		return harness.NotRun
	}
	defer os.RemoveAll(folder)
	db := harness.StartDB(rec, work)
	defer db.Stop()
	hosts, ok := db.StartHosts(folder, 2)
	defer func() {
		for _, h := range hosts {
			h.Kill()
		}
	}()
	if !ok {
		return harness.NotRun
	}
	time.Sleep(3 * time.Second) // the coordinator role is taken
	var mu sync.Mutex
	var all []request
	var wait sync.WaitGroup
	for n := range sessions {
		wait.Go(func() {
			time.Sleep(time.Duration(n) * 25 * time.Millisecond)
			got := transaction(rec, hosts[0], n)
			mu.Lock()
			defer mu.Unlock()
			all = append(all, got...)
		})
	}
	time.Sleep(400 * time.Millisecond)
	stopped := time.Now()
	if harness.Trouble() {
		rec.Logf("SIGTERM to %s", hosts[0].Name)
		hosts[0].Signal(syscall.SIGTERM)
	}
	wait.Wait()
	return judge(rec, db, all, stopped)
}

// transaction runs one transaction and returns its requests, those that got no answer included.
func transaction(rec *harness.Record, h *harness.Host, n int) []request {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	c, err := platform.DialCaller(ctx, h.Callers, harness.Database, fmt.Sprint("client-", n))
	if err != nil {
		rec.Logf("client %d is not connected: %v", n, err)
		return nil
	}
	defer c.Close()
	var out []request
	for i := range statements + 1 {
		r := request{id: fmt.Sprintf("%d-%02d", n, i)}
		switch {
		case i == 0:
			r.text = "BEGIN"
		case i == statements:
			r.text = "COMMIT"
		case i%3 == 1:
			r.text = fmt.Sprintf("WRITE item%d text", n)
		default:
			r.text = fmt.Sprintf("READ item%d", n)
		}
		r.sent = time.Now()
		rec.Logf("client %d sent id %s %s", n, r.id, r.text)
		reply, err := c.Do(5*time.Second, r.id, r.text)
		r.ended, r.answered = time.Now(), err == nil
		switch {
		case err != nil:
			r.outcome = err.Error()
		case reply.Failure != nil:
			r.outcome = reply.Failure.Error()
		default:
			r.outcome = "success " + reply.Signature
		}
		rec.Logf("client %d id %s after %d ms: %s", n, r.id, r.ended.Sub(r.sent).Milliseconds(), r.outcome)
		out = append(out, r)
		if err != nil || reply.State != gateway.InTransaction {
			return out
		}
		time.Sleep(pauseTime)
	}
	return out
}

// judge applies the rule LOST. A request counts if the connection ended without an answer to it, and either a member had
// received it or it had been sent loss_slack_ms before. It does not count if it was sent within 3 s of the SIGTERM, since the
// member may then have been at work in the last sixth of the grace.
func judge(rec *harness.Record, db *harness.DB, all []request, stopped time.Time) int {
	if len(all) < sessions {
		return harness.NotRun
	}
	runs := db.Runs()
	answered, lost, lostCommits := 0, 0, 0
	for _, r := range all {
		if r.answered {
			answered++
			continue
		}
		run, passedOn := runs[r.id]
		since := r.sent.Sub(stopped)
		if !passedOn && r.ended.Sub(r.sent) <= slack || since <= 3*time.Second || r.ended.Sub(stopped) > grace+time.Second {
			rec.Logf("not counted: %s %s, sent %d ms after SIGTERM", r.id, r.text, since.Milliseconds())
			continue
		}
		lost++
		if run.Committed {
			lostCommits++
		}
		rec.Logf("LOST: id %s %q, sent %d ms after SIGTERM, received by a member: %v, committed there: %v, and the connection ended without an answer",
			r.id, r.text, since.Milliseconds(), passedOn, run.Committed)
	}
	line := fmt.Sprintf("%d requests answered, %d lost, of them %d commits that took effect", answered, lost, lostCommits)
	rec.Logf("%s", line)
	fmt.Println(line)
	if lost > 0 {
		return harness.Broken
	}
	return harness.Held
}
