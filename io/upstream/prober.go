package upstream

import (
	"context"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/pkg/errors"

	"pearlatch/core/config"
	"pearlatch/core/group"
)

// reconnectDelay is the pause between attempts to reach a member.
const reconnectDelay = 20 * time.Millisecond

// connectTimeout bounds the opening of a control connection. It is above the
// time that a loaded member takes to fork and authenticate.
const connectTimeout = 400 * time.Millisecond

// prober keeps the control connection to one member and asks for its status.
type prober struct {
	member  config.Member
	dial    dialer
	silence time.Duration
	// interval returns the pause between two probes.
	interval func() time.Duration
	report   func(probeResult)

	kick chan struct{}
	jobs chan job

	mu   sync.Mutex
	conn uint64 // counts connections; zero before the first
}

// probeResult is the result of one probe. Its implementations are heard and missed.
type probeResult interface{ isProbeResult() }

// probeAnswered is a status.
type probeAnswered struct {
	sample group.Sample
	conn   uint64 // the connection that it came over
}

// probeFailed is a probe without an answer.
type probeFailed struct {
	err error
	// connRefused is true when the member ended or refused the connection.
	connRefused bool
}

func (probeAnswered) isProbeResult() {}
func (probeFailed) isProbeResult()   {}

// job is work for the control connection.
type job struct {
	ctx  context.Context
	run  func(ctx context.Context, conn *pgconn.PgConn, number uint64) error
	done chan error
}

func newProber(o Options, m config.Member, pace func() time.Duration, report func(probeResult)) *prober {
	return &prober{
		member:   m,
		dial:     newDialer(o).metered(o.ControlBytes),
		silence:  o.Group.Timing.Silence,
		interval: pace,
		report:   report,
		kick:     make(chan struct{}, 1),
		jobs:     make(chan job),
	}
}

// wake makes the prober ask at once.
func (p *prober) wake() {
	select {
	case p.kick <- struct{}{}:
	default:
	}
}

// do runs work on the control connection. It fails when there is none.
func (p *prober) do(ctx context.Context, run func(context.Context, *pgconn.PgConn, uint64) error) error {
	j := job{ctx: ctx, run: run, done: make(chan error, 1)}
	select {
	case p.jobs <- j:
	case <-ctx.Done():
		return errors.Wrapf(ctx.Err(), "member %s: no control connection", p.member.Name)
	}
	select {
	case err := <-j.done:
		return errors.Wrapf(err, "member %s", p.member.Name)
	case <-ctx.Done():
		return errors.Wrapf(ctx.Err(), "member %s", p.member.Name)
	}
}

// run probes until ctx ends.
func (p *prober) run(ctx context.Context) {
	for ctx.Err() == nil {
		if !p.connectAndProbe(ctx) {
			sleep(ctx, reconnectDelay)
		}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// connectAndProbe opens a connection and probes over it until it fails. It returns
// false when it could not open one.
func (p *prober) connectAndProbe(ctx context.Context) bool {
	dialCtx, cancel := context.WithTimeout(ctx, connectTimeout)
	conn, err := p.dial.connect(dialCtx, p.member)
	if err == nil {
		err = prepareStatus(dialCtx, conn)
	}
	cancel()
	if err != nil {
		p.reportFailure(ctx, err)
		return false
	}
	defer closeNow(conn)
	p.mu.Lock()
	p.conn++
	number := p.conn
	p.mu.Unlock()
	for ctx.Err() == nil {
		if err := p.probe(ctx, conn, number); err != nil {
			p.reportFailure(ctx, err)
			return true
		}
		if err := p.awaitNextProbe(ctx, conn, number); err != nil {
			p.reportFailure(ctx, err)
			return true
		}
	}
	return true
}

func (p *prober) reportFailure(ctx context.Context, err error) {
	if ctx.Err() == nil {
		p.report(probeFailed{err: err, connRefused: isConnRefused(err)})
	}
}

// closeNow closes a connection without waiting for the member.
func closeNow(conn *pgconn.PgConn) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = conn.Close(ctx)
	_ = conn.Conn().Close()
}

func (p *prober) probe(ctx context.Context, conn *pgconn.PgConn, number uint64) error {
	askCtx, cancel := context.WithTimeout(ctx, p.silence)
	defer cancel()
	asked := time.Now()
	status, err := queryStatusPrepared(askCtx, conn)
	if err != nil {
		return err
	}
	p.report(probeAnswered{sample: group.Sample{Status: status, SentAt: asked, ReceivedAt: time.Now()}, conn: number})
	return nil
}

// awaitNextProbe waits for the next probe and runs jobs meanwhile.
func (p *prober) awaitNextProbe(ctx context.Context, conn *pgconn.PgConn, number uint64) error {
	t := time.NewTimer(p.interval())
	defer t.Stop()
	for {
		select {
		case <-t.C:
			return nil
		case <-p.kick:
			return nil
		case j := <-p.jobs:
			j.done <- j.run(j.ctx, conn, number)
			if conn.IsClosed() {
				return errors.New("control connection closed")
			}
		case <-ctx.Done():
			return nil
		}
	}
}
