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

// progressPause is the pause between two reports.
const progressPause = time.Second

// Serve runs a site with a load, and its faults, until ctx ends. It reports how the site fares.
func Serve(ctx context.Context, p *Plan, report func(Progress)) error {
	s, err := site.Start(p.Options.Site)
	if err != nil {
		return errors.Wrap(err, "start the model")
	}
	defer s.Close()
	r := &run{options: p.Options, site: s, rotation: newRotation(s)}
	r.layOut()
	if err := r.startHosts(); err != nil {
		return err
	}
	defer r.finish()
	if !r.await(ctx, startTime) {
		return errors.New("the hosts did not come to serve")
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.playUntil(ctx, p.Seed, p.Faults)
	}()
	started := time.Now()
	var before Progress
	for pause.For(ctx, progressPause) {
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

// playUntil plays callers and faults until ctx ends.
func (r *run) playUntil(ctx context.Context, seed uint64, faults []Fault) {
	callers := r.work(ctx, seed)
	for _, f := range faults {
		callers.Go(func() { r.inflict(ctx, f) })
	}
	callers.Wait()
}
