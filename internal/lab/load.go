package lab

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	"pearlatch/io/caller"
	"pearlatch/io/postgres"
)

// Statements of the load.
const (
	upsertSQL = `INSERT INTO items (key, value) VALUES ($1, $2) ON CONFLICT (key) DO UPDATE SET value = excluded.value`
	selectSQL = `SELECT value FROM items WHERE key = $1`
	printSQL  = `INSERT INTO prints (id) VALUES ($1)`
)

func connect(ctx context.Context, url, session string) (*pgx.Conn, error) {
	cfg, err := pgx.ParseConfig(url)
	if err != nil {
		return nil, err
	}
	if session != "" {
		cfg.RuntimeParams[caller.SessionOption] = session
	}
	return pgx.ConnectConfig(ctx, cfg)
}

// Outcome says what a caller knows of a statement after its answer.
type Outcome int

// The outcomes.
const (
	// Acked means that the statement was answered.
	Acked Outcome = iota
	// NotRun means that it was refused and has not run.
	NotRun
	// Unknown means that it may or may not have run.
	Unknown
)

// outcomeOf classifies an error as a caller would.
func outcomeOf(err error) Outcome {
	if err == nil {
		return Acked
	}
	var pg *pgconn.PgError
	if !errors.As(err, &pg) {
		return Unknown
	}
	if strings.HasSuffix(pg.Message, "the request has not run") || pg.Code == postgres.CodeQueryCanceled {
		return NotRun
	}
	return Unknown
}

// LoadOptions describes a load.
type LoadOptions struct {
	// Sessions is how many sessions run at once.
	Sessions int
	// Writes is the share of statements that write.
	Writes float64
	// Roam is the share of statements before which a session changes host.
	Roam float64
	// Think is the pause between two statements of a session.
	Think time.Duration
	// Seed makes the choices repeatable.
	Seed uint64
	// Weak leaves reads of the class latest out.
	Weak bool
	// Probe, if not nil, measures the reads.
	Probe *readProbe
}

// Load is a running load of sessions that roam between hosts.
type Load struct {
	cluster *Cluster
	options LoadOptions
	stop    chan struct{}
	wait    sync.WaitGroup

	mu     sync.Mutex
	result Result
	writes [][]writeRecord // acknowledged writes of each session, in order
	prints map[string]printRecord
	last   []ownKey
}

// writeRecord is an acknowledged write.
type writeRecord struct{ sent, done time.Time }

// printRecord is what is known of a statement that must run at most once.
type printRecord struct {
	group   int
	outcome Outcome
}

// ownKey is the state of a session's own key.
type ownKey struct {
	group     int
	key       string
	acked     int // highest value acknowledged
	attempted int // highest value sent with an unknown outcome, or acked
}

// value returns the n-th value of the key.
func (k ownKey) value(n int) string { return k.key + "=" + strconv.Itoa(n) }

// Result counts what the callers saw.
type Result struct {
	Statements, Reads, Writes   int
	ErrorsNotRun, ErrorsUnknown int
	Lost, Doubled               int
	RYWViolations               int
	Crossed                     int
	// FalseNotRun counts requests refused as not run that had run.
	FalseNotRun int
}

// StartLoad starts a load on a cluster.
func StartLoad(c *Cluster, o LoadOptions) *Load {
	l := &Load{
		cluster: c, options: o, stop: make(chan struct{}),
		writes: make([][]writeRecord, o.Sessions), last: make([]ownKey, o.Sessions), prints: map[string]printRecord{},
	}
	for i := range o.Sessions {
		l.wait.Go(func() { l.session(i) })
	}
	return l
}

// Stop ends the load and waits for its sessions.
func (l *Load) Stop() {
	close(l.stop)
	l.wait.Wait()
}

// Progress returns the counts so far.
func (l *Load) Progress() Result {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.result
}

// roamer is a session with its connections to the hosts.
type roamer struct {
	load  *Load
	index int
	name  string
	rng   *rand.Rand
	group int
	conns map[string]*pgx.Conn
	host  int
	own   ownKey
	seq   int
}

// statementTimeout bounds a statement of the load. It is above every deadline of
// the routes, so that the answer is the product's.
const statementTimeout = 15 * time.Second

func (l *Load) session(i int) {
	r := &roamer{
		load: l, index: i, name: fmt.Sprintf("session-%d", i),
		rng:   rand.New(rand.NewPCG(l.options.Seed, uint64(i))),
		group: i % len(l.cluster.Groups), conns: map[string]*pgx.Conn{},
	}
	r.own = ownKey{group: r.group, key: r.name}
	r.host = r.rng.IntN(len(l.cluster.Hosts))
	defer func() {
		for _, c := range r.conns {
			_ = c.Close(context.Background())
		}
		l.mu.Lock()
		l.last[i] = r.own
		l.mu.Unlock()
	}()
	for {
		select {
		case <-l.stop:
			return
		case <-time.After(l.options.Think):
		}
		r.step()
	}
}

func (r *roamer) step() {
	if r.rng.Float64() < r.load.options.Roam {
		r.host = r.rng.IntN(len(r.load.cluster.Hosts))
	}
	switch x := r.rng.Float64(); {
	case x < r.load.options.Writes/2:
		r.write()
	case x < r.load.options.Writes:
		r.print()
	default:
		r.read()
	}
}

