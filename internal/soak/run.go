package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"pearlatch/core/freshness"
	"pearlatch/internal/gateway"
	"pearlatch/internal/pause"
	"pearlatch/internal/site"
)

// Options describe a soak. DefaultOptions is a start.
type Options struct {
	Site site.Options
	// Program runs a host whose settings SettingsVariable names.
	Program []string
	// Environment is added to that of a host.
	Environment []string
	// Callers is how many callers each database has.
	Callers int
	// Faults is how long faults may begin, and Recovery how long hosts may take to serve again after
	// the last one.
	Faults, Recovery time.Duration
	// Folder takes the settings and the logs.
	Folder string
}

// DefaultOptions returns a soak that ends within half a minute.
func DefaultOptions() Options {
	return Options{Site: site.DefaultOptions(), Callers: 6, Faults: 6 * time.Second, Recovery: 40 * time.Second}
}

// Report is what came of a run.
type Report struct {
	Seed   uint64
	Faults []Fault
	// Findings are the broken promises. The run was well if there are none.
	Findings []string
	// Served, Refused and Unknown count the operations by what their callers were told.
	Served, Refused, Unknown int64
	// Promotions counts the changes of primary.
	Promotions int
}

// run is a soak under way.
type run struct {
	options   Options
	site      *site.Site
	processes []*hostProcess
	balancer  *balancer
	databases []database
	configs   *configChecker

	served, refused, unknown atomic.Int64
	// replicaWiped is true while a member may hold nothing of what was acknowledged.
	replicaWiped atomic.Bool

	mu sync.Mutex
	// unplannedFaults counts the unplanned faults under way; calmSince is when the last one ended.
	unplannedFaults    int
	unplannedChangedAt time.Time
}

// database is what callers connect to.
type database struct {
	name   string
	class  freshness.Class
	ledger *ledger
}

// routeTimeout bounds a statement.
const routeTimeout = 800 * time.Millisecond

// Run plays the faults of a schedule. An error means that the soak itself did not work.
func Run(ctx context.Context, o Options, seed uint64, faults []Fault) (*Report, error) {
	s, err := site.Start(o.Site)
	if err != nil {
		return nil, errors.Wrap(err, "start the model")
	}
	defer s.Close()
	r := &run{options: o, site: s, balancer: newBalancer(s)}
	r.createDatabases()
	if err := r.startHosts(); err != nil {
		return nil, err
	}
	defer r.finish()
	if !r.awaitServing(ctx, startTimeout) {
		return nil, errors.New("the hosts did not come to serve before the first fault")
	}
	files := r.openDescriptors()
	r.play(ctx, seed, faults)
	r.checkRecovery(ctx, files)
	r.finish()
	report := &Report{
		Seed: seed, Faults: faults, Findings: s.History().Findings(),
		Served: r.served.Load(), Refused: r.refused.Load(), Unknown: r.unknown.Load(),
	}
	for _, g := range s.Groups() {
		report.Promotions += g.Promotions()
	}
	return report, nil
}

const (
	// startTimeout bounds the time until all hosts serve.
	startTimeout = 30 * time.Second
	// settleDelay is how long callers go on after the faults.
	settleDelay = 2 * time.Second
)

// createDatabases gives each group three databases, one for each freshness.
func (r *run) createDatabases() {
	for i, g := range r.site.Groups() {
		l := newLedger(g, r.site.History())
		for name, class := range map[string]freshness.Class{
			"saves": freshness.Latest{}, "menus": freshness.MaxAge{Age: 1500 * time.Millisecond}, "labels": freshness.OwnWrites{},
		} {
			r.databases = append(r.databases, database{fmt.Sprint(name, i), class, l})
		}
		for _, m := range g.Members() {
			m.SetLag(defaultLag)
		}
	}
	r.configs = newConfigChecker(r)
	r.configs.configure()
}

// config returns the configuration, with the extra route or without.
func (r *run) config(extra bool) gateway.Config {
	c := gateway.Config{
		TransactionIdleTimeout: 3 * time.Second, Routes: map[string]gateway.Route{}, Groups: map[string]gateway.GroupConfig{},
	}
	for _, g := range r.site.Groups() {
		c.Groups[g.Name()] = gateway.GroupConfig{Connections: r.options.Site.Connections, SyncReplicas: 1}
	}
	route := func(name string, class freshness.Class, group string) {
		c.Routes[name] = gateway.Route{Name: name, Group: group, Class: class, Timeout: routeTimeout, LatencyTarget: routeTimeout / 4, Priority: 1}
	}
	for _, d := range r.databases {
		route(d.name, d.class, d.ledger.group.Name())
	}
	if extra {
		route(extraDatabase, freshness.Latest{}, r.site.Groups()[0].Name())
	}
	return c
}

