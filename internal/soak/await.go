package soak

import (
	"context"
	"fmt"
	"sync"
	"time"

	"pearlatch/core/freshness"
	"pearlatch/internal/pause"
	"pearlatch/platform/platformtest"
)

// awaitServing waits until each host has served a read of each database, and a write where callers of the
// database write. It returns false if that takes longer than timeout.
func (r *run) awaitServing(ctx context.Context, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var checks sync.WaitGroup
	served := make([]bool, len(r.processes)*len(r.databases))
	for h := range r.processes {
		for i, d := range r.databases {
			checks.Go(func() {
				slot := h*len(r.databases) + i
				for n := 0; !served[slot] && ctx.Err() == nil; n++ {
					served[slot] = r.serves(ctx, h, d, fmt.Sprintf("%s.await%d.%d-%d", d.name, h, time.Now().UnixNano(), n))
				}
			})
		}
	}
	checks.Wait()
	for _, ok := range served {
		if !ok {
			return false
		}
	}
	return true
}

// pollInterval is the pause between two checks of a host.
const pollInterval = 100 * time.Millisecond

// serves reports whether a host serves a read of the database, and a write if its callers write. After a failed
// connect or read it pauses for pollInterval. The name identifies the caller and must be unique.
func (r *run) serves(ctx context.Context, host int, d database, name string) bool {
	dialCtx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	conn, err := platformtest.Dial(dialCtx, r.site.Callers(host), d.name, name)
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
