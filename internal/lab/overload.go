package lab

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/go-kit/log"
	"github.com/jackc/pgx/v5"
	"github.com/pkg/errors"

	"pearlatch/core/config"
)

// OverloadOptions describes the overload bench.
type OverloadOptions struct {
	// Duration is how long each load is measured.
	Duration time.Duration
	Seed     uint64
	Out      io.Writer
	Logger   log.Logger
}

// OverloadResult is the bench's result as it stands in its JSON file.
type OverloadResult struct {
	GoodputRatio   float64           `json:"goodput_ratio"`
	HighP99Ratio   float64           `json:"high_priority_p99_ratio"`
	BaselineRatio  float64           `json:"baseline_goodput_ratio"`
	Loads          []OverloadFigures `json:"loads"`
	BaselineLoads  []OverloadFigures `json:"baseline_loads"`
	CapacityPerSec float64           `json:"capacity_statements_per_s"`
}

// OverloadFigures are the figures of one load.
type OverloadFigures struct {
	Load        float64 `json:"load"`
	Offered     float64 `json:"offered_per_s"`
	Goodput     float64 `json:"goodput_per_s"`
	NotRun      float64 `json:"refused_not_run_per_s"`
	Other       float64 `json:"other_errors_per_s"`
	HighP99MS   float64 `json:"high_priority_p99_ms"`
	HighGoodput float64 `json:"high_priority_answered_share"`
	LowGoodput  float64 `json:"low_priority_answered_share"`
}

// Shape of the overload: one group whose replicas run slots statements at once,
// each for overloadService; a tenth of the requests has high priority.
const (
	overloadService = 10 * time.Millisecond
	overloadShare   = 0.1
	// overloadDeadline is the callers' deadline. A later answer is no use.
	overloadDeadline = 300 * time.Millisecond
	overloadCallers  = 400
)

// BenchOverload offers a group several times what its members can run.
func BenchOverload(o OverloadOptions) (OverloadResult, error) {
	var out OverloadResult
	for i, baseline := range []bool{false, true} {
		t := Kyrikos()
		t.Hosts, t.Groups, t.Service, t.ZoneLatency = 3, 1, overloadService, 0
		t.Net = [3]byte{127, 7, byte(i + 1)}
		t.Unsafe.NoRefusal = baseline
		t.Change = func(d *config.Document) {
			for r := range d.Routes {
				d.Routes[r].Deadline = overloadDeadline
				if baseline {
					d.Routes[r].Deadline = config.DefaultDeadline
				}
			}
		}
		loads, capacity, err := overloadRun(o, t)
		if err != nil {
			return out, err
		}
		if baseline {
			out.BaselineLoads, out.BaselineRatio = loads, goodputRatio(loads)
		} else {
			out.Loads, out.GoodputRatio, out.CapacityPerSec = loads, goodputRatio(loads), capacity
			out.HighP99Ratio = loads[2].HighP99MS / loads[0].HighP99MS
		}
	}
	fmt.Fprintf(o.Out, "goodput at twice capacity against the peak: %.2f, baseline %.2f; high priority p99 at twice against half: %.2f\n",
		out.GoodputRatio, out.BaselineRatio, out.HighP99Ratio)
	return out, nil
}

// goodputRatio is the goodput at twice the capacity against the highest.
func goodputRatio(loads []OverloadFigures) float64 {
	peak, twice := 0.0, 0.0
	for _, l := range loads {
		peak = max(peak, l.Goodput)
		if l.Load == 2 {
			twice = l.Goodput
		}
	}
	return twice / peak
}

