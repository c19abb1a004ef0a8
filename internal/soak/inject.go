package soak

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"pearlatch/internal/pause"
	"pearlatch/internal/site"
)

// inject waits until a fault begins, starts it, and ends it after its duration or when ctx ends.
func (r *run) inject(ctx context.Context, f Fault) {
	if !pause.For(ctx, f.At) {
		return
	}
	if !f.Kind.planned() {
		r.addUnplannedFaults(+1)
		defer r.addUnplannedFaults(-1)
	}
	random := f.newRand()
	if f.Kind <= ResetHost && f.Kind != LeaveMember && f.Kind != Configure {
		r.injectHostFault(ctx, f, random)
		return
	}
	end := r.startFault(f, random)
	pause.For(ctx, f.For)
	end()
}

// injectHostFault runs a fault of hosts, from its start to its end.
func (r *run) injectHostFault(ctx context.Context, f Fault, random *rand.Rand) {
	h := random.IntN(len(r.processes))
	p := r.processes[h]
	switch f.Kind {
	case StopHost:
		stopped := p.terminate(f.For)
		pause.For(ctx, f.For/2)
		p.signalDuringShutdown([]syscall.Signal{0, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT}[random.IntN(4)], stopped)
		r.awaitEnd(ctx, p, stopped)
	case StopHostsInTurn:
		var ends sync.WaitGroup
		for range 2 + random.IntN(2) {
			p := r.processes[random.IntN(len(r.processes))]
			stopped := p.terminate(0)
			ends.Go(func() { r.awaitEnd(ctx, p, stopped) })
			pause.For(ctx, f.For/3)
		}
		ends.Wait()
	case Reload:
		r.reloadSettings(ctx, p, f, random)
	case KillHost:
		p.signal(syscall.SIGKILL, f.For)
		pause.For(ctx, f.For)
	case KillHosts:
		for _, process := range r.processes {
			if random.IntN(4) > 0 {
				process.signal(syscall.SIGKILL, f.For)
			}
		}
		pause.For(ctx, f.For)
	case FreezeHost:
		p.signal(syscall.SIGSTOP, 0)
		pause.For(ctx, f.For)
		p.signal(syscall.SIGCONT, 0)
	case CutHost, DelayHost, ResetHost:
		r.disturbNetwork(ctx, f, random, r.site.Host(h))
	}
}

// maxShutdown is how long a host may take to stop: the grace of the site's hosts, and the time that a loaded machine takes
// to notice the end.
const maxShutdown = site.ShutdownGrace + 2*time.Second

// awaitEnd waits until the process that was told to stop has ended. It records a finding if that takes longer than
// maxShutdown without an unplanned fault.
func (r *run) awaitEnd(ctx context.Context, p *hostProcess, ended <-chan struct{}) {
	began := time.Now()
	select {
	case <-ended:
	case <-ctx.Done():
	case <-time.After(maxShutdown):
		if r.quietAt(began) {
			r.site.History().Broken("EXIT: host %d still runs %s after SIGTERM", p.index, maxShutdown)
		}
	}
}

// reloadSettings rewrites a host's settings file with half of its text, invalid text or the same text, and restores it
// at the end. If another fault restarts the host meanwhile, the host must refuse invalid settings with an error that names
// the file, and serve once it was started again with valid ones.
func (r *run) reloadSettings(ctx context.Context, p *hostProcess, f Fault, random *rand.Rand) {
	good := r.site.Settings(p.index)
	text := good
	switch random.IntN(3) {
	case 0:
		text = good[:len(good)/2]
	case 1:
		text = "host: [\n" + good
	}
	r.recordError(p.writeSettings(text, text != good))
	if random.IntN(2) == 0 {
		p.signal(syscall.SIGHUP, 0)
	}
	pause.For(ctx, f.For)
	r.recordError(p.writeSettings(good, false))
	p.signal(syscall.SIGHUP, 0)
}

// disturbNetwork cuts, delays or resets the connections of a host through a random selection of the site's proxies.
func (r *run) disturbNetwork(ctx context.Context, f Fault, random *rand.Rand, host netip.Addr) {
	var chosen []*site.Proxy
	share := 1 + random.IntN(3)
	for _, p := range r.site.Proxies() {
		if random.IntN(4) < share {
			chosen = append(chosen, p)
		}
	}
	rule := site.Rule{Delay: time.Duration(20+random.IntN(200)) * time.Millisecond}
	if f.Kind == CutHost {
		direction := random.IntN(3)
		rule = site.Rule{Forth: direction != 0, Back: direction != 1}
	}
	for _, p := range chosen {
		if f.Kind == ResetHost {
			p.Reset(func(from netip.Addr) bool { return from == host })
			continue
		}
		p.Set(host, rule)
	}
	pause.For(ctx, f.For)
	for _, p := range chosen {
		p.Set(host, site.Rule{})
	}
}

