package lab

import (
	"context"
	"fmt"
	"io"
	"net"
	"runtime"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/go-kit/log"
	"github.com/jackc/pgx/v5"
	"github.com/pkg/errors"
)

// OverheadOptions describes the overhead bench.
type OverheadOptions struct {
	Duration time.Duration
	// Callers is how many callers run statements at once, and Idle how many idle
	// ones are counted.
	Callers, Idle int
	Out           io.Writer
	Logger        log.Logger
}

// OverheadResult is the bench's result as it stands in its JSON file.
//
// The ratios to the direct way are with members that take their service time in
// their slots, and again with members that cost nothing, where the processor is
// the limit. What is added to a statement is measured with the latter.
type OverheadResult struct {
	RatioSameHost     float64       `json:"throughput_ratio_same_host"`
	RatioOneHop       float64       `json:"throughput_ratio_one_hop"`
	FreeRatioSameHost float64       `json:"free_member_throughput_ratio_same_host"`
	FreeRatioOneHop   float64       `json:"free_member_throughput_ratio_one_hop"`
	AddedP50US        float64       `json:"added_p50_us"`
	AddedP99US        float64       `json:"added_p99_us"`
	CPUPerStmtUS      float64       `json:"cpu_us_per_statement"`
	IdleBytes         float64       `json:"idle_connection_bytes"`
	IdleGoroutines    float64       `json:"idle_connection_goroutines"`
	Paths             []PathFigures `json:"paths"`
	FreePaths         []PathFigures `json:"free_member_paths"`
}

// PathFigures are the figures of one way to the member.
type PathFigures struct {
	Name          string  `json:"name"`
	PerSecond     float64 `json:"statements_per_s"`
	P50US         float64 `json:"p50_us"`
	P99US         float64 `json:"p99_us"`
	CPUUS         float64 `json:"cpu_us_per_statement"`
	Allocations   float64 `json:"allocations_per_statement"`
	RowsPerSecond float64 `json:"rows_per_s"`
	RowAllocs     float64 `json:"allocations_per_row"`
}

// overheadRows is the size of the results by which rows are measured.
const overheadRows = 100_000

// BenchOverhead measures what pearlatch adds to statements that go directly to a
// member: on the host that owns the group, and by way of another host. The same
// process runs the callers and the member; what they cost cancels out.
//
// It measures twice: with members that cost nothing, where the processor is the
// limit, and with members that take their service time in their slots.
func BenchOverhead(o OverheadOptions) (OverheadResult, error) {
	var out OverheadResult
	t := plainSite(1, 50)
	err := withCluster(t, o.Logger, func(c *Cluster) error {
		var err error
		if out.FreePaths, err = c.measurePaths(o); err != nil {
			return err
		}
		out.IdleBytes, out.IdleGoroutines, err = measureIdle(c.URL(c.Owner(0), t.RouteName(BrowseRoute, 0)), o.Idle)
		fmt.Fprintf(o.Out, "idle caller: %.0f bytes, %.2f goroutines\n", out.IdleBytes, out.IdleGoroutines)
		return err
	})
	if err != nil {
		return out, err
	}
	t = plainSite(1, 51)
	t.Service = Kyrikos().Service
	err = withCluster(t, o.Logger, func(c *Cluster) error {
		var err error
		out.Paths, err = c.measurePaths(o)
		return err
	})
	out.compare()
	return out, err
}

// measurePaths measures the three ways to the members. The direct callers share
// the two replicas evenly, as pearlatch's reads do.
func (c *Cluster) measurePaths(o OverheadOptions) ([]PathFigures, error) {
	t := c.Topology
	owner := c.Owner(0)
	route := t.RouteName(BrowseRoute, 0)
	direct := func(m int) string {
		return fmt.Sprintf("postgres://%s:%s@%s/app?sslmode=disable", User, Password, t.memberAddr(0, m))
	}
	ways := []struct {
		name string
		urls []string
	}{
		{"direct", []string{direct(1), direct(2)}},
		{"same_host", []string{c.URL(owner, route)}},
		{"one_hop", []string{c.URL(1-owner, route)}},
	}
	var out []PathFigures
	for _, w := range ways {
		f, err := measurePath(o, w.urls)
		if err != nil {
			return out, errors.Wrap(err, w.name)
		}
		f.Name = w.name
		out = append(out, f)
		fmt.Fprintf(o.Out, "%-10s %8.0f statements/s, p50 %5.0f us, p99 %5.0f us, %5.1f us CPU, %5.1f allocations; %9.0f rows/s, %.3f allocations a row\n",
			f.Name, f.PerSecond, f.P50US, f.P99US, f.CPUUS, f.Allocations, f.RowsPerSecond, f.RowAllocs)
	}
	return out, nil
}

