package lab

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/go-kit/log"
	"github.com/pkg/errors"
)

// DemoOptions describes a demo.
type DemoOptions struct {
	Duration time.Duration
	Seed     uint64
	// JSON is the file for the result, or empty.
	JSON   string
	Out    io.Writer
	Logger log.Logger
}

// DemoResult is the demo's result as it stands in its JSON file.
type DemoResult struct {
	Statements    int     `json:"statements"`
	ReplicaShare  float64 `json:"replica_share"`
	FailoverGapMS float64 `json:"failover_gap_ms"`
	Lost          int     `json:"lost"`
	Doubled       int     `json:"doubled"`
	RYWViolations int     `json:"ryw_violations"`
	Crossed       int     `json:"crossed_answers"`
	ErrorsNotRun  int     `json:"errors_not_run"`
	ErrorsUnknown int     `json:"errors_unknown"`
	FalseNotRun   int     `json:"false_not_run"`
	Stuck         int     `json:"sessions_without_write_after_failover"`
	Promotions    int     `json:"promotions"`
	Connections   int     `json:"peak_connections"`
	Budget        int     `json:"connection_budget"`
}

// Broken returns the invariants that the run broke.
func (r DemoResult) Broken() []string {
	var out []string
	add := func(broken bool, what string) {
		if broken {
			out = append(out, what)
		}
	}
	add(r.Lost > 0, "acknowledged writes were lost")
	add(r.Doubled > 0, "requests ran twice")
	add(r.RYWViolations > 0, "sessions missed their own writes")
	add(r.Crossed > 0, "answers were crossed")
	add(r.FalseNotRun > 0, "requests refused as not run had run")
	add(r.Stuck > 0, "sessions never wrote again after the failover")
	add(r.Connections > r.Budget, "a connection budget was exceeded")
	return out
}

// readyTimeout bounds the start of a cluster.
const readyTimeout = 20 * time.Second

// Demo runs a site, kills the primary of its first group part way, and reports.
func Demo(o DemoOptions) (DemoResult, error) {
	t := Kyrikos()
	t.Hosts = 4
	c, err := StartCluster(t, o.Logger)
	if err != nil {
		return DemoResult{}, err
	}
	defer c.Close()
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	if err := c.Ready(ctx); err != nil {
		return DemoResult{}, errors.Wrap(err, "the cluster did not become ready")
	}
	before := c.reads()
	fmt.Fprintf(o.Out, "%d hosts, %d groups of %d members are ready; load for %s\n", t.Hosts, t.Groups, t.Members, o.Duration)
	load := StartLoad(c, LoadOptions{Sessions: 24, Writes: 0.2, Roam: 0.2, Think: 4 * time.Millisecond, Seed: o.Seed})
	killed := runDemo(c, load, o)
	load.Stop()
	time.Sleep(settleTime)
	return demoResult(c, load, killed, before), nil
}

// settleTime lets the replicas catch up before the state is compared.
const settleTime = 300 * time.Millisecond

// runDemo shows progress and kills a primary at the middle. It returns when.
func runDemo(c *Cluster, load *Load, o DemoOptions) time.Time {
	var killed time.Time
	start := time.Now()
	for tick := time.Second; ; tick += time.Second {
		next := min(tick, o.Duration)
		if killed.IsZero() && next >= o.Duration/2 {
			time.Sleep(time.Until(start.Add(o.Duration / 2)))
			killed = time.Now()
			m := c.Groups[0].Primary()
			m.Crash()
			fmt.Fprintf(o.Out, "%4.1fs  killed primary %s\n", time.Since(start).Seconds(), m.Name())
		}
		time.Sleep(time.Until(start.Add(next)))
		p := load.Progress()
		fmt.Fprintf(o.Out, "%4.1fs  %d statements, %d not run, %d unknown\n",
			time.Since(start).Seconds(), p.Statements, p.ErrorsNotRun, p.ErrorsUnknown)
		if next >= o.Duration {
			return killed
		}
	}
}

// readCount counts the reads that all members answered.
type readCount struct{ primary, replica int }

func (c *Cluster) reads() readCount {
	var out readCount
	for _, g := range c.Groups {
		for i := range c.Topology.Members {
			r := g.Member(i).Reads()
			out.primary += r.AsPrimary
			out.replica += r.AsReplica
		}
	}
	return out
}

func (a readCount) share(before readCount) float64 {
	primary, replica := a.primary-before.primary, a.replica-before.replica
	if primary+replica == 0 {
		return 0
	}
	return float64(replica) / float64(primary+replica)
}

func demoResult(c *Cluster, load *Load, killed time.Time, before readCount) DemoResult {
	res := load.Check()
	gaps, stuck := load.Gap(0, killed)
	out := DemoResult{
		Statements: res.Statements, ReplicaShare: c.reads().share(before),
		Lost: res.Lost, Doubled: res.Doubled, RYWViolations: res.RYWViolations, Crossed: res.Crossed,
		ErrorsNotRun: res.ErrorsNotRun, ErrorsUnknown: res.ErrorsUnknown, FalseNotRun: res.FalseNotRun,
		Stuck: stuck, Budget: c.Topology.Connections,
	}
	if len(gaps) > 0 {
		out.FailoverGapMS = milliseconds(slices.Max(gaps))
	}
	for _, g := range c.Groups {
		out.Connections = max(out.Connections, g.PeakConnections())
	}
	return out
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// Print writes the result as a table.
func (r DemoResult) Print(w io.Writer) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	row := func(name string, value any) { fmt.Fprintf(t, "%s\t%v\n", name, value) }
	row("statements", r.Statements)
	row("replica share of reads", fmt.Sprintf("%.3f", r.ReplicaShare))
	row("failover gap, slowest caller", fmt.Sprintf("%.0f ms", r.FailoverGapMS))
	row("acknowledged writes lost", r.Lost)
	row("requests doubled", r.Doubled)
	row("read-your-writes violations", r.RYWViolations)
	row("crossed answers", r.Crossed)
	row("refused as not run", r.ErrorsNotRun)
	row("outcome unknown", r.ErrorsUnknown)
	row("wrongly refused as not run", r.FalseNotRun)
	row("peak connections of a group", fmt.Sprintf("%d of %d", r.Connections, r.Budget))
	_ = t.Flush()
}

// WriteJSON writes v to a file as one JSON object.
func WriteJSON(path string, v any) error {
	out, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode the result")
	}
	return errors.Wrap(os.WriteFile(path, append(out, '\n'), 0o644), "write the result")
}