// startFault starts a fault of members, the configuration, promotions or the store, and returns the function that ends
// it.
func (r *run) startFault(f Fault, random *rand.Rand) (end func()) {
	groups := r.site.Groups()
	g := groups[random.IntN(len(groups))]
	m := g.Members()[random.IntN(len(g.Members()))]
	if p := g.Primary(); p != nil && random.IntN(2) == 0 {
		m = p // half of all faults affect the primary
	}
	switch f.Kind {
	case LeaveMember:
		m.Leave(memberDrainTimeout)
	case Configure:
		r.configure(1 + random.IntN(4))
	case CrashMember:
		m.Crash()
		return func() { m.Restart(true) }
	case WipeMember:
		return r.wipeReplica(g, random)
	case DarkenMember:
		m.SetDark(true)
		return func() { m.SetDark(false) }
	case CutMember:
		m.SetCut(true)
		return func() { m.SetCut(false) }
	case DeafenMember:
		m.SetDeaf(true)
		return func() { m.SetDeaf(false) }
	case LagMember:
		m.SetLag(time.Duration(1+random.IntN(10)) * time.Second)
		return func() { m.SetLag(defaultLag) }
	case SlowMember:
		m.SetWork(float64(2 + random.IntN(20)))
		return func() { m.SetWork(1) }
	case LoseAnswers:
		m.SetLose(0.02 + 0.3*random.Float64())
		return func() { m.SetLose(0) }
	case RepeatAnswers:
		return startRepeats(g, m, random)
	case LateOrders:
		g.SetLate(time.Duration(1+random.IntN(5)) * time.Second)
		return func() { g.SetLate(0) }
	default:
		return r.startStoreFault(f, random)
	}
	return func() {}
}

// usualRepeatShare is the share of answers that are repeated in most faults, and maxRepeatShare bounds it in the others.
const usualRepeatShare, maxRepeatShare = 0.05, 0.5

// startRepeats makes a member, or all members of its group, repeat answers, and returns the function that ends it.
func startRepeats(g *site.Group, m *site.Member, random *rand.Rand) (end func()) {
	members := []*site.Member{m}
	if random.IntN(2) == 0 {
		members = g.Members()
	}
	share := usualRepeatShare
	if random.IntN(3) == 0 {
		share = maxRepeatShare * random.Float64()
	}
	start := random.IntN(2) == 0
	for _, m := range members {
		m.SetRepeat(share, start)
	}
	return func() {
		for _, m := range members {
			m.SetRepeat(0, false)
		}
	}
}

const (
	// defaultLag is the apply lag of replicas without a fault.
	defaultLag = 10 * time.Millisecond
	// memberDrainTimeout is how long a leaving member continues to serve.
	memberDrainTimeout = 5 * time.Second
)

// wipeReplica crashes a replica and returns the function that restarts it without its data. It does nothing unless the
// group has a primary and all its members are in sync, or while another replica is wiped: to wipe the primary, or two
// replicas at a time, could destroy the only other copy of acknowledged writes, and no guarantee covers that.
func (r *run) wipeReplica(g *site.Group, random *rand.Rand) (end func()) {
	if !r.replicaWiped.CompareAndSwap(false, true) {
		return func() {}
	}
	release := func() { r.replicaWiped.Store(false) }
	primary := g.Primary()
	m := g.Members()[random.IntN(len(g.Members()))]
	if m == primary || primary == nil || !g.Whole() {
		release()
		return func() {}
	}
	m.Crash()
	return func() {
		m.Restart(false)
		time.AfterFunc(wipeInterval, release)
	}
}

// wipeInterval is the least interval from the restart of a wiped replica to the next wipe. The replica has received the
// log by then.
const wipeInterval = 2 * time.Second

// startStoreFault starts a fault of the store and returns the function that ends it.
func (r *run) startStoreFault(f Fault, random *rand.Rand) (end func()) {
	var faults site.StoreFaults
	switch f.Kind {
	case StoreAway:
		faults.Silent = random.IntN(2) == 0
		faults.Refusing = !faults.Silent
	case StoreTurnsAway:
		faults.TurnsAway = map[netip.Addr]bool{}
		for i := range r.processes {
			faults.TurnsAway[r.site.Host(i)] = random.IntN(2) == 0
		}
	case StoreSlow:
		faults.Slow = time.Duration(50+random.IntN(400)) * time.Millisecond
		faults.LoseAnswers = 0.4 * random.Float64()
	case StoreForgets:
		r.site.Store().Forget()
		return func() {}
	case StoreRestored:
		return r.startRestore(random)
	}
	r.site.Store().SetFaults(faults)
	return func() { r.site.Store().SetFaults(site.StoreFaults{}) }
}

// maxStoreOutage bounds the outage of the store before a restore, and maxRewriteDelay the time until the operator
// writes the configuration again after it.
const maxStoreOutage, maxRewriteDelay = 2 * time.Second, time.Second

// startRestore copies the store. The function that it returns makes the store unavailable for a while, restores it from
// the copy, and waits until the operator has written the configuration again.
func (r *run) startRestore(random *rand.Rand) (end func()) {
	outage := time.Duration(random.Int64N(int64(maxStoreOutage)))
	rewriteDelay := time.Duration(random.Int64N(int64(maxRewriteDelay)))
	silent := random.IntN(2) == 0
	backup := r.site.Store().Backup()
	return func() {
		r.site.Store().SetFaults(site.StoreFaults{Silent: silent, Refusing: !silent})
		time.Sleep(outage)
		r.site.Restore(backup, rewriteDelay)
		r.site.Store().SetFaults(site.StoreFaults{})
		time.Sleep(rewriteDelay)
	}
}
