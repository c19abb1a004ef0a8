package lab

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"slices"
	"strings"
	"time"

	"github.com/go-kit/log"
	"github.com/pkg/errors"

	"pearlatch/core/config"
	"pearlatch/core/freshness"
	"pearlatch/core/group"
	"pearlatch/core/membership"
	"pearlatch/core/statement"
	"pearlatch/internal/capacity"
	"pearlatch/internal/standin"
	"pearlatch/io/etcd"
	"pearlatch/io/peer"
)

// SlopesOptions describes the slopes bench.
type SlopesOptions struct {
	Out    io.Writer
	Logger log.Logger
}

// slopeMeasure measures one or several slopes.
type slopeMeasure func(SlopesOptions) ([]capacity.Series, error)

// BenchSlopes measures what the capacity table is worked out from, each at
// several sizes.
func BenchSlopes(o SlopesOptions) ([]capacity.Series, error) {
	var out []capacity.Series
	for _, measure := range []slopeMeasure{
		markSlope, knownHostSlope, documentSlopes, callerSlope, statementSlopes, groupSlopes, streamSlope, fleetSlopes, takeoverSlope,
	} {
		slopes, err := measure(o)
		if err != nil {
			return nil, err
		}
		for _, s := range slopes {
			f := s.Fit()
			fmt.Fprintf(o.Out, "%-40s base %10.4g, step %10.4g %s per %s, spread %.0f%%\n", s.Name, f.Intercept, f.Slope, s.Unit, s.PerUnit, 100*f.MaxDeviation)
		}
		out = append(out, slopes...)
	}
	return out, nil
}

// heapOf returns the bytes that build allocates and keeps.
func heapOf(build func() any) float64 {
	before := memory()
	kept := build()
	after := memory()
	runtime.KeepAlive(kept)
	return float64(after - before)
}

func markSlope(SlopesOptions) ([]capacity.Series, error) {
	s := capacity.Series{Name: capacity.MarkBytes, PerUnit: "session that wrote", Unit: "bytes"}
	for _, n := range []int{20_000, 50_000, 100_000, 200_000} {
		s.Points = append(s.Points, capacity.Point{X: float64(n), Y: heapOf(func() any {
			var m freshness.SessionMarks
			for i := range n {
				m.Raise(fmt.Sprintf("session-%d", i), group.Position{Term: 1, LSN: group.LSN(i)})
			}
			return &m
		})})
	}
	return []capacity.Series{s}, nil
}

func knownHostSlope(SlopesOptions) ([]capacity.Series, error) {
	s := capacity.Series{Name: capacity.KnownHostBytes, PerUnit: "host of the fleet", Unit: "bytes"}
	for _, n := range []int{2000, 5000, 10_000, 20_000} {
		s.Points = append(s.Points, capacity.Point{X: float64(n), Y: heapOf(func() any {
			self := membership.Host{ID: "self", Zone: "a"}
			t := membership.NewTable(self, membership.DefaultTiming(), nil)
			var list []membership.Host
			for i := range n {
				list = append(list, membership.Host{ID: fmt.Sprintf("host-%d", i), Zone: "a", Peer: netip.MustParseAddrPort("10.0.0.1:7432")})
			}
			t.MergeHostList(list, time.Now())
			t.Neighbours()
			return t
		})})
	}
	return []capacity.Series{s}, nil
}

func documentSlopes(SlopesOptions) ([]capacity.Series, error) {
	cpu := capacity.Series{Name: capacity.DocumentCPU, PerUnit: "kilobyte of the document", Unit: "ms"}
	heap := capacity.Series{Name: capacity.DocumentBytes, PerUnit: "byte of the document", Unit: "bytes"}
	delta := capacity.Series{Name: capacity.DeltaBytes, PerUnit: "kilobyte of the document", Unit: "bytes"}
	for _, size := range []int{125_000, 250_000, 500_000, 1_000_000} {
		b := &configBench{options: ConfigOptions{Bytes: size}, cluster: &Cluster{}, rng: rand.New(rand.NewPCG(1, 1))}
		text, next := b.document(), b.document()
		var failed error
		start := used()
		const rounds = 5
		for range rounds {
			if _, err := config.Parse(text); err != nil {
				failed = err
			}
		}
		kilobytes := float64(len(text)) / 1000
		cpu.Points = append(cpu.Points, capacity.Point{X: kilobytes, Y: milliseconds(used().cpu-start.cpu) / rounds})
		heap.Points = append(heap.Points, capacity.Point{X: float64(len(text)), Y: heapOf(func() any {
			doc, err := config.Parse(text)
			failed = errors.Wrap(err, "document")
			return []any{doc, slices.Clone(text)}
		})})
		d, err := etcd.EncodeDelta(config.Revision{Number: 1, Text: text}, config.Revision{Number: 2, Text: next, Author: "operator", Submission: strings.Repeat("x", 26)})
		if err != nil || failed != nil {
			return nil, errors.Errorf("documents of %d bytes: %v, %v", size, err, failed)
		}
		delta.Points = append(delta.Points, capacity.Point{X: kilobytes, Y: float64(len(d))})
	}
	return []capacity.Series{cpu, heap, delta}, nil
}