func (r *OverheadResult) compare() {
	direct, same, hop := r.FreePaths[0], r.FreePaths[1], r.FreePaths[2]
	r.FreeRatioSameHost = same.PerSecond / direct.PerSecond
	r.FreeRatioOneHop = hop.PerSecond / direct.PerSecond
	r.AddedP50US, r.AddedP99US = hop.P50US-direct.P50US, hop.P99US-direct.P99US
	r.CPUPerStmtUS = hop.CPUUS - direct.CPUUS
	if len(r.Paths) == len(r.FreePaths) {
		r.RatioSameHost = r.Paths[1].PerSecond / r.Paths[0].PerSecond
		r.RatioOneHop = r.Paths[2].PerSecond / r.Paths[0].PerSecond
	}
}

// usage is what the process has used.
type usage struct {
	cpu     time.Duration
	mallocs uint64
}

func used() usage {
	var ru syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &ru)
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return usage{time.Duration(ru.Utime.Nano() + ru.Stime.Nano()), m.Mallocs}
}

func measurePath(o OverheadOptions, urls []string) (PathFigures, error) {
	ctx, cancel := context.WithTimeout(context.Background(), o.Duration+time.Minute)
	defer cancel()
	conns := make([]*pgx.Conn, o.Callers)
	for i := range conns {
		conn, err := connect(ctx, urls[i%len(urls)], "")
		if err != nil {
			return PathFigures{}, err
		}
		defer conn.Close(ctx)
		conns[i] = conn
	}
	times := make([]*hdrhistogram.Histogram, o.Callers)
	var wg sync.WaitGroup
	errs := make(chan error, o.Callers)
	run := func(until time.Time) {
		for i, conn := range conns {
			times[i] = hdrhistogram.New(1, slowestRead, readDigits)
			wg.Go(func() {
				if err := readUntil(ctx, conn, times[i], until); err != nil {
					errs <- err
				}
			})
		}
		wg.Wait()
	}
	run(time.Now().Add(o.Duration / 4)) // warm up
	before, start := used(), time.Now()
	run(start.Add(o.Duration))
	after, took := used(), time.Since(start)
	if len(errs) > 0 {
		return PathFigures{}, <-errs
	}
	all := hdrhistogram.New(1, slowestRead, readDigits)
	for _, h := range times {
		all.Merge(h)
	}
	n := float64(all.TotalCount())
	f := PathFigures{
		PerSecond: n / took.Seconds(),
		P50US:     float64(all.ValueAtQuantile(50)), P99US: float64(all.ValueAtQuantile(99)),
		CPUUS:       float64((after.cpu - before.cpu).Microseconds()) / n,
		Allocations: float64(after.mallocs-before.mallocs) / n,
	}
	err := f.measureRows(ctx, conns[0])
	return f, err
}

func readUntil(ctx context.Context, conn *pgx.Conn, times *hdrhistogram.Histogram, until time.Time) error {
	for {
		start := time.Now()
		if !start.Before(until) {
			return nil
		}
		var v string
		err := conn.QueryRow(ctx, selectSQL, "ready").Scan(&v)
		if err != nil {
			return err
		}
		_ = times.RecordValue(max(1, time.Since(start).Microseconds()))
	}
}

// measureRows reads a large result without decoding its rows.
func (f *PathFigures) measureRows(ctx context.Context, conn *pgx.Conn) error {
	sql := fmt.Sprintf("SELECT generate_series(1, %d)", overheadRows)
	before, start := used(), time.Now()
	reader := conn.PgConn().ExecParams(ctx, sql, nil, nil, nil, nil)
	n := 0
	for reader.NextRow() {
		n++
	}
	if _, err := reader.Close(); err != nil {
		return err
	}
	after := used()
	f.RowsPerSecond = float64(n) / time.Since(start).Seconds()
	f.RowAllocs = float64(after.mallocs-before.mallocs) / float64(n)
	return nil
}

// measureIdle returns the bytes and goroutines that an idle caller costs.
func measureIdle(url string, n int) (bytes, goroutines float64, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	conns := make([]net.Conn, 0, n)
	defer func() {
		for _, c := range conns {
			_ = c.Close()
		}
	}()
	before := memory()
	beforeG := runtime.NumGoroutine()
	for range n {
		conn, err := connect(ctx, url, "")
		if err != nil {
			return 0, 0, errors.Wrapf(err, "after %d idle callers", len(conns))
		}
		h, err := conn.PgConn().Hijack()
		if err != nil {
			return 0, 0, err
		}
		conns = append(conns, h.Conn)
	}
	after := memory()
	return float64(after-before) / float64(n), float64(runtime.NumGoroutine()-beforeG) / float64(n), nil
}

// memory returns the bytes in use, after a collection.
func memory() int64 {
	debug.FreeOSMemory()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse + m.StackInuse)
}
