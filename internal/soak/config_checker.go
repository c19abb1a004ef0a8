package soak

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"pearlatch/internal/gateway"
	"pearlatch/internal/pause"
	"pearlatch/platform"
)

// extraDatabase is one that configurations add and remove by turns.
const extraDatabase = "extra"

// configChecker changes the configuration, and looks from a caller's side which one is in force at each
// host: it must never be an older one than before in the same process.
type configChecker struct {
	soak   *run
	random *rand.Rand

	mu sync.Mutex
	// latest is the newest version. Those with an even number have the extra database.
	latest int64
	// minVersions is the lowest version that may be in force, by host and process.
	minVersions map[hostIncarnation]int64
}

// hostIncarnation names a process of a host.
type hostIncarnation struct{ host, incarnation int }

func newConfigChecker(r *run) *configChecker {
	return &configChecker{soak: r, random: rand.New(rand.NewPCG(1, 2)), minVersions: map[hostIncarnation]int64{}}
}

func hasExtra(version int64) bool { return version%2 == 0 }

// configure makes the next configuration, once the store takes it.
func (w *configChecker) configure() {
	w.mu.Lock()
	defer w.mu.Unlock()
	version, ok := w.soak.site.Configure(w.soak.config(hasExtra(w.latest + 1)))
	for !ok {
		time.Sleep(pollInterval)
		version, ok = w.soak.site.Configure(w.soak.config(hasExtra(version + 1)))
	}
	w.latest = version
}

// run looks at one host after the other until ctx ends.
func (w *configChecker) run(ctx context.Context) {
	for pause.For(ctx, pollInterval) {
		w.check(ctx, w.random.IntN(len(w.soak.processes)))
	}
}

// check asks a host for the extra database. It returns whether the host told, and what.
func (w *configChecker) check(ctx context.Context, host int) (told, has bool) {
	life, _ := w.soak.processes[host].current()
	call, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	conn, err := platform.DialCaller(call, w.soak.site.Callers(host), extraDatabase, "watch")
	var failure *gateway.Failure
	switch {
	case err == nil:
		has = true
		_ = conn.Close() // it was opened just now
	case errors.As(err, &failure) && failure.Code == gateway.NoDatabase:
	default:
		return false, false
	}
	if again, _ := w.soak.processes[host].current(); again != life {
		return false, false
	}
	w.recordObservation(hostIncarnation{host, life}, has)
	return true, has
}

// recordObservation compares what a host told with what it told before.
func (w *configChecker) recordObservation(h hostIncarnation, has bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	v := max(1, w.minVersions[h])
	if hasExtra(v) != has {
		v++
	}
	if v > w.latest {
		w.soak.site.History().Broken("CONFIG: host %d went back before version %d", h.host, w.latest)
		return
	}
	w.minVersions[h] = v
}

// awaitLatest waits until the newest configuration is in force at all hosts.
func (w *configChecker) awaitLatest(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, w.soak.options.Recovery)
	defer cancel()
	for host := range w.soak.processes {
		for told, has := w.check(ctx, host); !told || has != hasExtra(w.latest); told, has = w.check(ctx, host) {
			if !pause.For(ctx, pollInterval) {
				w.soak.site.History().Broken("CONFIG: version %d is not in force at host %d", w.latest, host)
				return
			}
		}
	}
}