// plainSite is a site of two hosts without latencies.
func plainSite(groups int, net byte) Topology {
	t := Kyrikos()
	t.Hosts, t.Groups, t.Plain = 2, groups, true
	t.OpenDelay, t.Service, t.ZoneLatency, t.HostListLag = 0, 0, 0, 0
	t.Net = [3]byte{127, 8, net}
	return t
}

// withCluster runs f on a ready cluster.
func withCluster(t Topology, logger log.Logger, f func(*Cluster) error) error {
	c, err := StartCluster(t, logger)
	if err != nil {
		return err
	}
	defer c.Close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	if err := c.Ready(ctx); err != nil {
		return err
	}
	return f(c)
}

func callerSlope(o SlopesOptions) ([]capacity.Series, error) {
	s := capacity.Series{Name: capacity.CallerBytes, PerUnit: "idle caller", Unit: "bytes"}
	err := withCluster(plainSite(1, 1), o.Logger, func(c *Cluster) error {
		url := c.URL(c.Owner(0), c.Topology.RouteName(BrowseRoute, 0))
		for _, n := range []int{500, 1000, 2000, 4000} {
			bytes, _, err := measureIdle(url, n)
			if err != nil {
				return err
			}
			s.Points = append(s.Points, capacity.Point{X: float64(n), Y: bytes * float64(n)})
		}
		return nil
	})
	return []capacity.Series{s}, err
}

func statementSlopes(o SlopesOptions) ([]capacity.Series, error) {
	same := capacity.Series{Name: capacity.SameHostCPU, PerUnit: "statement", Unit: "us above the direct way"}
	hop := capacity.Series{Name: capacity.OneHopCPU, PerUnit: "statement", Unit: "us above the direct way"}
	for _, callers := range []int{4, 8, 16} {
		r, err := BenchOverhead(OverheadOptions{Duration: 2 * time.Second, Callers: callers, Idle: 1, Out: io.Discard, Logger: o.Logger})
		if err != nil {
			return nil, err
		}
		same.Points = append(same.Points, capacity.Point{X: 1, Y: r.FreePaths[1].CPUUS - r.FreePaths[0].CPUUS})
		hop.Points = append(hop.Points, capacity.Point{X: 1, Y: r.FreePaths[2].CPUUS - r.FreePaths[0].CPUUS})
	}
	return []capacity.Series{same, hop}, nil
}

// groupSlopes measures idle groups. The stand-ins run in the same process: what
// they cost alone is measured first and taken off the processor time. The
// members' side of each probe stays in.
func groupSlopes(o SlopesOptions) ([]capacity.Series, error) {
	heap := capacity.Series{Name: capacity.GroupBytes, PerUnit: "group, its three stand-in members included", Unit: "bytes"}
	cpu := capacity.Series{Name: capacity.GroupCPU, PerUnit: "idle group, without what its stand-ins take alone", Unit: "% of a core"}
	traffic := capacity.Series{Name: capacity.GroupTraffic, PerUnit: "idle group", Unit: "bytes/s"}
	const settle, quiet = 2 * time.Second, 8 * time.Second
	for i, n := range []int{1, 4, 8, 12} {
		alone, err := standinsAlone(plainSite(n, byte(20+i)), quiet)
		if err != nil {
			return nil, err
		}
		before := memory()
		err = withCluster(plainSite(n, byte(10+i)), o.Logger, func(c *Cluster) error {
			heap.Points = append(heap.Points, capacity.Point{X: float64(n), Y: float64(memory() - before)})
			time.Sleep(settle) // until the groups count as idle
			start, probes := used(), c.probes()
			time.Sleep(quiet)
			cpu.Points = append(cpu.Points, capacity.Point{X: float64(n), Y: 100*(used().cpu-start.cpu).Seconds()/quiet.Seconds() - alone})
			traffic.Points = append(traffic.Points, capacity.Point{X: float64(n), Y: float64(c.probes()-probes) / quiet.Seconds()})
			return nil
		})
		if err != nil {
			return nil, err
		}
	}
	return []capacity.Series{heap, cpu, traffic}, nil
}

