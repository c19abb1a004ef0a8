package host

import (
	"context"
	"crypto/tls"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"pearlatch/core/config"
	"pearlatch/core/membership"
	"pearlatch/io/caller"
	"pearlatch/io/etcd"
	"pearlatch/io/operator"
	"pearlatch/io/peer"
	"pearlatch/io/postgres"
	"pearlatch/io/upstream"
)

// Options are what a host needs besides its settings.
type Options struct {
	Settings Settings
	Logger   log.Logger
	// ListenPeers opens the listener for other hosts. Nil stands for net.Listen
	// over TCP.
	ListenPeers func(netip.AddrPort) (net.Listener, error)
	// Membership is the timing of probes between hosts. The zero value stands
	// for the default.
	Membership membership.Timing
	// AllStoreReaders makes every host watch the platform, as a baseline.
	AllStoreReaders bool
	// Binding says when a read is bound to a member, for measurements.
	Binding upstream.Binding
	// Unsafe switches safeguards off, for tests and baselines.
	Unsafe upstream.Unsafe
}

// Host is a running host.
type Host struct {
	settings        Settings
	logger          log.Logger
	metrics         metrics.Registry
	store           *etcd.Etcd
	operator        *operator.Server
	drainRequested  chan struct{}
	table           *membership.Table
	timing          membership.Timing
	binding         upstream.Binding
	allStoreReaders bool
	unsafe          upstream.Unsafe
	client          *peer.Client
	traffic         *peer.Traffic
	callers         *caller.Listener
	callerListener  net.Listener
	started         time.Time
	stop            context.CancelFunc
	background      sync.WaitGroup

	reconcileWake chan struct{} // wakes the reconciling of owners
	gossipWake    chan struct{} // wakes the passing on of claims
	conf          configuration
	verifiers     verifierCache
	stopping      atomic.Bool
	// lastStoreRevision is the store's revision of the configuration at the last look.
	lastStoreRevision atomic.Int64
	// membershipKnown is true once the host has asked the hosts that the platform
	// lists. Until then it does not know what others own, and owns nothing.
	membershipKnown atomic.Bool

	ownerSerial  atomic.Uint64
	controlBytes atomic.Int64 // on control connections to members

	ownersMu sync.Mutex
	owners   map[string]*upstream.Owner
	probing  map[string]bool // hosts that are being probed on a doubt

	exchanges      exchanges
	ownerOverrides ownerOverrides
}

// Start starts a host. It serves callers once it has a configuration.
func Start(o Options) (*Host, error) {
	if o.ListenPeers == nil {
		o.ListenPeers = listenTCP
	}
	if o.Membership == (membership.Timing{}) {
		o.Membership = membership.DefaultTiming()
	}
	s := o.Settings
	callerTLS, err := s.CallerTLS.serverTLS()
	if err != nil {
		return nil, err
	}
	peerTLS, err := s.PeerTLS.peerTLS()
	if err != nil {
		return nil, err
	}
	operatorTLS, err := s.OperatorTLS.serverTLS()
	if err != nil {
		return nil, err
	}
	traffic := &peer.Traffic{}
	h := &Host{
		settings:        s,
		logger:          log.With(o.Logger, "host", s.Host),
		metrics:         metrics.NewRegistry(),
		store:           etcd.NewEtcd(s.Platform),
		timing:          o.Membership,
		binding:         o.Binding,
		allStoreReaders: o.AllStoreReaders,
		unsafe:          o.Unsafe,
		client:          peer.NewClient(s.Peers.Addr(), peerTLS, traffic),
		traffic:         traffic,
		started:         time.Now(),
		reconcileWake:   make(chan struct{}, 1),
		owners:          map[string]*upstream.Owner{},
		probing:         map[string]bool{},
		drainRequested:  make(chan struct{}, 1),
		gossipWake:      make(chan struct{}, 1),
	}
	self := membership.Host{ID: s.Host, Zone: s.Zone, Peer: s.Peers, Incarnation: uint64(time.Now().UnixMilli())}
	h.table = membership.NewTable(self, o.Membership, h.membersChanged)
	h.callers = caller.NewListener(caller.Options{
		Host: s.Host, HostNumber: hostNumber(s.Host), TLS: callerTLS, StartupTimeout: s.Startup,
		Router: h, Routes: h, Logger: h.logger, Metrics: h.metrics,
	})
	h.operator = operator.NewServer(operator.Options{
		Process: operatorProcess{h}, Metrics: h.metrics, Configuration: operatorConfig{h}, Login: operator.Login(s.OperatorLogin),
	})
	l, err := listen(s, o.ListenPeers)
	if err != nil {
		return nil, err
	}
	h.callerListener = l.callers
	if operatorTLS != nil {
		l.operators = tls.NewListener(l.operators, operatorTLS)
	}
	h.run(l, peerTLS)
	_ = level.Info(h.logger).Log("step", "started", "callers", s.Callers, "peers", s.Peers)
	return h, nil
}

