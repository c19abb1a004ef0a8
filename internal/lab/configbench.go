package lab

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/go-kit/log"
	"github.com/pkg/errors"

	"pearlatch/core/config"
	"pearlatch/core/membership"
	"pearlatch/io/etcd"
)

// ConfigOptions describes the configuration bench.
type ConfigOptions struct {
	// Fleets lists the numbers of hosts.
	Fleets []int
	// Changes is how many revisions are submitted in each condition.
	Changes int
	// Bytes is the size of the document.
	Bytes  int
	Seed   uint64
	Out    io.Writer
	Logger log.Logger
}

// ConfigResult is the bench's result as it stands in its JSON file.
type ConfigResult struct {
	P99MS         float64         `json:"force_everywhere_p99_ms"`
	Reverts       int             `json:"reverts"`
	PlatformCalls float64         `json:"platform_calls_per_host_s"`
	ControlBytes  float64         `json:"control_bytes_per_host_s"`
	BaselineCalls float64         `json:"baseline_platform_calls_per_host_s"`
	BaselineP99MS float64         `json:"baseline_force_everywhere_p99_ms"`
	Runs          []ConfigFigures `json:"runs"`
}

// ConfigFigures are the figures of one condition.
type ConfigFigures struct {
	Name          string  `json:"name"`
	Hosts         int     `json:"hosts"`
	P50MS         float64 `json:"force_everywhere_p50_ms"`
	P99MS         float64 `json:"force_everywhere_p99_ms"`
	Accepted      int     `json:"accepted"`
	Reverts       int     `json:"reverts"`
	PlatformCalls float64 `json:"platform_calls_per_host_s"`
	ControlBytes  float64 `json:"control_bytes_per_host_s"`
	CPUPerChange  float64 `json:"cpu_ms_per_change_and_host"`
}

// sharedPatience is how long a probe may take between hosts that share a
// machine.
const sharedPatience = 5 * time.Second

// configCondition is a state of the store.
type configCondition struct {
	name   string
	before Fault
	// restart restarts a host in the middle.
	restart bool
	// burst submits without a pause.
	burst bool
}

var configConditions = []configCondition{
	{name: "store up", before: Fault{Kind: StoreUp}},
	{name: "burst", before: Fault{Kind: StoreUp}, burst: true},
	{name: "store slow", before: Fault{Kind: StoreSlow, By: 300 * time.Millisecond}},
	{name: "answers lost", before: Fault{Kind: StoreLoses, Share: 0.3}},
	{name: "restart while down", before: Fault{Kind: StoreUp}, restart: true},
}

// changePause is the pause between two changes: the daily 5,000 changes come
// one in 17 s, and this is ten times as dense.
const changePause = 1700 * time.Millisecond

// BenchConfig measures how long an accepted document takes to be in force on
// every host, and that none goes back to an earlier one.
func BenchConfig(o ConfigOptions) (ConfigResult, error) {
	var out ConfigResult
	for i, n := range o.Fleets {
		for _, baseline := range []bool{false, true} {
			t := fleetSite(n, [3]byte{127, 6, byte(20*i + 1)})
			t.AllRead = baseline
			// The hosts share one machine, and all parse at the same moment: their
			// probes must not take that for deaths.
			t.Membership = membership.DefaultTiming()
			t.Membership.ProbeTimeout, t.Membership.SuspicionTimeout = sharedPatience, sharedPatience
			if baseline {
				t.Net[2] += 10
			}
			if err := out.measure(o, t); err != nil {
				return out, errors.Wrapf(err, "%d hosts", n)
			}
		}
	}
	return out, nil
}

func (r *ConfigResult) measure(o ConfigOptions, t Topology) error {
	c, err := StartCluster(t, o.Logger)
	if err != nil {
		return err
	}
	defer c.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Minute)
	defer cancel()
	if _, err := c.agree(ctx, t.Hosts); err != nil {
		return err
	}
	b := &configBench{cluster: c, options: o, rng: rand.New(rand.NewPCG(o.Seed, 5)), highest: make([]uint64, t.Hosts)}
	for _, cond := range configConditions {
		if t.AllRead && cond.name != "store up" {
			continue
		}
		f, err := b.run(ctx, cond)
		if err != nil {
			return errors.Wrap(err, cond.name)
		}
		if t.AllRead {
			f.Name = "baseline, " + f.Name
		}
		fmt.Fprintf(o.Out, "%4d hosts, %-20s in force everywhere p50 %5.0f ms, p99 %5.0f ms; %d accepted, %d reverts; a host: %.2f platform calls/s, %6.0f bytes/s, %.1f ms CPU a change\n",
			f.Hosts, f.Name, f.P50MS, f.P99MS, f.Accepted, f.Reverts, f.PlatformCalls, f.ControlBytes, f.CPUPerChange)
		r.add(f, t.AllRead, cond)
	}
	return nil
}