// standinsAlone returns the processor time that a site's groups take without any
// host, in percent of a core.
func standinsAlone(t Topology, d time.Duration) (float64, error) {
	c := &Cluster{Topology: t, Network: standin.NewPlainNetwork()}
	for g := range t.Groups {
		group, err := c.startGroup(g)
		if err != nil {
			return 0, err
		}
		defer group.Close()
	}
	start := used()
	time.Sleep(d)
	return 100 * (used().cpu - start.cpu).Seconds() / d.Seconds(), nil
}

// probes returns the bytes that probes of members have taken so far.
func (c *Cluster) probes() int64 {
	var n int64
	for _, h := range c.Hosts {
		n += h.ControlBytes()
	}
	return n
}

// streamSlope measures idle exchange streams between two hosts, both ends.
func streamSlope(o SlopesOptions) ([]capacity.Series, error) {
	s := capacity.Series{Name: capacity.StreamBytes, PerUnit: "idle stream, one end", Unit: "bytes"}
	err := withCluster(plainSite(1, 30), o.Logger, func(c *Cluster) error {
		owner := c.Owner(0)
		for _, n := range []int{16, 32, 64} {
			before := memory()
			client := peer.NewClient(netip.Addr{}, nil, &peer.Traffic{})
			if err := c.openStreams(client, owner, n); err != nil {
				return err
			}
			s.Points = append(s.Points, capacity.Point{X: float64(n), Y: float64(memory()-before) / 2})
			client.Close()
		}
		return nil
	})
	return []capacity.Series{s}, err
}

// openStreams runs n exchanges at once, so that as many streams stay idle.
func (c *Cluster) openStreams(client *peer.Client, owner, n int) error {
	ctx := context.Background()
	var open []*peer.RemoteExchange
	for range n {
		x := client.Begin(c.Topology.hostAddr(owner, peerPort), &statement.Request{
			Route: c.Topology.RouteName(BrowseRoute, 0), Group: c.Topology.groupName(0), NeverWrote: true, Class: freshness.OwnWrites{},
		})
		u := &statement.Unit{Kind: statement.Read, ControlsTransaction: true, Data: beginQuery, Deadline: time.Now().Add(streamWait)}
		// More exchanges than connections: the last ones are refused, and their
		// streams stay as the others do.
		_, err := x.Do(ctx, u, func([]byte) error { return nil })
		var refused *statement.Refusal
		if err != nil && !errors.As(err, &refused) {
			return err
		}
		open = append(open, x)
	}
	runtime.KeepAlive(open)
	return nil
}

// streamWait is how long an exchange of openStreams waits for a connection.
const streamWait = 20 * time.Millisecond

// beginQuery is a simple query that opens a read-only transaction.
var beginQuery = []byte("Q\x00\x00\x00\x14BEGIN READ ONLY\x00")

// fleetSlopes measures fleets of several sizes at rest.
func fleetSlopes(o SlopesOptions) ([]capacity.Series, error) {
	traffic := capacity.Series{Name: capacity.FleetTraffic, PerUnit: "host of the fleet", Unit: "bytes/s"}
	cpu := capacity.Series{Name: capacity.FleetCPU, PerUnit: "host of the fleet", Unit: "% of a core"}
	calls := capacity.Series{Name: capacity.PlatformCalls, PerUnit: "host of the fleet", Unit: "calls/s of the whole fleet"}
	for i, n := range []int{16, 32, 64, 128} {
		f, err := membershipRun(MembershipOptions{Duration: 6 * time.Second, Logger: o.Logger}, n, byte(100+10*i))
		if err != nil {
			return nil, err
		}
		x := float64(n)
		traffic.Points = append(traffic.Points, capacity.Point{X: x, Y: f.BytesPerS})
		cpu.Points = append(cpu.Points, capacity.Point{X: x, Y: f.CPUPercent})
		calls.Points = append(calls.Points, capacity.Point{X: x, Y: f.PlatformCalls * x})
	}
	return []capacity.Series{traffic, cpu, calls}, nil
}

// takeoverSlope measures how long writes fail after an owner's host has died.
func takeoverSlope(o SlopesOptions) ([]capacity.Series, error) {
	s := capacity.Series{Name: capacity.TakeoverDuration, PerUnit: "takeover", Unit: "ms"}
	t := plainSite(1, 40)
	t.Hosts = 4
	err := withCluster(t, o.Logger, func(c *Cluster) error {
		for i := range 3 {
			owner := c.Owner(0)
			c.KillHost(owner)
			start := time.Now()
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			err := c.probe(ctx, (owner+1)%t.Hosts, 0)
			cancel()
			if err != nil {
				return err
			}
			s.Points = append(s.Points, capacity.Point{X: 1, Y: milliseconds(time.Since(start))})
			if err := c.StartHost(owner); err != nil {
				return err
			}
			time.Sleep(time.Duration(i+1) * recoverTime)
		}
		return nil
	})
	return []capacity.Series{s}, err
}
