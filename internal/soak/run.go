package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"pearlatch/core/freshness"
	"pearlatch/internal/gateway"
	"pearlatch/internal/pause"
	"pearlatch/internal/site"
)

// Options configure a soak. Start from DefaultOptions.
type Options struct {
	Site site.Options
	// Program is the command that runs a host. It reads its settings from the path in SettingsVariable.
	Program []string
	// Environment is added to the environment of each host.
	Environment []string
	// Callers is the number of callers of each database.
	Callers int
	// UnusualTexts is the share of texts of callers that ordinary callers don't send, such as ones with line feeds.
	UnusualTexts float64
	// Faults is the duration within which faults begin, and Recovery the time after the last fault within which
	// all hosts must serve again.
	Faults, Recovery time.Duration
	// Folder is where the settings and logs of hosts are written.
	Folder string
}

// DefaultOptions returns the options of a soak that ends within half a minute.
func DefaultOptions() Options {
	return Options{
		Site: site.DefaultOptions(), Callers: 6, UnusualTexts: 0.1, Faults: 6 * time.Second, Recovery: 40 * time.Second,
	}
}

// Report is the result of a run.
type Report struct {
	Seed   uint64
	Faults []Fault
	// Findings are the violated guarantees. The run passed if there are none.
	Findings []string
	// Served, Refused and Unknown count the operations by outcome. That of an operation without a definite answer
	// is unknown.
	Served, Refused, Unknown int64
	// Promotions counts the promotions that took effect.
	Promotions int
}

// run is the state of a running soak.
type run struct {
	options   Options
	site      *site.Site
	processes []*hostProcess
	balancer  *balancer
	databases []database
	configs   *configChecker

	served, refused, unknown atomic.Int64
	// replicaWiped is true while a replica may lack acknowledged writes because it was wiped.
	replicaWiped atomic.Bool

	mu sync.Mutex
	// unplannedFaults counts the current unplanned faults. unplannedChangedAt is when it last changed.
	unplannedFaults    int
	unplannedChangedAt time.Time
}

// database is a database that callers connect to, with the freshness class of its route and the ledger of its group.
type database struct {
	name   string
	class  freshness.Class
	ledger *ledger
}

// routeTimeout is the timeout of all routes.
const routeTimeout = 800 * time.Millisecond

// Run starts a site with its hosts and callers, injects the faults, and checks the guarantees. The seed determines the
// load. Run returns an error if the site or its hosts don't start; violated guarantees are in the report.
func Run(ctx context.Context, o Options, seed uint64, faults []Fault) (*Report, error) {
	s, err := site.Start(o.Site)
	if err != nil {
		return nil, errors.Wrap(err, "start site model")
	}
	defer s.Close()
	r := &run{options: o, site: s, balancer: newBalancer(s)}
	r.createDatabases()
	if err := r.startHosts(); err != nil {
		return nil, err
	}
	defer r.finish()
	if !r.awaitServing(ctx, startTimeout) {
		return nil, r.startError("not every host served every database before the first fault")
	}
	descriptors := r.openDescriptors()
	r.play(ctx, seed, faults)
	r.checkRecovery(ctx, descriptors)
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
	// startTimeout bounds the time until all hosts serve after the start.
	startTimeout = 30 * time.Second
	// settleDelay is how long callers continue after the last fault.
	settleDelay = 2 * time.Second
)

// createDatabases creates three databases for each group, one for each freshness class, sets the apply lag of the
// members, and writes the first configuration.
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

// config returns a configuration with a route for each database, and one for extraDatabase if extra is true.
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

// configure changes the configuration the given number of times in a row.
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

// play runs callers and injects the faults, and returns settleDelay after the last fault ended.
func (r *run) play(ctx context.Context, seed uint64, faults []Fault) {
	callersCtx, stop := context.WithCancel(ctx)
	callers := r.startCallers(callersCtx, seed)
	var injections sync.WaitGroup
	for _, f := range faults {
		injections.Go(func() { r.inject(ctx, f) })
	}
	injections.Wait()
	pause.For(ctx, settleDelay)
	stop()
	callers.Wait()
}

