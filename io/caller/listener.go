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

// Exchange runs the units of one transaction. Cancel may be called while Do runs;
// the other methods are called from one goroutine. See upstream.Exchange.
type Exchange interface {
	Do(ctx context.Context, u *statement.Unit, sink func([]byte) error) (statement.Outcome, error)
	Cancel(ctx context.Context) error
	Close()
}

// Router opens exchanges with the owners of groups. It is used from several
// goroutines.
type Router interface {
	// Begin opens an exchange. It does no I/O.
	Begin(r *statement.Request) Exchange
	// Cancel forwards a cancel request to the host that its key names.
	Cancel(key statement.CancelKey)
}

// Routes gives the listener the configuration in force. It is used from several
// goroutines.
type Routes interface {
	// Route returns the route of the given name.
	Route(name string) (config.Route, bool)
	// Verifier returns the password verifier of a credential's user, or nil if
	// the credential does not exist or its user has another name.
	Verifier(credential, user string) *postgres.Verifier
	// Ready returns the reason why the host cannot serve, or an empty string if
	// it can.
	Ready() string
}

// Options configures a Listener.
type Options struct {
	// Host is the identifier of this host.
	Host string
	// HostNumber is the upper half of the process IDs in the cancel keys that
	// callers receive.
	HostNumber uint16
	// TLS is the TLS configuration, or nil to refuse encryption.
	TLS *tls.Config
	// StartupTimeout is the time limit of a caller's startup and authentication.
	StartupTimeout time.Duration
	Router         Router
	Routes         Routes
	Logger         log.Logger
	Metrics        metrics.Registry
}

// Listener accepts callers and serves them. Its methods may be called from
// several goroutines. Use NewListener.
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

// NewListener returns a listener. Call Serve to accept callers.
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

// acceptRetryDelay is the delay after a failed accept, for example when file
// descriptors run out, so that the accept loop does not spin.
const acceptRetryDelay = 20 * time.Millisecond

// Serve accepts callers from lis until lis is closed or times out, or until
// Accept fails while the listener drains.
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

// Drain refuses new callers and closes all sessions: idle ones at once, the
// others at the end of their transaction. When ctx ends, it closes the remaining
// connections. It returns when all sessions have ended.
func (l *Listener) Drain(ctx context.Context) {
	l.mu.Lock()
	l.draining = true
	sessions := l.openSessions()
	l.mu.Unlock()
	for _, s := range sessions {
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
		sessions = l.openSessions()
		l.mu.Unlock()
		for _, s := range sessions {
			s.conn.Close()
		}
		<-done
	}
}

// openSessions returns the open sessions. l.mu must be held.
func (l *Listener) openSessions() []*session {
	out := make([]*session, 0, len(l.sessions))
	for _, s := range l.sessions {
		out = append(out, s)
	}
	return out
}

// admit adds a session and gives it a cancel key. It returns false if the route
// has reached its limit of callers or the host is draining.
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

// remove removes a session that admit has added.
func (l *Listener) remove(s *session) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.sessions, s.cancelKey)
	if l.callersByRoute[s.route.Name]--; l.callersByRoute[s.route.Name] == 0 {
		delete(l.callersByRoute, s.route.Name)
	}
	l.stats.callers.Update(int64(len(l.sessions)))
}
