package lab

import (
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/go-kit/log"

	"pearlatch/core/config"
	"pearlatch/io/upstream"
)

// ReadsOptions describes the read bench.
type ReadsOptions struct {
	Duration time.Duration
	Seed     uint64
	// Sessions is how many sessions run at once, and Think the pause between two
	// statements of one.
	Sessions int
	Think    time.Duration
	Out      io.Writer
	Logger   log.Logger
}

// ReadsResult is the bench's result as it stands in its JSON file.
type ReadsResult struct {
	ReplicaShare  float64        `json:"replica_share"`
	BaselineShare float64        `json:"baseline_replica_share"`
	OracleShare   float64        `json:"oracle_share"`
	OfOracle      float64        `json:"share_of_oracle"`
	RYWViolations int            `json:"ryw_violations"`
	P99MS         float64        `json:"p99_ms"`
	BaselineP99MS float64        `json:"baseline_p99_ms"`
	Variants      []ReadsFigures `json:"variants"`
}

// ReadsFigures are the figures of one variant.
type ReadsFigures struct {
	Name          string  `json:"name"`
	ReplicaShare  float64 `json:"replica_share"`
	OracleShare   float64 `json:"oracle_share"`
	RYWViolations int     `json:"ryw_violations"`
	P50MS         float64 `json:"p50_ms"`
	P99MS         float64 `json:"p99_ms"`
	Statements    int     `json:"statements"`
	Errors        int     `json:"errors"`
}

// Lags of Kestrel's replicas, drawn anew every lagPeriod.
const (
	shortestLag = 50 * time.Millisecond
	lagPeriod   = time.Second
)

// readsVariant is a way to route reads.
type readsVariant struct {
	name   string
	change func(*Topology)
}

var readsVariants = []readsVariant{
	{"pearlatch", func(*Topology) {}},
	{"baseline", func(t *Topology) { t.Unsafe.FixedPrimary = longestLag }},
	{"early_two", func(t *Topology) { t.Binding = upstream.EarlyTwo }},
	{"early_least", func(t *Topology) { t.Binding = upstream.EarlyLeast }},
	{"no_patience", func(t *Topology) { t.Change = setPatience(time.Microsecond) }},
	{"patience_200ms", func(t *Topology) { t.Change = setPatience(200 * time.Millisecond) }},
}

func setPatience(d time.Duration) func(*config.Document) {
	return func(doc *config.Document) {
		for i := range doc.Routes {
			doc.Routes[i].Patience = d
		}
	}
}

// BenchReads measures the share of reads that replicas serve at Kestrel's sizes,
// one variant after another with the same choices.
func BenchReads(o ReadsOptions) (ReadsResult, error) {
	var out ReadsResult
	for i, v := range readsVariants {
		t := Kestrel()
		t.Net = [3]byte{127, 2, byte(i + 1)}
		v.change(&t)
		f, err := readsRun(o, t)
		if err != nil {
			return out, err
		}
		f.Name = v.name
		out.Variants = append(out.Variants, f)
		fmt.Fprintf(o.Out, "%-15s replica share %.4f, oracle %.4f, violations %d, p50 %.1f ms, p99 %.1f ms, %d statements, %d errors\n",
			f.Name, f.ReplicaShare, f.OracleShare, f.RYWViolations, f.P50MS, f.P99MS, f.Statements, f.Errors)
	}
	ours, base := out.Variants[0], out.Variants[1]
	out.ReplicaShare, out.OracleShare, out.OfOracle = ours.ReplicaShare, ours.OracleShare, ours.ReplicaShare/ours.OracleShare
	out.BaselineShare, out.RYWViolations = base.ReplicaShare, ours.RYWViolations
	out.P99MS, out.BaselineP99MS = ours.P99MS, base.P99MS
	return out, nil
}

func readsRun(o ReadsOptions, t Topology) (ReadsFigures, error) {
	c, err := StartCluster(t, o.Logger)
	if err != nil {
		return ReadsFigures{}, err
	}
	defer c.Close()
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	if err := c.Ready(ctx); err != nil {
		return ReadsFigures{}, err
	}
	stop := make(chan struct{})
	var lags sync.WaitGroup
	lags.Go(func() { c.varyLags(o.Seed, stop) })
	probe := newReadProbe()
	load := StartLoad(c, LoadOptions{
		Sessions: o.Sessions, Writes: 0.02, Roam: 0.2, Think: o.Think, Seed: o.Seed, Probe: probe, Weak: true,
	})
	time.Sleep(o.Duration / 4) // until the sessions have come by all hosts
	before := c.reads()
	probe.reset()
	time.Sleep(o.Duration)
	share := c.reads().share(before)
	figures := probe.figures()
	load.Stop()
	close(stop)
	lags.Wait()
	res := load.Check()
	figures.ReplicaShare, figures.RYWViolations = share, res.RYWViolations
	figures.Statements, figures.Errors = res.Statements, res.ErrorsNotRun+res.ErrorsUnknown
	return figures, nil
}

// varyLags draws the lag of each replica anew every lagPeriod, between
// shortestLag and longestLag, evenly on a logarithmic scale.
func (c *Cluster) varyLags(seed uint64, stop <-chan struct{}) {
	rng := rand.New(rand.NewPCG(seed, 77))
	t := time.NewTicker(lagPeriod)
	defer t.Stop()
	for {
		for _, g := range c.Groups {
			for m := range c.Topology.Members {
				span := math.Log(float64(longestLag) / float64(shortestLag))
				g.Member(m).SetApplyLag(time.Duration(float64(shortestLag) * math.Exp(rng.Float64()*span)))
			}
		}
		select {
		case <-t.C:
		case <-stop:
			return
		}
	}
}

// readProbe measures reads and asks the oracle about each.
type readProbe struct {
	served, all atomic.Int64
	mu          sync.Mutex
	times       *hdrhistogram.Histogram
}

// Range of the recorded times, in microseconds, and their precision in digits.
const (
	slowestRead = 60_000_000
	readDigits  = 3
)

func newReadProbe() *readProbe {
	return &readProbe{times: hdrhistogram.New(1, slowestRead, readDigits)}
}

func (p *readProbe) reset() {
	p.served.Store(0)
	p.all.Store(0)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.times.Reset()
}

// ask records whether some replica could serve a read that arrives now.
func (p *readProbe) ask(c *Cluster, own ownKey, age time.Duration) {
	value := ""
	if own.acked > 0 {
		value = own.value(own.acked)
	}
	p.all.Add(1)
	for m := range c.Topology.Members {
		if c.Groups[own.group].Member(m).CouldServe("items", own.key, value, age, config.DefaultPatience) {
			p.served.Add(1)
			return
		}
	}
}

func (p *readProbe) took(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.times.RecordValue(min(max(1, d.Microseconds()), slowestRead))
}

func (p *readProbe) figures() ReadsFigures {
	p.mu.Lock()
	defer p.mu.Unlock()
	return ReadsFigures{
		OracleShare: float64(p.served.Load()) / float64(max(1, p.all.Load())),
		P50MS:       float64(p.times.ValueAtQuantile(50)) / 1000,
		P99MS:       float64(p.times.ValueAtQuantile(99)) / 1000,
	}
}
