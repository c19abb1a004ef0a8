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

// extraDatabase is the database that successive configurations alternately add and remove.
const extraDatabase = "extra"

// configChecker changes the configuration, and checks as a caller which version is in force at each host. One
// process must never return to an older version.
type configChecker struct {
	soak   *run
	random *rand.Rand

	mu sync.Mutex
	// latest is the newest version. Versions with an even number have extraDatabase.
	latest int64
	// minVersions holds the lowest version that may be in force at each process of a host.
	minVersions map[hostIncarnation]int64
}

// hostIncarnation identifies a process of a host.
type hostIncarnation struct{ host, incarnation int }

func newConfigChecker(r *run) *configChecker {
	return &configChecker{soak: r, random: rand.New(rand.NewPCG(1, 2)), minVersions: map[hostIncarnation]int64{}}
}

func hasExtra(version int64) bool { return version%2 == 0 }

// configure writes the next configuration, and retries until the store accepts it.
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

// run checks random hosts until ctx ends.
func (w *configChecker) run(ctx context.Context) {
	for pause.For(ctx, pollInterval) {
		w.check(ctx, w.random.IntN(len(w.soak.processes)))
	}
}

// check connects to extraDatabase at a host. known reports whether the host answered, and has whether it has the
// database.
func (w *configChecker) check(ctx context.Context, host int) (known, has bool) {
	incarnation, _ := w.soak.processes[host].current()
	dialCtx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	conn, err := platform.DialCaller(dialCtx, w.soak.site.Callers(host), extraDatabase, "watch")
	var failure *gateway.Failure
	switch {
	case err == nil:
		has = true
		_ = conn.Close() // opened only for the check
	case errors.As(err, &failure) && failure.Code == gateway.NoDatabase:
	default:
		return false, false
	}
	if now, _ := w.soak.processes[host].current(); now != incarnation {
		return false, false
	}
	w.recordObservation(hostIncarnation{host, incarnation}, has)
	return true, has
}

// recordObservation updates the lowest version that may be in force at a process, after it was observed with or
// without extraDatabase. If that version is above latest, the process has returned to an older one.
func (w *configChecker) recordObservation(h hostIncarnation, has bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	version := max(1, w.minVersions[h])
	if hasExtra(version) != has {
		version++
	}
	if version > w.latest {
		w.soak.site.History().Broken("CONFIG: host %d went back before version %d", h.host, w.latest)
		return
	}
	w.minVersions[h] = version
}

// awaitLatest waits until the newest configuration is in force at all hosts, for at most Options.Recovery.
func (w *configChecker) awaitLatest(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, w.soak.options.Recovery)
	defer cancel()
	for host := range w.soak.processes {
		for known, has := w.check(ctx, host); !known || has != hasExtra(w.latest); known, has = w.check(ctx, host) {
			if !pause.For(ctx, pollInterval) {
				w.soak.site.History().Broken("CONFIG: version %d is not in force at host %d", w.latest, host)
				return
			}
		}
	}
}