// listeners are what a host listens on.
type listeners struct{ peers, callers, operators net.Listener }

func listen(s Settings, listenPeers func(netip.AddrPort) (net.Listener, error)) (l listeners, err error) {
	if l.peers, err = listenPeers(s.Peers); err != nil {
		return l, errors.Wrap(err, "listen for peers")
	}
	if l.callers, err = listenTCP(s.Callers); err != nil {
		_ = l.peers.Close()
		return l, errors.Wrap(err, "listen for callers")
	}
	if l.operators, err = listenTCP(s.Operator); err != nil {
		_ = l.peers.Close()
		_ = l.callers.Close()
		return l, errors.Wrap(err, "listen for operators")
	}
	return l, nil
}

// run starts the host's loops.
func (h *Host) run(l listeners, peerTLS *tls.Config) {
	ctx, stop := context.WithCancel(context.Background())
	h.stop = stop
	h.background.Go(func() { _ = peer.Serve(ctx, l.peers, peerHandler{h}, peerTLS, h.traffic) })
	h.background.Go(func() { h.probeLoop(ctx) })
	h.background.Go(func() { h.gossipLoop(ctx) })
	h.background.Go(func() { h.configureLoop(ctx) })
	h.background.Go(func() { h.reconcileLoop(ctx) })
	h.background.Go(func() { h.callers.Serve(l.callers) })
	h.background.Go(func() { _ = h.operator.Serve(l.operators) })
}

func listenTCP(a netip.AddrPort) (net.Listener, error) { return net.Listen("tcp", a.String()) }

// hostNumber returns the upper half of the process numbers that a host gives to
// its callers, by which other hosts find it.
func hostNumber(id string) uint16 { return uint16(xxhash.Sum64String(id)) }

// Shutdown ends the host gracefully: no request in flight is cut unless ctx
// ends first.
func (h *Host) Shutdown(ctx context.Context) {
	h.stopping.Store(true)
	h.table.Leave()
	h.announce(ctx)
	h.callers.Drain(ctx)
	_ = h.callerListener.Close()
	h.closeOwners(ctx)
	h.stopBackground()
}

// Kill ends the host at once, as a crash does.
func (h *Host) Kill() {
	h.stopping.Store(true)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = h.callerListener.Close()
	h.operator.Close()
	h.stop()
	h.client.Close()
	h.closeOwners(ctx)
	h.callers.Drain(ctx)
	h.background.Wait()
}

func (h *Host) stopBackground() {
	h.operator.Close()
	h.stop()
	h.client.Close()
	h.background.Wait()
	_ = level.Info(h.logger).Log("step", "stopped")
}

// Route implements caller.Routes.
func (h *Host) Route(name string) (config.Route, bool) {
	doc := h.conf.document()
	if doc == nil {
		return config.Route{}, false
	}
	r, ok := doc.Route(name)
	if !ok {
		return config.Route{}, false
	}
	return *r, true
}

// Ready implements caller.Routes.
func (h *Host) Ready() string {
	if h.conf.document() == nil {
		return "it has no configuration: neither the platform's store nor another host answered with one"
	}
	return ""
}

// Verifier implements caller.Routes.
func (h *Host) Verifier(credential, user string) *postgres.Verifier {
	c, ok := h.settings.Credentials[credential]
	if !ok || c.User != user {
		return nil
	}
	return h.verifiers.get(credential, c.Password)
}

// verifierCache keeps the verifierCache of credentials, whose derivation is slow on
// purpose.
type verifierCache struct {
	mu           sync.Mutex
	byCredential map[string]*postgres.Verifier
}

func (v *verifierCache) get(credential, password string) *postgres.Verifier {
	v.mu.Lock()
	defer v.mu.Unlock()
	if got := v.byCredential[credential]; got != nil {
		return got
	}
	got, err := postgres.NewVerifier(password)
	if err != nil {
		return nil
	}
	if v.byCredential == nil {
		v.byCredential = map[string]*postgres.Verifier{}
	}
	v.byCredential[credential] = got
	return got
}
