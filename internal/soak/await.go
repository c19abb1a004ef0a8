package soak

import (
	"context"
	"fmt"
	"sync"
	"time"

	"pearlatch/core/freshness"
	"pearlatch/internal/pause"
	"pearlatch/platform"
)

// awaitServing waits until each host serves each database, a write included, at most for the given time.
func (r *run) awaitServing(ctx context.Context, atMost time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, atMost)
	defer cancel()
	var wait sync.WaitGroup
	served := make([]bool, len(r.processes)*len(r.databases))
	for h := range r.processes {
		for i, d := range r.databases {
			wait.Go(func() {
				at := h*len(r.databases) + i
				for n := 0; !served[at] && ctx.Err() == nil; n++ {
					served[at] = r.serves(ctx, h, d, fmt.Sprintf("%s.await%d.%d-%d", d.name, h, time.Now().UnixNano(), n))
				}
			})
		}
	}
	wait.Wait()
	for _, ok := range served {
		if !ok {
			return false
		}
	}
	return true
}

// pollInterval is the pause between two tries.
const pollInterval = 100 * time.Millisecond

// serves runs a read, and a write where callers of the database write, on a host.
func (r *run) serves(ctx context.Context, host int, d database, name string) bool {
	call, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	conn, err := platform.DialCaller(call, r.site.Callers(host), d.name, name)
	if err != nil {
		pause.For(ctx, pollInterval)
		return false
	}
	c := &caller{run: r, name: name, class: d.class, ledger: d.ledger, conn: conn, host: host}
	defer c.close()
	c.values, c.prepared = map[string]string{}, map[string]string{}
	read := c.execute("READ 1a")
	if !read.served() {
		pause.For(ctx, pollInterval)
		return false
	}
	c.checkRead(read, read.began, "")
	if _, onlyReads := d.class.(freshness.MaxAge); onlyReads {
		return true
	}
	write := c.execute("WRITE 1a x")
	c.recordOutcome(write, []string{write.id})
	return write.served()
}
