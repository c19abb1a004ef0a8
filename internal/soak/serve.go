package soak

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"pearlatch/internal/pause"
	"pearlatch/internal/site"
)

// Progress is a periodic report of a running site.
type Progress struct {
	// Elapsed is the time since callers started.
	Elapsed time.Duration
	// Served, Refused and Unknown count the operations since the last report, as in Report.
	Served, Refused, Unknown int64
	// Primaries holds the primary of each group, in the order of the groups; empty if there is none.
	Primaries []string
	// Findings are the violated guarantees since the start.
	Findings []string
}

// progressInterval is the pause between two progress reports.
const progressInterval = time.Second

// Serve runs a site with its load and its faults until ctx ends. It calls report every second, and again after the hosts
// have ended. It returns an error if the site or its hosts don't start.
func Serve(ctx context.Context, p *Plan, report func(Progress)) error {
	s, err := site.Start(p.Options.Site)
	if err != nil {
		return errors.Wrap(err, "start site model")
	}
	defer s.Close()
	r := &run{options: p.Options, site: s, balancer: newBalancer(s)}
	r.createDatabases()
	if err := r.startHosts(); err != nil {
		return err
	}
	defer r.finish()
	if !r.awaitServing(ctx, startTimeout) {
		return r.startError("not every host served every database after the start")
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.playUntilDone(ctx, p.Seed, p.Faults)
	}()
	started := time.Now()
	var before Progress
	reportSince := func() {
		now := r.progress(started)
		delta := now
		delta.Served, delta.Refused, delta.Unknown = now.Served-before.Served, now.Refused-before.Refused, now.Unknown-before.Unknown
		before = now
		report(delta)
	}
	for pause.For(ctx, progressInterval) {
		for _, p := range r.processes {
			r.recordFailures(p.takeFailures())
		}
		reportSince()
	}
	<-done
	r.finish()
	reportSince()
	return nil
}

// progress returns a report that counts the operations since the start.
func (r *run) progress(started time.Time) Progress {
	now := Progress{
		Elapsed: time.Since(started), Served: r.served.Load(), Refused: r.refused.Load(), Unknown: r.unknown.Load(),
		Findings: r.site.History().Findings(),
	}
	for _, g := range r.site.Groups() {
		now.Primaries = append(now.Primaries, g.Leader())
	}
	return now
}

// playUntilDone runs callers and injects the faults until ctx ends.
func (r *run) playUntilDone(ctx context.Context, seed uint64, faults []Fault) {
	callers := r.startCallers(ctx, seed)
	for _, f := range faults {
		callers.Go(func() { r.inject(ctx, f) })
	}
	callers.Wait()
}