// add keeps the figures; those of the largest fleet make the headline.
func (r *ConfigResult) add(f ConfigFigures, baseline bool, cond configCondition) {
	r.Runs = append(r.Runs, f)
	r.Reverts += f.Reverts
	switch {
	case cond.name != "store up":
	case baseline:
		r.BaselineCalls, r.BaselineP99MS = f.PlatformCalls, f.P99MS
	default:
		r.P99MS, r.PlatformCalls, r.ControlBytes = f.P99MS, f.PlatformCalls, f.ControlBytes
	}
}

// configBench submits documents and watches the hosts.
type configBench struct {
	cluster *Cluster
	options ConfigOptions
	rng     *rand.Rand
	highest []uint64 // revision seen on each host
	reverts int
	names   []string
}

func (b *configBench) run(ctx context.Context, cond configCondition) (ConfigFigures, error) {
	c := b.cluster
	f := ConfigFigures{Name: cond.name, Hosts: c.Topology.Hosts}
	b.reverts = 0
	if err := c.Cause(cond.before); err != nil {
		return f, err
	}
	defer func() { _ = c.Cause(Fault{Kind: StoreUp}) }()
	before, cpu, start := c.totals(), used(), time.Now()
	var times []time.Duration
	for range b.options.Changes {
		if cond.restart {
			if err := b.restart(ctx); err != nil {
				return f, err
			}
		}
		took, err := b.change(ctx)
		if err != nil {
			return f, err
		}
		times = append(times, took)
		if !cond.burst {
			time.Sleep(changePause)
		}
	}
	seconds := time.Since(start).Seconds() * float64(f.Hosts)
	after, cpuAfter := c.totals(), used()
	slices.Sort(times)
	f.P50MS, f.P99MS = milliseconds(percentile(times, 0.5)), milliseconds(percentile(times, 0.99))
	f.Accepted, f.Reverts = len(times), b.reverts
	f.PlatformCalls = float64(after.platform-before.platform) / seconds
	f.ControlBytes = float64(after.bytes-before.bytes) / seconds
	f.CPUPerChange = milliseconds(cpuAfter.cpu-cpu.cpu) / float64(len(times)*f.Hosts)
	return f, nil
}

// change submits the next document, with one route's deadline changed, and
// returns how long it took from its acceptance to be in force everywhere.
func (b *configBench) change(ctx context.Context) (time.Duration, error) {
	text := b.document()
	store := etcd.NewEtcd(b.cluster.endpoints())
	_, current, err := etcd.Current(ctx, store)
	if err != nil {
		return 0, err
	}
	accepted, err := etcd.Submit(ctx, store, current.Number, "bench", text)
	if err != nil {
		return 0, err
	}
	start := time.Now()
	err = b.await(ctx, accepted.Number)
	return time.Since(start), err
}

// await waits until all hosts have the revision in force.
func (b *configBench) await(ctx context.Context, number uint64) error {
	for {
		behind := 0
		for i, h := range b.cluster.Hosts {
			if h == nil {
				continue
			}
			r := h.ConfigRevision()
			if r < b.highest[i] {
				b.reverts++
			}
			b.highest[i] = max(b.highest[i], r)
			if r < number {
				behind++
			}
		}
		if behind == 0 {
			return nil
		}
		if ctx.Err() != nil {
			return errors.Errorf("%d hosts are behind revision %d", behind, number)
		}
		time.Sleep(time.Millisecond)
	}
}

// restart restarts a host while the store is down. It must come back with the
// revision that its peers have.
func (b *configBench) restart(ctx context.Context) error {
	c := b.cluster
	i := b.rng.IntN(len(c.Hosts))
	want := b.highest[i]
	c.Platform.SetDown(true)
	defer c.Platform.SetDown(false)
	c.KillHost(i)
	b.highest[i] = 0
	if err := c.StartHost(i); err != nil {
		return err
	}
	return errors.Wrap(b.await(ctx, want), "after a restart while the store was down")
}

// document returns a document of the wanted size: one group, and routes to it.
func (b *configBench) document() []byte {
	if b.names == nil {
		for i := 0; i*routeBytes < b.options.Bytes; i++ {
			b.names = append(b.names, fmt.Sprintf("route-%06d", i))
		}
	}
	t := Kyrikos()
	t.Groups, t.Net = 1, b.cluster.Topology.Net
	d := t.Document()
	route := d.Routes[1]
	d.Routes = nil
	changed := b.rng.IntN(len(b.names))
	for i, name := range b.names {
		r := route
		r.Name = name
		if i == changed {
			r.Deadline += time.Duration(1+b.rng.IntN(1000)) * time.Millisecond
		}
		d.Routes = append(d.Routes, r)
	}
	return config.Encode(d)
}

// routeBytes is about what a route takes in a document.
const routeBytes = 205
