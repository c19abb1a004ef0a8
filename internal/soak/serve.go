package soak

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"pearlatch/internal/pause"
	"pearlatch/internal/site"
)

// Progress tells how a site fares.
type Progress struct {
	// Elapsed is since callers began.
	Elapsed time.Duration
	// Served, Refused and Unknown count operations since the last report.
	Served, Refused, Unknown int64
	// Primaries are the members that lead, by group, or empty strings.
	Primaries []string
	// Findings are the broken promises so far.
	Findings []string
}

// progressInterval is the pause between two reports.
const progressInterval = time.Second

// Serve runs a site with a load, and its faults, until ctx ends. It reports how the site fares.
func Serve(ctx context.Context, p *Plan, report func(Progress)) error {
	s, err := site.Start(p.Options.Site)
	if err != nil {
		return errors.Wrap(err, "start the model")
	}
	defer s.Close()
	r := &run{options: p.Options, site: s, balancer: newBalancer(s)}
	r.createDatabases()
	if err := r.startHosts(); err != nil {
		return err
	}
	defer r.finish()
	if !r.awaitServing(ctx, startTimeout) {
		return errors.New("the hosts did not come to serve")
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.playUntilDone(ctx, p.Seed, p.Faults)
	}()
	started := time.Now()
	var before Progress
	for pause.For(ctx, progressInterval) {
		now := Progress{
			Elapsed: time.Since(started), Served: r.served.Load(), Refused: r.refused.Load(), Unknown: r.unknown.Load(),
			Findings: s.History().Findings(),
		}
		for _, g := range s.Groups() {
			now.Primaries = append(now.Primaries, g.Leader())
		}
		told := now
		told.Served, told.Refused, told.Unknown = now.Served-before.Served, now.Refused-before.Refused, now.Unknown-before.Unknown
		before = now
		report(told)
	}
	<-done
	return nil
}

// playUntilDone plays callers and faults until ctx ends.
func (r *run) playUntilDone(ctx context.Context, seed uint64, faults []Fault) {
	callers := r.startCallers(ctx, seed)
	for _, f := range faults {
		callers.Go(func() { r.inject(ctx, f) })
	}
	callers.Wait()
}
