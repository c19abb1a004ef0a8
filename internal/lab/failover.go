package lab

import (
	"context"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/pkg/errors"
)

// FailoverOptions describes the failover bench.
type FailoverOptions struct {
	// Only names the one fault to measure; empty for all.
	Only string
	// Trials is how many faults of each kind are caused.
	Trials int
	Seed   uint64
	// PauseMinutes is for how many cluster minutes pauses, lag, slowness and lost
	// probes must cause no promotion.
	PauseMinutes int
	Out          io.Writer
	Logger       log.Logger
}

// FailoverResult is the bench's result as it stands in its JSON file.
type FailoverResult struct {
	Pearlatch map[string]FailoverFigures `json:"pearlatch"`
	StoreDown map[string]FailoverFigures `json:"pearlatch_store_down"`
	Baseline  map[string]FailoverFigures `json:"baseline"`
	False     int                        `json:"false_promotions"`
	Minutes   int                        `json:"false_promotion_minutes"`
}

// FailoverFigures are the figures of one fault.
type FailoverFigures struct {
	GapP50MS     float64 `json:"gap_p50_ms"`
	GapP99MS     float64 `json:"gap_p99_ms"`
	GapMaxMS     float64 `json:"gap_max_ms"`
	Lost         int     `json:"lost"`
	Doubled      int     `json:"doubled"`
	CallerErrors int     `json:"caller_errors"`
	Unknown      int     `json:"outcomes_unknown"`
	Stuck        int     `json:"callers_stuck"`
	Trials       int     `json:"trials"`
	Callers      int     `json:"callers"`
}

// trialFault is a fault of the failover bench.
type trialFault struct {
	name  string
	cause func(*Cluster) (undo func() error, err error)
}

// onPrimary returns a fault of the first group's primary, and what ends it.
func onPrimary(kind FaultKind) func(*Cluster) (func() error, error) {
	return func(c *Cluster) (func() error, error) {
		index := c.primaryIndex(0)
		err := c.Cause(Fault{Kind: kind, Member: index})
		return func() error {
			if err := c.Cause(Fault{Kind: Heal, Member: index}); err != nil {
				return err
			}
			if kind == Leave {
				// The upgrade: the member restarts and is rebuilt as a replica.
				if err := c.Cause(Fault{Kind: Rejoin, Member: index}); err != nil {
					return err
				}
				return c.Cause(Fault{Kind: Stay, Member: index})
			}
			return c.Cause(Fault{Kind: Rejoin, Member: index})
		}, err
	}
}

func (c *Cluster) primaryIndex(g int) int {
	primary := c.Groups[g].Primary()
	for i := range c.Topology.Members {
		if c.Groups[g].Member(i) == primary {
			return i
		}
	}
	return 0
}

func killOwner(c *Cluster) (func() error, error) {
	i := c.Owner(0)
	if i < 0 {
		return nil, errors.New("the group has no owner")
	}
	c.KillHost(i)
	return func() error { return c.StartHost(i) }, nil
}

var trialFaults = []trialFault{
	{"crash", onPrimary(Crash)},
	{"partition", onPrimary(Partition)},
	{"planned", onPrimary(Leave)},
	{"owner_loss", killOwner},
}

// faultWindow is how long after a fault gaps are attributed to it, and
// recoverTime how long the cluster has after the fault was ended.
const (
	faultWindow = 2 * time.Second
	recoverTime = 700 * time.Millisecond
)

// baselineSilence is the fixed time of silence after which the baseline acts.
const baselineSilence = 3 * time.Second

// variant is a way to run the trials.
type variant struct {
	name      string
	storeDown bool
	baseline  bool
}

