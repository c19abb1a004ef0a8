package lab

import (
	"context"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/go-kit/log"
	"github.com/pkg/errors"

	"pearlatch/internal/host"
)

// MembershipOptions describes the membership bench.
type MembershipOptions struct {
	// Fleets lists the numbers of hosts.
	Fleets []int
	// Duration is how long a quiet fleet is measured.
	Duration time.Duration
	// Deaths is how many hosts are killed, one after another.
	Deaths int
	Out    io.Writer
	Logger log.Logger
}

// MembershipResult is the bench's result as it stands in its JSON file.
type MembershipResult struct {
	Fleets []MembershipFigures `json:"fleets"`
}

// MembershipFigures are the figures of one fleet, a host and second each.
type MembershipFigures struct {
	Hosts         int     `json:"hosts"`
	CallsPerS     float64 `json:"calls_per_host_s"`
	BytesPerS     float64 `json:"bytes_per_host_s"`
	CPUPercent    float64 `json:"cpu_percent_of_a_core_per_host"`
	Connections   float64 `json:"connections_per_host"`
	HeapBytes     float64 `json:"heap_bytes_per_host"`
	AgreeP50MS    float64 `json:"agree_on_death_p50_ms"`
	AgreeMaxMS    float64 `json:"agree_on_death_max_ms"`
	PlatformCalls float64 `json:"platform_calls_per_host_s"`
}

// BenchMembership measures what belief about the fleet costs a host, and how
// long all take to agree on a death.
func BenchMembership(o MembershipOptions) (MembershipResult, error) {
	var out MembershipResult
	for i, n := range o.Fleets {
		f, err := membershipRun(o, n, byte(10*i))
		if err != nil {
			return out, errors.Wrapf(err, "%d hosts", n)
		}
		out.Fleets = append(out.Fleets, f)
		fmt.Fprintf(o.Out, "%4d hosts: %5.1f calls/s, %6.0f bytes/s, %.2f%% of a core, %4.1f connections, %7.0f bytes of heap a host; death known to all p50 %4.0f ms, max %4.0f ms\n",
			n, f.CallsPerS, f.BytesPerS, f.CPUPercent, f.Connections, f.HeapBytes, f.AgreeP50MS, f.AgreeMaxMS)
	}
	return out, nil
}

// fleetSite is a site of n hosts whose document leads to no database, so that
// control alone is measured.
func fleetSite(n int, net [3]byte) Topology {
	t := Kyrikos()
	t.Hosts, t.Groups, t.Plain, t.Net, t.HostListLag = n, 0, true, net, 0
	return t
}

func membershipRun(o MembershipOptions, n int, net byte) (MembershipFigures, error) {
	before := memory()
	c, err := StartCluster(fleetSite(n, [3]byte{127, 5, net}), o.Logger)
	if err != nil {
		return MembershipFigures{}, err
	}
	defer c.Close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	if _, err := c.agree(ctx, n); err != nil {
		return MembershipFigures{}, err
	}
	f := MembershipFigures{Hosts: n, HeapBytes: float64(memory()-before) / float64(n)}
	c.measureQuiet(&f, o.Duration)
	var times []time.Duration
	for i := range min(o.Deaths, n/4) {
		c.KillHost(i * 2)
		took, err := c.agree(ctx, n-1-i)
		if err != nil {
			return f, err
		}
		times = append(times, took)
	}
	slices.Sort(times)
	f.AgreeP50MS, f.AgreeMaxMS = milliseconds(percentile(times, 0.5)), milliseconds(percentile(times, 1))
	return f, nil
}

// agree waits until every host believes that n hosts are alive.
func (c *Cluster) agree(ctx context.Context, n int) (time.Duration, error) {
	return c.agreeAmong(ctx, n, c.Hosts)
}

// agreeAmong waits until the given hosts believe that n hosts are alive.
func (c *Cluster) agreeAmong(ctx context.Context, n int, hosts []*host.Host) (time.Duration, error) {
	start := time.Now()
	for {
		differ := slices.IndexFunc(hosts, func(h *host.Host) bool { return h != nil && h.LiveCount() != n })
		if differ < 0 {
			return time.Since(start), nil
		}
		if ctx.Err() != nil {
			return 0, errors.Errorf("%s believes in %d hosts of %d", hostID(differ), hosts[differ].LiveCount(), n)
		}
		time.Sleep(time.Millisecond)
	}
}

// totals are what all hosts together have used.
type totals struct{ calls, bytes, conns, platform int64 }

func (c *Cluster) totals() totals {
	var out totals
	for _, h := range c.Hosts {
		if h == nil {
			continue
		}
		t := h.Traffic()
		out.calls += t.Calls.Load() + t.Served.Load()
		out.bytes += t.In.Load() + t.Out.Load()
		out.conns += t.Conns.Load()
		out.platform += h.PlatformCalls()
	}
	return out
}

func (c *Cluster) measureQuiet(f *MembershipFigures, d time.Duration) {
	time.Sleep(d / 4)
	before, cpu := c.totals(), used()
	time.Sleep(d)
	after, cpuAfter := c.totals(), used()
	per := float64(f.Hosts) * d.Seconds()
	f.CallsPerS = float64(after.calls-before.calls) / per
	f.BytesPerS = float64(after.bytes-before.bytes) / per
	f.CPUPercent = 100 * (cpuAfter.cpu - cpu.cpu).Seconds() / per
	f.Connections = float64(after.conns) / float64(f.Hosts)
	f.PlatformCalls = float64(after.platform-before.platform) / per
}