func overloadRun(o OverloadOptions, t Topology) ([]OverloadFigures, float64, error) {
	c, err := StartCluster(t, o.Logger)
	if err != nil {
		return nil, 0, err
	}
	defer c.Close()
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	if err := c.Ready(ctx); err != nil {
		return nil, 0, err
	}
	// Reads go to the replicas: what their slots can run is the capacity.
	capacity := float64((t.Members-1)*t.Slots) / overloadService.Seconds()
	callers, err := newOverloadCallers(c)
	if err != nil {
		return nil, 0, err
	}
	defer callers.close()
	var out []OverloadFigures
	for _, load := range []float64{0.5, 1, 2, 4} {
		f := callers.run(o, load, capacity)
		out = append(out, f)
		fmt.Fprintf(o.Out, "%4.1f of %4.0f/s: offered %5.0f/s, goodput %5.0f/s, refused %5.0f/s, other %4.1f/s; high priority p99 %4.0f ms, answered %.2f; low priority answered %.2f\n",
			load, capacity, f.Offered, f.Goodput, f.NotRun, f.Other, f.HighP99MS, f.HighGoodput, f.LowGoodput)
	}
	return out, capacity, nil
}

// overloadPool holds callers that send at random moments, whether or not earlier
// requests were answered, as a crowd does.
type overloadPool struct {
	high, low chan *pgx.Conn
	all       []*pgx.Conn
}

func newOverloadCallers(c *Cluster) (*overloadPool, error) {
	p := &overloadPool{high: make(chan *pgx.Conn, overloadCallers), low: make(chan *pgx.Conn, overloadCallers)}
	for i := range overloadCallers {
		route, idle := BrowseRoute, p.low
		if i%4 == 0 {
			route, idle = DeskRoute, p.high
		}
		conn, err := connect(context.Background(), c.URL(i%c.Topology.Hosts, c.Topology.RouteName(route, 0)), "")
		if err != nil {
			p.close()
			return nil, errors.Wrap(err, "connect a caller")
		}
		p.all = append(p.all, conn)
		idle <- conn
	}
	return p, nil
}

func (p *overloadPool) close() {
	for _, conn := range p.all {
		_ = conn.Close(context.Background())
	}
}

// tally counts the requests of one priority.
type tally struct {
	offered, good, notRun, other atomic.Int64
	mu                           sync.Mutex
	times                        *hdrhistogram.Histogram
}

func newTally() *tally { return &tally{times: hdrhistogram.New(1, slowestRead, readDigits)} }

func (p *overloadPool) run(o OverloadOptions, load, capacity float64) OverloadFigures {
	high, low := newTally(), newTally()
	rng := rand.New(rand.NewPCG(o.Seed, uint64(load*10)))
	var wg sync.WaitGroup
	start := time.Now()
	for at := time.Duration(0); at < o.Duration; {
		at += time.Duration(rng.ExpFloat64() / (load * capacity) * float64(time.Second))
		time.Sleep(time.Until(start.Add(at)))
		t, idle := low, p.low
		if rng.Float64() < overloadShare {
			t, idle = high, p.high
		}
		t.offered.Add(1)
		select {
		case conn := <-idle:
			wg.Go(func() {
				t.one(conn)
				idle <- conn
			})
		default:
			t.other.Add(1) // every caller waits for an answer
		}
	}
	wg.Wait()
	took := time.Since(start).Seconds()
	return OverloadFigures{
		Load: load, Offered: float64(high.offered.Load()+low.offered.Load()) / took,
		Goodput: float64(high.good.Load()+low.good.Load()) / took,
		NotRun:  float64(high.notRun.Load()+low.notRun.Load()) / took,
		Other:   float64(high.other.Load()+low.other.Load()) / took,

		HighP99MS:   float64(high.times.ValueAtQuantile(99)) / 1000,
		HighGoodput: float64(high.good.Load()) / float64(high.offered.Load()),
		LowGoodput:  float64(low.good.Load()) / float64(low.offered.Load()),
	}
}

// one runs a request. An answer after the callers' deadline is no good.
func (t *tally) one(conn *pgx.Conn) {
	ctx, cancel := context.WithTimeout(context.Background(), statementTimeout)
	defer cancel()
	start := time.Now()
	var v string
	err := conn.QueryRow(ctx, selectSQL, "ready").Scan(&v)
	took := time.Since(start)
	switch {
	case err == nil && took <= overloadDeadline:
		t.good.Add(1)
		t.mu.Lock()
		_ = t.times.RecordValue(max(1, took.Microseconds()))
		t.mu.Unlock()
	case err != nil && outcomeOf(err) == NotRun:
		t.notRun.Add(1)
	default:
		t.other.Add(1)
	}
}