// startCallers starts the callers, the balancer and the checker of configurations. All of them end with ctx.
func (r *run) startCallers(ctx context.Context, seed uint64) *sync.WaitGroup {
	var callers sync.WaitGroup
	callers.Go(func() { r.balancer.run(ctx) })
	callers.Go(func() { r.configs.run(ctx) })
	for n, d := range r.databases {
		for i := range r.options.Callers {
			c := r.newCaller(d, fmt.Sprint(i), seed, uint64(n*r.options.Callers+i))
			callers.Go(func() { c.runOperations(ctx) })
		}
		for i := range longCallers {
			c := r.newCaller(d, fmt.Sprint("long", i), seed, uint64(longCallerStream+n*longCallers+i))
			c.ignoresNotices = i%2 == 1
			callers.Go(func() { c.runLongTransactions(ctx) })
		}
	}
	return &callers
}

// newCaller returns a caller of a database with random streams of its own.
func (r *run) newCaller(d database, name string, seed, stream uint64) *caller {
	return &caller{
		run: r, name: d.name + "." + name, database: d.name, class: d.class, ledger: d.ledger,
		random: rand.New(rand.NewPCG(seed, stream)),
		texts:  textSource{rand.New(rand.NewPCG(seed, textStream+stream)), r.options.UnusualTexts},
	}
}

// longCallerStream is the first random stream of callers with long transactions.
const longCallerStream = 1 << 32

// textStream is the first random stream of the texts of callers.
const textStream = 1 << 33

// addUnplannedFaults adds change to the number of current unplanned faults.
func (r *run) addUnplannedFaults(change int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unplannedFaults += change
	r.unplannedChangedAt = time.Now()
}

// quietAt reports whether there has been no unplanned fault from quietDelay before the given time until now.
func (r *run) quietAt(at time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.unplannedFaults == 0 && at.Sub(r.unplannedChangedAt) > quietDelay
}

// quietDelay is how long after an unplanned fault its effects may still interrupt requests.
const quietDelay = 3 * time.Second

// recordError records an error of the soak itself as a finding. It does nothing if err is nil.
func (r *run) recordError(err error) {
	if err != nil {
		r.site.History().Broken("SOAK: %v", err)
	}
}

// countOutcome counts an operation by the outcome of its last request.
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

// recordInterrupted records a request that ended without an answer as a finding, if the host was shutting down and no
// unplanned fault can be the cause. A planned shutdown must not interrupt requests. Timeouts are left out.
//
// A caller that ignores notices may send a request on a connection that the host has closed. Its requests count only if a
// member received them or the connection ended later than lossSlack.
func (r *run) recordInterrupted(c *caller, a answer) {
	incarnation, stopping := r.processes[c.host].current()
	if c.ignoresNotices && a.ended.Sub(a.began) <= lossSlack && !r.site.History().Received(a.id) {
		return
	}
	if incarnation == c.incarnation && stopping && !isTimeout(a.err) && r.quietAt(a.began) {
		r.site.History().Broken("LOST: request %s was cut by host %d, which stops: %v", a.id, c.host, a.err)
	}
}

// lossSlack is how soon after a request its connection may end without an answer, if the request has not been passed on.
const lossSlack = 200 * time.Millisecond

func (r *run) openDescriptors() int {
	n := 0
	for _, p := range r.processes {
		n += p.openDescriptors()
	}
	return n
}

// checkRecovery waits until all hosts serve and have the newest configuration. It then compares the ledgers with the
// logs of the primaries, and the number of open descriptors with the one before the faults.
func (r *run) checkRecovery(ctx context.Context, descriptorsBefore int) {
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
	if now := r.openDescriptors(); now > maxDescriptorGrowth*descriptorsBefore {
		h.Broken("LEAK: the hosts have %d descriptors open, %d before the faults", now, descriptorsBefore)
	}
}

const (
	databasesPerGroup = 3
	// maxDescriptorGrowth bounds the open descriptors after the faults, as a multiple of those before. Hosts may have
	// more of them after the faults, since connections between hosts are opened on demand.
	maxDescriptorGrowth = 4
)

// finish kills all hosts and records their failures. Further calls do nothing.
func (r *run) finish() {
	for _, p := range r.processes {
		r.recordFailures(p.finish())
	}
	r.processes = nil
}

func (r *run) recordFailures(failures []string) {
	for _, failure := range failures {
		kind, text, _ := strings.Cut(failure, ": ")
		r.site.History().Broken(kind+": %s", text)
	}
}

// startError kills all hosts, so that their crashes are among the findings, and returns an error with message and findings.
func (r *run) startError(message string) error {
	r.finish()
	return errors.New(strings.Join(append([]string{message}, r.site.History().Findings()...), "; "))
}
