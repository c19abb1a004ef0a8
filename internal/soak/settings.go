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

// settingsWatch changes the configuration, and looks from a caller's side which one is in force at each
// host: it must never be an older one than before in the same process.
type settingsWatch struct {
	run    *run
	random *rand.Rand

	mu sync.Mutex
	// latest is the newest version. Those with an even number have the extra database.
	latest int64
	// seen is the lowest version that may be in force, by host and process.
	seen map[hostLife]int64
}

// hostLife names a process of a host.
type hostLife struct{ host, life int }

func newSettingsWatch(r *run) *settingsWatch {
	return &settingsWatch{run: r, random: rand.New(rand.NewPCG(1, 2)), seen: map[hostLife]int64{}}
}

func hasExtra(version int64) bool { return version%2 == 0 }

// configure makes the next configuration, once the store takes it.
func (w *settingsWatch) configure() {
	w.mu.Lock()
	defer w.mu.Unlock()
	version, ok := w.run.site.Configure(w.run.config(hasExtra(w.latest + 1)))
	for !ok {
		time.Sleep(awaitPause)
		version, ok = w.run.site.Configure(w.run.config(hasExtra(version + 1)))
	}
	w.latest = version
}

// watch looks at one host after the other until ctx ends.
func (w *settingsWatch) watch(ctx context.Context) {
	for pause.For(ctx, awaitPause) {
		w.look(ctx, w.random.IntN(len(w.run.processes)))
	}
}

// look asks a host for the extra database. It returns whether the host told, and what.
func (w *settingsWatch) look(ctx context.Context, host int) (told, has bool) {
	life, _ := w.run.processes[host].lifetime()
	call, cancel := context.WithTimeout(ctx, startPatience)
	defer cancel()
	conn, err := platform.DialCaller(call, w.run.site.Callers(host), extraDatabase, "watch")
	var failure *gateway.Failure
	switch {
	case err == nil:
		has = true
		_ = conn.Close() // it was opened just now
	case errors.As(err, &failure) && failure.Code == gateway.NoDatabase:
	default:
		return false, false
	}
	if again, _ := w.run.processes[host].lifetime(); again != life {
		return false, false
	}
	w.note(hostLife{host, life}, has)
	return true, has
}

// note compares what a host told with what it told before.
func (w *settingsWatch) note(h hostLife, has bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	v := max(1, w.seen[h])
	if hasExtra(v) != has {
		v++
	}
	if v > w.latest {
		w.run.site.History().Broken("CONFIG: host %d went back before version %d", h.host, w.latest)
		return
	}
	w.seen[h] = v
}

// settle waits until the newest configuration is in force at all hosts.
func (w *settingsWatch) settle(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, w.run.options.Recovery)
	defer cancel()
	for host := range w.run.processes {
		for told, has := w.look(ctx, host); !told || has != hasExtra(w.latest); told, has = w.look(ctx, host) {
			if !pause.For(ctx, awaitPause) {
				w.run.site.History().Broken("CONFIG: version %d is not in force at host %d", w.latest, host)
				return
			}
		}
	}
}
