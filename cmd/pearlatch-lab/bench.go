package main

import (
	"os"
	"runtime/pprof"
	"time"

	"github.com/go-kit/log"
	"github.com/pkg/errors"

	"pearlatch/internal/lab"
)

// outputOptions is where a bench's result goes.
type outputOptions struct {
	JSON    string `long:"json" description:"file for the result, as one JSON object"`
	Verbose bool   `long:"verbose" description:"write the hosts' logs to standard error"`
}

func (o outputOptions) logger() log.Logger {
	if !o.Verbose {
		return log.NewNopLogger()
	}
	return log.With(log.NewJSONLogger(log.NewSyncWriter(os.Stderr)), "ts", log.DefaultTimestampUTC)
}

func (o outputOptions) writeResult(v any) error {
	if o.JSON == "" {
		return nil
	}
	return lab.WriteJSON(o.JSON, v)
}

// benchCommand groups the benches.
type benchCommand struct {
	Slopes     slopesCommand      `command:"slopes" description:"What the capacity table is worked out from"`
	Config     configBenchCommand `command:"config" description:"How long an accepted document takes to be in force everywhere"`
	Overload   overloadCommand    `command:"overload" description:"Goodput at several times what a group can run"`
	Membership membershipCommand  `command:"membership" description:"What belief about the fleet costs a host, against the size of the fleet"`
	Overhead   overheadCommand    `command:"overhead" description:"What pearlatch adds to a statement, and what an idle caller costs"`
	Reads      readsCommand       `command:"reads" description:"Share of reads served by replicas, against a baseline and an oracle"`
	Failover   failoverCommand    `command:"failover" description:"Gap of a failover as callers see it, against a baseline"`
}

// configBenchCommand measures the spread of configurations.
type configBenchCommand struct {
	outputOptions
	Fleets  []int  `long:"fleet" default:"8" default:"128" description:"number of hosts"`
	Changes int    `long:"changes" default:"10" description:"documents submitted in each condition"`
	Bytes   int    `long:"bytes" default:"1000000" description:"size of the document"`
	Seed    uint64 `long:"seed" default:"1" description:"seed of the changes"`
}

// Execute implements flags.Commander.
func (c *configBenchCommand) Execute([]string) error {
	res, err := lab.BenchConfig(lab.ConfigOptions{
		Fleets: c.Fleets, Changes: c.Changes, Bytes: c.Bytes, Seed: c.Seed, Out: os.Stdout, Logger: c.logger(),
	})
	if err != nil {
		return err
	}
	return c.writeResult(res)
}

// overloadCommand measures overload.
type overloadCommand struct {
	outputOptions
	Duration time.Duration `long:"duration" default:"8s" description:"how long each load is measured"`
	Seed     uint64        `long:"seed" default:"1" description:"seed of the arrivals"`
}

// Execute implements flags.Commander.
func (c *overloadCommand) Execute([]string) error {
	res, err := lab.BenchOverload(lab.OverloadOptions{Duration: c.Duration, Seed: c.Seed, Out: os.Stdout, Logger: c.logger()})
	if err != nil {
		return err
	}
	return c.writeResult(res)
}

// membershipCommand measures membership.
type membershipCommand struct {
	outputOptions
	Fleets   []int         `long:"fleet" default:"8" default:"32" default:"128" default:"512" description:"number of hosts"`
	Duration time.Duration `long:"duration" default:"10s" description:"how long a quiet fleet is measured"`
	Deaths   int           `long:"deaths" default:"5" description:"hosts killed, one after another"`
}

// Execute implements flags.Commander.
func (c *membershipCommand) Execute([]string) error {
	res, err := lab.BenchMembership(lab.MembershipOptions{
		Fleets: c.Fleets, Duration: c.Duration, Deaths: c.Deaths, Out: os.Stdout, Logger: c.logger(),
	})
	if err != nil {
		return err
	}
	return c.writeResult(res)
}

// overheadCommand measures overhead.
type overheadCommand struct {
	outputOptions
	Duration time.Duration `long:"duration" default:"5s" description:"how long each path is measured"`
	Callers  int           `long:"callers" default:"16" description:"callers at once"`
	Idle     int           `long:"idle" default:"5000" description:"idle callers to count"`
	Profile  string        `long:"profile" description:"file for a CPU profile of the run"`
}

// Execute implements flags.Commander.
func (c *overheadCommand) Execute([]string) error {
	stop, err := startProfile(c.Profile)
	if err != nil {
		return err
	}
	defer stop()
	res, err := lab.BenchOverhead(lab.OverheadOptions{
		Duration: c.Duration, Callers: c.Callers, Idle: c.Idle, Out: os.Stdout, Logger: c.logger(),
	})
	if err != nil {
		return err
	}
	return c.writeResult(res)
}

// startProfile starts a CPU startProfile, if a file is named, and returns what ends it.
func startProfile(path string) (stop func(), err error) {
	if path == "" {
		return func() {}, nil
	}
	f, err := os.Create(path)
	if err != nil {
		return nil, errors.Wrap(err, "create the profile")
	}
	if err := pprof.StartCPUProfile(f); err != nil {
		_ = f.Close()
		return nil, errors.Wrap(err, "start the profile")
	}
	return func() {
		pprof.StopCPUProfile()
		_ = f.Close()
	}, nil
}

// readsCommand measures reads.
type readsCommand struct {
	outputOptions
	Duration time.Duration `long:"duration" default:"20s" description:"how long each variant is measured"`
	Seed     uint64        `long:"seed" default:"1" description:"seed of the load's choices"`
	Sessions int           `long:"sessions" default:"240" description:"sessions at once"`
	Think    time.Duration `long:"think" default:"250ms" description:"pause between two statements of a session"`
}

// Execute implements flags.Commander.
func (c *readsCommand) Execute([]string) error {
	res, err := lab.BenchReads(lab.ReadsOptions{
		Duration: c.Duration, Seed: c.Seed, Sessions: c.Sessions, Think: c.Think, Out: os.Stdout, Logger: c.logger(),
	})
	if err != nil {
		return err
	}
	return c.writeResult(res)
}

// failoverCommand measures failovers.
type failoverCommand struct {
	outputOptions
	Only    string `long:"only" description:"the one fault to measure: crash, partition, planned or owner_loss"`
	Trials  int    `long:"trials" default:"20" description:"faults of each kind"`
	Seed    uint64 `long:"seed" default:"1" description:"seed of the load's choices"`
	Minutes int    `long:"minutes" default:"10" description:"cluster minutes of disturbances that must cause no promotion"`
}

// Execute implements flags.Commander.
func (c *failoverCommand) Execute([]string) error {
	res, err := lab.BenchFailover(lab.FailoverOptions{
		Only: c.Only, Trials: c.Trials, Seed: c.Seed, PauseMinutes: c.Minutes, Out: os.Stdout, Logger: c.logger(),
	})
	if err != nil {
		return err
	}
	return c.writeResult(res)
}