// configure changes the configuration several times in a row.
func (r *run) configure(times int) {
	for range times {
		r.configs.configure()
	}
}

func (r *run) startHosts() error {
	for i := range r.options.Site.Hosts {
		p, err := newHostProcess(i, r.options, r.site.Settings(i))
		if err != nil {
			return err
		}
		r.processes = append(r.processes, p)
		go p.supervise()
	}
	return nil
}

// play runs callers and faults.
func (r *run) play(ctx context.Context, seed uint64, faults []Fault) {
	working, stop := context.WithCancel(ctx)
	callers := r.startCallers(working, seed)
	var troubles sync.WaitGroup
	for _, f := range faults {
		troubles.Go(func() { r.inject(ctx, f) })
	}
	troubles.Wait()
	pause.For(ctx, settleDelay)
	stop()
	callers.Wait()
}

// startCallers starts callers, which end with ctx.
func (r *run) startCallers(ctx context.Context, seed uint64) *sync.WaitGroup {
	var callers sync.WaitGroup
	callers.Go(func() { r.balancer.run(ctx) })
	callers.Go(func() { r.configs.run(ctx) })
	for n, d := range r.databases {
		for i := range r.options.Callers {
			c := &caller{
				run: r, name: fmt.Sprintf("%s.%d", d.name, i), database: d.name, class: d.class, ledger: d.ledger,
				random: rand.New(rand.NewPCG(seed, uint64(n*r.options.Callers+i))),
			}
			callers.Go(func() { c.runOperations(ctx) })
		}
	}
	return &callers
}

// addUnplannedFaults notes that an unplanned fault began, or ended.
func (r *run) addUnplannedFaults(change int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unplannedFaults += change
	r.unplannedChangedAt = time.Now()
}

// quietAt reports whether there has been no unplanned fault for a while before the time and since.
func (r *run) quietAt(at time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.unplannedFaults == 0 && at.Sub(r.unplannedChangedAt) > quietDelay
}

// quietDelay is how long after an unplanned fault its effects may still cut requests.
const quietDelay = 3 * time.Second

// recordError records that the soak could not do what it meant to.
func (r *run) recordError(err error) {
	if err != nil {
		r.site.History().Broken("SOAK: %v", err)
	}
}

// countOutcome counts an operation by its last answer.
func (r *run) countOutcome(a answer) {
	switch {
	case a.served():
		r.served.Add(1)
	case a.refused():
		r.refused.Add(1)
	default:
		r.unknown.Add(1)
	}
}

// recordInterrupted notes a request that got no answer. Around planned work that must not happen.
func (r *run) recordInterrupted(c *caller, a answer) {
	life, stopping := r.processes[c.host].current()
	if life == c.incarnation && stopping && !isTimeout(a.err) && r.quietAt(a.began) {
		r.site.History().Broken("LOST: request %s was cut by host %d, which stops: %v", a.id, c.host, a.err)
	}
}

func (r *run) openDescriptors() int {
	n := 0
	for _, p := range r.processes {
		n += p.openDescriptors()
	}
	return n
}

// checkRecovery waits until all is well, and compares what callers were told with what the members hold.
func (r *run) checkRecovery(ctx context.Context, filesBefore int) {
	h := r.site.History()
	if !r.awaitServing(ctx, r.options.Recovery) {
		h.Broken("RECOVER: not every host serves every database %s after the last fault", r.options.Recovery)
	}
	r.configs.awaitLatest(ctx)
	for i, g := range r.site.Groups() {
		committed, ok := g.Committed()
		if !ok {
			h.Broken("RECOVER: nobody leads group %s", g.Name())
			continue
		}
		r.databases[i*databasesPerGroup].ledger.checkLog(committed)
	}
	if now := r.openDescriptors(); now > maxDescriptorGrowth*filesBefore {
		h.Broken("LEAK: the hosts have %d descriptors open, %d before the faults", now, filesBefore)
	}
}

const (
	databasesPerGroup = 3
	// maxDescriptorGrowth is how many times as many descriptors hosts may have open after the faults: links
	// between hosts are opened on demand.
	maxDescriptorGrowth = 4
)

// finish ends the hosts.
func (r *run) finish() {
	for _, p := range r.processes {
		for _, each := range p.finish() {
			r.site.History().Broken("EXIT: %s", each)
		}
	}
	r.processes = nil
}