// conn returns the session's connection to its present host, for a route.
func (r *roamer) conn(ctx context.Context, kind string) (*pgx.Conn, string, error) {
	url := r.load.cluster.URL(r.host, r.load.cluster.Topology.RouteName(kind, r.group))
	if c := r.conns[url]; c != nil && !c.IsClosed() {
		return c, url, nil
	}
	delete(r.conns, url)
	c, err := connect(ctx, url, r.name)
	if err != nil {
		// As behind the platform's balancer: another host is tried next.
		r.host = r.rng.IntN(len(r.load.cluster.Hosts))
		return nil, url, err
	}
	r.conns[url] = c
	return c, url, nil
}

func (r *roamer) exec(kind, sql string, args ...any) (sent time.Time, o Outcome) {
	ctx, cancel := context.WithTimeout(context.Background(), statementTimeout)
	defer cancel()
	c, _, err := r.conn(ctx, kind)
	if err != nil {
		return time.Now(), NotRun
	}
	// The text is prepared first, so that a failure to do so is known not to
	// have run anything.
	if _, err := c.Prepare(ctx, sql, sql); err != nil {
		r.count(false, NotRun)
		return time.Now(), NotRun
	}
	sent = time.Now()
	_, err = c.Exec(ctx, sql, args...)
	o = outcomeOf(err)
	r.count(true, o)
	return sent, o
}

func (r *roamer) count(write bool, o Outcome) {
	r.load.mu.Lock()
	defer r.load.mu.Unlock()
	res := &r.load.result
	res.Statements++
	if write {
		res.Writes++
	} else {
		res.Reads++
	}
	switch o {
	case NotRun:
		res.ErrorsNotRun++
	case Unknown:
		res.ErrorsUnknown++
	}
}

func (r *roamer) write() {
	r.seq++
	value := r.own.value(r.seq)
	sent, o := r.exec(DeskRoute, upsertSQL, r.own.key, value)
	switch o {
	case Acked:
		r.own.acked, r.own.attempted = r.seq, r.seq
		r.good(sent)
	case Unknown:
		r.own.attempted = r.seq
	}
}

func (r *roamer) good(sent time.Time) {
	r.load.mu.Lock()
	defer r.load.mu.Unlock()
	r.load.writes[r.index] = append(r.load.writes[r.index], writeRecord{sent, time.Now()})
}

func (r *roamer) print() {
	r.seq++
	id := r.name + "/" + strconv.Itoa(r.seq)
	sent, o := r.exec(DeskRoute, printSQL, id)
	r.load.mu.Lock()
	r.load.prints[id] = printRecord{r.group, o}
	r.load.mu.Unlock()
	if o == Acked {
		r.good(sent)
	}
}

// read reads the session's own key and checks that it sees its own writes.
func (r *roamer) read() {
	kind, age := r.readRoute()
	ctx, cancel := context.WithTimeout(context.Background(), statementTimeout)
	defer cancel()
	c, _, err := r.conn(ctx, kind)
	if err != nil {
		return
	}
	probe := r.load.options.Probe
	if probe != nil {
		probe.ask(r.load.cluster, r.own, age)
	}
	start := time.Now()
	var value string
	err = c.QueryRow(ctx, selectSQL, r.own.key).Scan(&value)
	if errors.Is(err, pgx.ErrNoRows) {
		value, err = r.own.key+"=0", nil
	}
	if probe != nil {
		probe.took(time.Since(start))
	}
	r.count(false, outcomeOf(err))
	if err == nil {
		r.check(value)
	}
}

// readRoute draws the route of a read, and the age that it accepts, if any.
func (r *roamer) readRoute() (kind string, age time.Duration) {
	switch r.rng.IntN(10) {
	case 0:
		if !r.load.options.Weak {
			return StrictRoute, 0
		}
	case 1, 2, 3:
		return DeskRoute, 0
	}
	return BrowseRoute, browseAge
}

func (r *roamer) check(value string) {
	key, number, _ := strings.Cut(value, "=")
	n, err := strconv.Atoi(number)
	r.load.mu.Lock()
	defer r.load.mu.Unlock()
	switch {
	case key != r.own.key || err != nil:
		r.load.result.Crossed++
	case n < r.own.acked:
		r.load.result.RYWViolations++
	}
}

// Check compares what the callers were told with what the groups hold now, and
// returns the final counts. The load must be stopped.
func (l *Load) Check() Result {
	l.mu.Lock()
	defer l.mu.Unlock()
	res := l.result
	for _, own := range l.last {
		value, _ := l.cluster.Groups[own.group].Primary().Value("items", own.key)
		_, number, _ := strings.Cut(value, "=")
		n, _ := strconv.Atoi(number)
		if n < own.acked {
			res.Lost++
		}
	}
	for id, p := range l.prints {
		value, _ := l.cluster.Groups[p.group].Primary().Value("prints", id)
		n, _ := strconv.Atoi(value)
		switch {
		case n > 1:
			res.Doubled++
		case n == 0 && p.outcome == Acked:
			res.Lost++
		case n == 1 && p.outcome == NotRun:
			res.FalseNotRun++
		}
	}
	return res
}

// Gap returns each session's longest time between two acknowledged writes that
// spans the given moment, for the sessions of one group. Sessions without a
// write after the moment are left out and counted in stuck.
func (l *Load) Gap(group int, at time.Time) (gaps []time.Duration, stuck int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, list := range l.writes {
		if i%len(l.cluster.Groups) != group {
			continue
		}
		gap, ok := gapAround(list, at)
		if !ok {
			stuck++
			continue
		}
		gaps = append(gaps, gap)
	}
	return gaps, stuck
}

func gapAround(list []writeRecord, at time.Time) (time.Duration, bool) {
	for i := 1; i < len(list); i++ {
		if list[i-1].done.Before(at) && !list[i].done.Before(at) {
			return list[i].done.Sub(list[i-1].done), true
		}
	}
	return 0, false
}
