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

// reconnectPause is the pause between attempts to reach a member.
const reconnectPause = 20 * time.Millisecond

// connectTimeout bounds the opening of a control connection. It is above the
// time that a loaded member takes to fork and authenticate.
const connectTimeout = 400 * time.Millisecond

// prober keeps the control connection to one member and asks for its status.
type prober struct {
	member  config.Member
	dial    dialer
	silence time.Duration
	// pace returns the pause between two probes.
	pace   func() time.Duration
	report func(answer)

	kick chan struct{}
	jobs chan job

	mu   sync.Mutex
	conn uint64 // counts connections; zero before the first
}

// answer is the result of one probe. Its implementations are heard and missed.
type answer interface{ isAnswer() }

// heard is a status.
type heard struct {
	sample group.Sample
	conn   uint64 // the connection that it came over
}

// missed is a probe without an answer.
type missed struct {
	err error
	// gone is true when the member ended or refused the connection.
	gone bool
}

func (heard) isAnswer()  {}
func (missed) isAnswer() {}

// job is work for the control connection.
type job struct {
	ctx  context.Context
	run  func(ctx context.Context, conn *pgconn.PgConn, number uint64) error
	done chan error
}

func newProber(o Options, m config.Member, pace func() time.Duration, report func(answer)) *prober {
	return &prober{
		member:  m,
		dial:    newDialer(o).metered(o.ControlBytes),
		silence: o.Group.Timing.Silence,
		pace:    pace,
		report:  report,
		kick:    make(chan struct{}, 1),
		jobs:    make(chan job),
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
		if !p.connected(ctx) {
			pause(ctx, reconnectPause)
		}
	}
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// connected opens a connection and probes over it until it fails. It returns
// false when it could not open one.
func (p *prober) connected(ctx context.Context) bool {
	dialCtx, cancel := context.WithTimeout(ctx, connectTimeout)
	conn, err := p.dial.connect(dialCtx, p.member)
	if err == nil {
		err = prepareStatus(dialCtx, conn)
	}
	cancel()
	if err != nil {
		p.miss(ctx, err)
		return false
	}
	defer closeNow(conn)
	p.mu.Lock()
	p.conn++
	number := p.conn
	p.mu.Unlock()
	for ctx.Err() == nil {
		if err := p.ask(ctx, conn, number); err != nil {
			p.miss(ctx, err)
			return true
		}
		if err := p.idle(ctx, conn, number); err != nil {
			p.miss(ctx, err)
			return true
		}
	}
	return true
}

func (p *prober) miss(ctx context.Context, err error) {
	if ctx.Err() == nil {
		p.report(missed{err: err, gone: refused(err)})
	}
}

// closeNow closes a connection without waiting for the member.
func closeNow(conn *pgconn.PgConn) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = conn.Close(ctx)
	_ = conn.Conn().Close()
}

func (p *prober) ask(ctx context.Context, conn *pgconn.PgConn, number uint64) error {
	askCtx, cancel := context.WithTimeout(ctx, p.silence)
	defer cancel()
	asked := time.Now()
	status, err := askPrepared(askCtx, conn)
	if err != nil {
		return err
	}
	p.report(heard{sample: group.Sample{Status: status, SentAt: asked, ReceivedAt: time.Now()}, conn: number})
	return nil
}

// idle waits for the next probe and runs jobs meanwhile.
func (p *prober) idle(ctx context.Context, conn *pgconn.PgConn, number uint64) error {
	t := time.NewTimer(p.pace())
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
