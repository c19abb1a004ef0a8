package caller

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"

	"pearlatch/core/config"
	"pearlatch/core/statement"
	"pearlatch/io/postgres"
)

// Exchange runs the units of one transaction. See upstream.Exchange.
type Exchange interface {
	Do(ctx context.Context, u *statement.Unit, sink func([]byte) error) (statement.Outcome, error)
	Cancel(ctx context.Context) error
	Close()
}

// Router opens exchanges with the owners of groups.
type Router interface {
	// Begin opens an exchange. It does no I/O.
	Begin(r *statement.Request) Exchange
	// Cancel passes a cancel request on to the host that its key names.
	Cancel(key statement.CancelKey)
}

// Routes gives the listener the configuration in force.
type Routes interface {
	// Route returns the route of the given name.
	Route(name string) (config.Route, bool)
	// Verifier returns what checks the password of a credential's user, or nil
	// when the credential does not exist or its user has another name.
	Verifier(credential, user string) *postgres.Verifier
	// Ready returns an empty string, or the reason why the host cannot serve.
	Ready() string
}

// Options says what a listener needs.
type Options struct {
	// Host is the identifier of this host.
	Host string
	// HostNumber is the upper half of the process numbers given to callers.
	HostNumber uint16
	// TLS is nil to refuse encryption.
	TLS *tls.Config
	// StartupTimeout bounds a caller's startup and authentication.
	StartupTimeout time.Duration
	Router         Router
	Routes         Routes
	Logger         log.Logger
	Metrics        metrics.Registry
}

// Listener accepts callers.
type Listener struct {
	options Options
	stats   stats

	mu             sync.Mutex
	sessions       map[statement.CancelKey]*session
	callersByRoute map[string]int
	lastSerial     uint16
	draining       bool
	connections    sync.WaitGroup
}

type stats struct {
	callers    metrics.Gauge
	statements metrics.Counter
	refusals   metrics.Counter
}

// NewListener returns a listener. Serve makes it accept.
func NewListener(o Options) *Listener {
	return &Listener{
		options:        o,
		sessions:       map[statement.CancelKey]*session{},
		callersByRoute: map[string]int{},
		stats: stats{
			callers:    metrics.GetOrRegisterGauge("callers", o.Metrics),
			statements: metrics.GetOrRegisterCounter("statements", o.Metrics),
			refusals:   metrics.GetOrRegisterCounter("refusals", o.Metrics),
		},
	}
}

// acceptRetryDelay is the pause after a failed accept, as when file descriptors run
// out, so that the loop does not spin.
const acceptRetryDelay = 20 * time.Millisecond

// Serve accepts callers from l until l closes.
func (l *Listener) Serve(lis net.Listener) {
	for {
		conn, err := lis.Accept()
		if err != nil {
			if ne, ok := err.(net.Error); ok && ne.Timeout() || l.isDraining() {
				return
			}
			if isClosed(err) {
				return
			}
			time.Sleep(acceptRetryDelay)
			continue
		}
		l.connections.Go(func() { l.serve(conn) })
	}
}

func (l *Listener) isDraining() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.draining
}

// CancelLocal cancels the statement that runs for the caller of the given key.
// It returns false when this host has no such caller.
func (l *Listener) CancelLocal(ctx context.Context, key statement.CancelKey) bool {
	l.mu.Lock()
	s := l.sessions[key]
	l.mu.Unlock()
	if s == nil {
		return false
	}
	s.cancel(ctx)
	return true
}

// Callers returns the number of callers per route.
func (l *Listener) Callers() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[string]int, len(l.callersByRoute))
	for route, n := range l.callersByRoute {
		out[route] = n
	}
	return out
}

// Drain ends all callers: idle ones at once, the others at the end of their
// transaction. It returns when all are gone or ctx ends, and then closes the
// rest.
func (l *Listener) Drain(ctx context.Context) {
	l.mu.Lock()
	l.draining = true
	open := l.openSessions()
	l.mu.Unlock()
	for _, s := range open {
		s.drain()
	}
	done := make(chan struct{})
	go func() {
		l.connections.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
		l.mu.Lock()
		open = l.openSessions()
		l.mu.Unlock()
		for _, s := range open {
			s.conn.Close()
		}
		<-done
	}
}

func (l *Listener) openSessions() []*session {
	out := make([]*session, 0, len(l.sessions))
	for _, s := range l.sessions {
		out = append(out, s)
	}
	return out
}

// admit counts a caller of the route and gives it a key. It returns false when
// the route is full or the host drains.
func (l *Listener) admit(s *session) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.draining || l.callersByRoute[s.route.Name] >= s.route.MaxCallers {
		return false
	}
	for {
		l.lastSerial++
		s.cancelKey.Process = uint32(l.options.HostNumber)<<16 | uint32(l.lastSerial)
		s.cancelKey.Secret = randomSecret()
		if _, used := l.sessions[s.cancelKey]; !used {
			break
		}
	}
	l.sessions[s.cancelKey] = s
	l.callersByRoute[s.route.Name]++
	l.stats.callers.Update(int64(len(l.sessions)))
	return true
}

func (l *Listener) remove(s *session) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.sessions, s.cancelKey)
	if l.callersByRoute[s.route.Name]--; l.callersByRoute[s.route.Name] == 0 {
		delete(l.callersByRoute, s.route.Name)
	}
	l.stats.callers.Update(int64(len(l.sessions)))
}