// BenchFailover measures the failover gap as callers see it. Each fault runs on
// a cluster of its own, several at a time.
func BenchFailover(o FailoverOptions) (FailoverResult, error) {
	out := FailoverResult{
		Pearlatch: map[string]FailoverFigures{}, StoreDown: map[string]FailoverFigures{}, Baseline: map[string]FailoverFigures{},
	}
	into := map[string]map[string]FailoverFigures{"pearlatch": out.Pearlatch, "store down": out.StoreDown, "baseline": out.Baseline}
	var jobs []func() error
	var mu sync.Mutex
	for _, v := range []variant{{name: "pearlatch"}, {name: "store down", storeDown: true}, {name: "baseline", baseline: true}} {
		for _, f := range trialFaults {
			if f.name == "planned" && v.storeDown || o.Only != "" && o.Only != f.name {
				continue // a change of the configuration needs the store
			}
			net := byte(len(jobs) + 1)
			jobs = append(jobs, func() error {
				figures, err := runTrials(o, v, f, net)
				if err != nil {
					return errors.Wrapf(err, "%s, %s", v.name, f.name)
				}
				fmt.Fprintf(o.Out, "%-11s %-10s gap p50 %5.0f ms, p99 %5.0f ms, max %5.0f ms, lost %d, doubled %d, errors %d (%d unknown), stuck %d\n",
					v.name, f.name, figures.GapP50MS, figures.GapP99MS, figures.GapMaxMS, figures.Lost, figures.Doubled, figures.CallerErrors, figures.Unknown, figures.Stuck)
				mu.Lock()
				defer mu.Unlock()
				into[v.name][f.name] = figures
				return nil
			})
		}
	}
	if err := parallel(jobs, parallelClusters); err != nil {
		return out, err
	}
	falsePromotions, err := countFalsePromotions(o)
	out.False, out.Minutes = falsePromotions, o.PauseMinutes
	return out, err
}

// parallelClusters is how many clusters run at once. More would measure the
// machine's load.
const parallelClusters = 3

// parallel runs jobs, several at a time, and returns the first error.
func parallel(jobs []func() error, limit int) error {
	var wg sync.WaitGroup
	slots := make(chan struct{}, limit)
	errs := make(chan error, len(jobs))
	for _, job := range jobs {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			if err := job(); err != nil {
				errs <- err
			}
		})
	}
	wg.Wait()
	close(errs)
	return <-errs
}

// failoverSite is Kyrikos with one group, on addresses of its own.
func failoverSite(net byte) Topology {
	t := Kyrikos()
	t.Groups = 1
	t.Net = [3]byte{127, 1, net}
	return t
}

func runTrials(o FailoverOptions, v variant, f trialFault, net byte) (FailoverFigures, error) {
	t := failoverSite(net)
	window := faultWindow
	if v.baseline {
		t.Timing.Silence = baselineSilence
		t.Unsafe.SkipConfirm, t.Unsafe.SilenceOnly = true, true
		window += baselineSilence
	}
	c, err := StartCluster(t, o.Logger)
	if err != nil {
		return FailoverFigures{}, err
	}
	defer c.Close()
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	if err := c.Ready(ctx); err != nil {
		return FailoverFigures{}, err
	}
	load := StartLoad(c, LoadOptions{Sessions: 16, Writes: 1, Roam: 0.2, Think: 5 * time.Millisecond, Seed: o.Seed})
	var gaps []time.Duration
	var figures FailoverFigures
	for range o.Trials {
		time.Sleep(recoverTime)
		c.Platform.SetDown(v.storeDown)
		at := time.Now()
		undo, err := f.cause(c)
		if err != nil {
			return figures, err
		}
		time.Sleep(window)
		got, stuck := load.Gaps(at, window)
		gaps, figures.Stuck = append(gaps, got...), figures.Stuck+stuck
		c.Platform.SetDown(false)
		if err := undo(); err != nil {
			return figures, err
		}
	}
	time.Sleep(recoverTime)
	load.Stop()
	time.Sleep(settleTime)
	figures.fill(gaps, load.Check())
	figures.Trials, figures.Callers = o.Trials, 16
	return figures, nil
}

func (f *FailoverFigures) fill(gaps []time.Duration, res Result) {
	slices.Sort(gaps)
	f.GapP50MS = milliseconds(percentile(gaps, 0.50))
	f.GapP99MS = milliseconds(percentile(gaps, 0.99))
	f.GapMaxMS = milliseconds(percentile(gaps, 1))
	f.Lost, f.Doubled = res.Lost, res.Doubled
	f.CallerErrors, f.Unknown = res.ErrorsNotRun+res.ErrorsUnknown, res.ErrorsUnknown
}

// percentile returns the value at the given share of a sorted list.
func percentile(sorted []time.Duration, share float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(share*float64(len(sorted))))]
}

// Gaps returns each session's longest time between two acknowledged writes that
// ended within the window after the given moment. Sessions without a write in
// its second half are counted in stuck.
func (l *Load) Gaps(at time.Time, window time.Duration) (gaps []time.Duration, stuck int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, list := range l.writes {
		var longest time.Duration
		for i := len(list) - 1; i > 0 && !list[i].done.Before(at); i-- {
			longest = max(longest, list[i].done.Sub(list[i-1].done))
		}
		if len(list) == 0 || list[len(list)-1].done.Before(at.Add(window/2)) {
			stuck++
			continue
		}
		gaps = append(gaps, longest)
	}
	return gaps, stuck
}
