package soak

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"syscall"
	"time"

	"pearlatch/internal/pause"
	"pearlatch/internal/site"
)

// inject makes a fault begin and end.
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

// injectHostFault does what befalls hosts.
func (r *run) injectHostFault(ctx context.Context, f Fault, random *rand.Rand) {
	h := random.IntN(len(r.processes))
	p := r.processes[h]
	switch f.Kind {
	case StopHost:
		p.signal(syscall.SIGTERM, f.For)
	case StopHostsInTurn:
		for range 2 + random.IntN(2) {
			r.processes[random.IntN(len(r.processes))].signal(syscall.SIGTERM, 0)
			pause.For(ctx, f.For/3)
		}
	case Reload:
		r.reloadSettings(ctx, p, f, random)
	case KillHost:
		p.signal(syscall.SIGKILL, f.For)
		pause.For(ctx, f.For)
	case KillHosts:
		for _, each := range r.processes {
			if random.IntN(4) > 0 {
				each.signal(syscall.SIGKILL, f.For)
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

// reloadSettings changes a host's settings file, and mends it in the end.
func (r *run) reloadSettings(ctx context.Context, p *hostProcess, f Fault, random *rand.Rand) {
	good := r.site.Settings(p.index)
	text := good
	switch random.IntN(3) {
	case 0:
		text = good[:len(good)/2]
	case 1:
		text = "host: [\n" + good
	}
	r.recordError(p.writeSettings(text))
	if random.IntN(2) == 0 {
		p.signal(syscall.SIGHUP, 0)
	}
	pause.For(ctx, f.For)
	r.recordError(p.writeSettings(good))
	p.signal(syscall.SIGHUP, 0)
}

// disturbNetwork cuts, delays or resets what passes between a host and some of what it reaches.
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
		way := random.IntN(3)
		rule = site.Rule{Forth: way != 0, Back: way != 1}
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

// startFault makes a fault of members or of the platform startFault, and returns what ends it.
func (r *run) startFault(f Fault, random *rand.Rand) (end func()) {
	groups := r.site.Groups()
	g := groups[random.IntN(len(groups))]
	m := g.Members()[random.IntN(len(g.Members()))]
	if p := g.Primary(); p != nil && random.IntN(2) == 0 {
		m = p // half of all faults meet the primary
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
	case LateOrders:
		g.SetLate(time.Duration(1+random.IntN(5)) * time.Second)
		return func() { g.SetLate(0) }
	default:
		return r.startStoreFault(f, random)
	}
	return func() {}
}

const (
	// defaultLag is how late replicas apply when they are well.
	defaultLag = 10 * time.Millisecond
	// memberDrainTimeout is how long a leaving member goes on to serve.
	memberDrainTimeout = 5 * time.Second
)

// wipeReplica makes a replica start again with nothing. A primary, or a second replica at a time, would take the
// only other copy of acknowledged writes along, which nobody promises to survive.
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

// wipeInterval is how long after a member came back with nothing the next one may: it has the log by then.
const wipeInterval = 2 * time.Second

// startStoreFault makes the store misbehave.
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

// maxStoreOutage bounds how long the store is away before it comes back from a copy, and maxRewriteDelay how long the
// operator takes then to write the configuration again.
const maxStoreOutage, maxRewriteDelay = 2 * time.Second, time.Second

// startRestore copies the store. At the end the store goes away and comes back from the copy.
func (r *run) startRestore(random *rand.Rand) (end func()) {
	away := time.Duration(random.Int64N(int64(maxStoreOutage)))
	operator := time.Duration(random.Int64N(int64(maxRewriteDelay)))
	silent := random.IntN(2) == 0
	b := r.site.Store().Backup()
	return func() {
		r.site.Store().SetFaults(site.StoreFaults{Silent: silent, Refusing: !silent})
		time.Sleep(away)
		r.site.Restore(b, operator)
		r.site.Store().SetFaults(site.StoreFaults{})
		time.Sleep(operator)
	}
}
