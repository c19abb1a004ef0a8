package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"pearlatch/internal/process"
	"pearlatch/internal/soak"
)

// hostCommand runs a host as a separate process, for the soak.
type hostCommand struct {
	Settings string `long:"settings" env:"PEARLATCH_SETTINGS" required:"true" description:"settings file (YAML)"`
}

// Execute implements flags.Commander.
func (c *hostCommand) Execute([]string) error {
	return process.Run(c.Settings, os.Stdout)
}

// siteOptions selects the site to run.
type siteOptions struct {
	File string `long:"file" description:"site file (YAML); without it a small site"`
}

// loadPlan returns the plan of the site, whose hosts run as processes of this
// program.
func (o siteOptions) loadPlan() (*soak.Plan, error) {
	p := &soak.Plan{Options: soak.DefaultOptions(), Seed: 1}
	if o.File != "" {
		var err error
		if p, err = soak.LoadPlan(o.File); err != nil {
			return nil, err
		}
	}
	program, err := os.Executable()
	p.Options.Program = []string{program, "host"}
	return p, errors.Wrap(err, "find this program")
}

// siteCommand runs a site with hosts as processes until it is interrupted.
type siteCommand struct{ siteOptions }

// Execute implements flags.Commander.
func (c *siteCommand) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	p, err := c.loadPlan()
	if err != nil {
		return err
	}
	if p.Options.Folder, err = os.MkdirTemp("", "pearlatch-site-"); err != nil {
		return errors.Wrap(err, "folder for logs")
	}
	fmt.Println("settings and logs of the hosts:", p.Options.Folder)
	found := 0
	err = soak.Serve(ctx, p, func(now soak.Progress) {
		fmt.Printf("%4.0f s: %d served, %d refused, %d unknown; primaries %s\n",
			now.Elapsed.Seconds(), now.Served, now.Refused, now.Unknown, strings.Join(now.Primaries, " "))
		for _, f := range now.Findings[found:] {
			fmt.Println("  broken:", f)
		}
		found = len(now.Findings)
	})
	if err == nil && found > 0 {
		err = errors.Errorf("%d promises were broken", found)
	}
	return err
}

// soakCommand injects faults into sites whose hosts run as processes, and checks
// the guarantees to callers.
type soakCommand struct {
	siteOptions
	Seeds  int           `long:"seeds" default:"10" description:"how many seeds to play; with faults in the file, how often to play these"`
	First  uint64        `long:"first" description:"the first seed; the time of day if it is not given"`
	Faults time.Duration `long:"faults" default:"6s" description:"how long faults may begin"`
	Shrink bool          `long:"shrink" description:"drop faults of a schedule that fails for as long as it does"`
	Folder string        `long:"folder" default:"soak" description:"where the logs of runs that fail are kept"`
}

// Execute implements flags.Commander.
func (c *soakCommand) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	p, err := c.loadPlan()
	if err != nil {
		return err
	}
	if c.First == 0 {
		c.First = uint64(time.Now().Unix())
	}
	failed := 0
	for seed := c.First; seed < c.First+uint64(c.Seeds) && ctx.Err() == nil; seed++ {
		faults := p.Faults
		if len(faults) == 0 {
			faults = soak.Schedule(seed, c.Faults)
		}
		ok, err := c.runSeed(ctx, p.Options, seed, faults)
		if err != nil {
			return err
		}
		if !ok {
			failed++
		}
	}
	if failed > 0 {
		return errors.Errorf("%d seeds broke a promise", failed)
	}
	return ctx.Err()
}

// runSeed runs the schedule of one seed and reports whether it had no findings. It
// keeps the logs only if there are findings.
func (c *soakCommand) runSeed(ctx context.Context, o soak.Options, seed uint64, faults []soak.Fault) (ok bool, err error) {
	o.Folder = filepath.Join(c.Folder, fmt.Sprint("seed-", seed))
	r, err := runSchedule(ctx, o, seed, faults)
	if err != nil {
		return false, errors.Wrapf(err, "seed %d", seed)
	}
	fmt.Printf("seed %d: %d served, %d refused, %d unknown, %d promotions, %d faults, %d findings\n",
		seed, r.Served, r.Refused, r.Unknown, r.Promotions, len(faults), len(r.Findings))
	if len(r.Findings) == 0 {
		return true, errors.Wrap(os.RemoveAll(o.Folder), "drop logs")
	}
	for _, f := range r.Findings {
		fmt.Println("  finding", f)
	}
	fmt.Println("  kept in", o.Folder)
	if c.Shrink {
		c.shrink(ctx, o, seed, faults)
	}
	return false, nil
}

// shrink drops faults from a failing schedule for as long as it still fails, and
// prints what is left as a plan.
func (c *soakCommand) shrink(ctx context.Context, o soak.Options, seed uint64, faults []soak.Fault) {
	o.Folder += "-shrunk"
	left := soak.Shrink(faults, func(faults []soak.Fault) bool {
		r, err := runSchedule(ctx, o, seed, faults)
		return err == nil && len(r.Findings) > 0
	})
	fmt.Printf("  shrunk to %d faults:\n%s", len(left), (&soak.Plan{Options: o, Seed: seed, Faults: left}).Format())
}

// runSchedule runs a schedule in a new folder, o.Folder, which replaces an earlier
// one, and saves the report there.
func runSchedule(ctx context.Context, o soak.Options, seed uint64, faults []soak.Fault) (*soak.Report, error) {
	if err := os.RemoveAll(o.Folder); err != nil {
		return nil, errors.Wrap(err, "drop earlier logs")
	}
	if err := os.MkdirAll(o.Folder, 0o750); err != nil {
		return nil, errors.Wrap(err, "folder for logs")
	}
	r, err := soak.Run(ctx, o, seed, faults)
	if err != nil {
		return nil, err
	}
	return r, r.Save(o.Folder, o)
}
