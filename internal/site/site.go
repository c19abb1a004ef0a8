package site

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"pearlatch/internal/gateway"
	"pearlatch/internal/pause"
	"pearlatch/platform"
	"pearlatch/platform/platformtest"
)

// Options describe a site. DefaultOptions is a start.
type Options struct {
	// Network is the second number of the site's loopback addresses, 127.Network.x.y, so that
	// several sites may run side by side. Zero takes one that is free.
	Network byte
	// Hosts, Zones and Groups are how many there are; each group has three members.
	Hosts, Zones, Groups int
	// Slots is how many statements a member runs at once, Queue how many wait, and Connections
	// how many connections it takes.
	Slots, Queue, Connections int
	// Work is how long a statement takes, and OpenTime a new connection.
	Work, OpenTime time.Duration
	// PromoteTime is how long a promotion takes, and Rejoin how long a replaced primary leads on once
	// it reaches the next one.
	PromoteTime, Rejoin time.Duration
	// EntryLapse is how long the entry of a member stays that is silent, and Replace how long it
	// takes until another instance takes the place of one that left.
	EntryLapse, Replace time.Duration
	// ChecksTokens is true if promotions with an older fencing token are refused.
	ChecksTokens bool
	// RepeatedAnswers is the share of their answers that all members send again later, at any time.
	RepeatedAnswers float64
}

// DefaultOptions returns a small site: six hosts in three zones before two groups.
func DefaultOptions() Options {
	return Options{
		Hosts: 6, Zones: 3, Groups: 2, Slots: 3, Queue: 24, Connections: 30,
		Work: 2 * time.Millisecond, OpenTime: 5 * time.Millisecond, PromoteTime: 200 * time.Millisecond,
		Rejoin: time.Second, EntryLapse: 1500 * time.Millisecond, Replace: 300 * time.Millisecond, ChecksTokens: true,
	}
}

// membersPerGroup is how many members a group has: a primary and two replicas.
const membersPerGroup = 3

// Ports and third numbers of the site's addresses. What processes reach lies behind proxies; what stands
// behind these has addresses of its own.
const (
	callersPort, readyPort, peersPort, metricsPort = 7001, 7002, 7003, 7004
	storePort, promotePort, memberPort             = 7100, 7101, 7200

	hostsNet, servicesNet, advertisedNet = 0, 1, 2
	membersNet, memberProxiesNet         = 10, 100
)

// Site is a running model of the platform. Use Start.
type Site struct {
	options Options
	store   *Store
	groups  []*Group
	history *History
	// storeProxy, promoteProxy and peerProxies stand before the services and the hosts.
	storeProxy, promoteProxy *Proxy
	peerProxies              []*Proxy
	listeners                []net.Listener
	servers                  []*http.Server
	instances                atomic.Int64
	version                  atomic.Int64
	// config is the newest configuration as the operator wrote it.
	config  atomic.Pointer[[]byte]
	stop    context.CancelFunc
	stopped chan struct{}
}

// Start starts a site without hosts.
func Start(o Options) (*Site, error) {
	if o.Network != 0 {
		return start(o)
	}
	var err error
	for _, n := range rand.Perm(lastNetwork) {
		var s *Site
		o.Network = byte(n + 1)
		if s, err = start(o); err == nil || !errors.Is(err, syscall.EADDRINUSE) {
			return s, err
		}
	}
	return nil, errors.Wrap(err, "no network of loopback addresses is free")
}

// lastNetwork is the highest network that is tried.
const lastNetwork = 250

// start starts a site on its network.
func start(o Options) (*Site, error) {
	s := &Site{options: o, store: NewStore(), history: NewHistory(), stopped: make(chan struct{})}
	ctx, cancel := context.WithCancel(context.Background())
	s.stop = cancel
	if err := s.startServices(); err != nil {
		s.Close()
		return nil, err
	}
	for g := range o.Groups {
		if err := s.startGroup(g); err != nil {
			s.Close()
			return nil, err
		}
	}
	for i := range o.Hosts {
		p, err := NewProxy(s.at(advertisedNet, i+1, peersPort), s.at(hostsNet, i+1, peersPort))
		if err != nil {
			s.Close()
			return nil, err
		}
		s.peerProxies = append(s.peerProxies, p)
	}
	go s.run(ctx)
	return s, nil
}

func (s *Site) at(third, fourth, port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, s.options.Network, byte(third), byte(fourth)}), uint16(port))
}

// startServices starts the store and what takes promotions.
func (s *Site) startServices() (err error) {
	storeFor := func(r *http.Request) gateway.Store {
		from, _ := netip.ParseAddrPort(r.RemoteAddr)
		return s.store.For(from.Addr())
	}
	if s.storeProxy, err = s.serve(1, storePort, platform.StoreHandler(storeFor)); err != nil {
		return err
	}
	s.promoteProxy, err = s.serve(3, promotePort, platform.PromotionHandler(s))
	return err
}

// serve starts an HTTP service behind a proxy.
func (s *Site) serve(fourth, port int, h http.Handler) (*Proxy, error) {
	addr := s.at(servicesNet, fourth, port)
	lis, err := net.Listen("tcp", addr.String())
	if err != nil {
		return nil, errors.Wrap(err, "service")
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Second}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(lis) }()
	return NewProxy(s.at(servicesNet, fourth+1, port), addr)
}

func (s *Site) startGroup(n int) error {
	g := &Group{name: fmt.Sprint("labels-", n), site: s}
	s.groups = append(s.groups, g)
	for i := range membersPerGroup {
		m := &Member{
			group: g, zone: s.zone(n + i), id: s.newInstance(), born: time.Now().UnixMilli(), term: 1, leads: i == 0,
			work: 1, sessions: map[*session]bool{}, lag: time.Millisecond,
		}
		addr := s.at(membersNet+n, i+1, memberPort)
		lis, err := net.Listen("tcp", addr.String())
		if err != nil {
			return errors.Wrapf(err, "member of group %s", g.name)
		}
		s.listeners = append(s.listeners, lis)
		if m.proxy, err = NewProxy(s.at(memberProxiesNet+n, i+1, memberPort), addr); err != nil {
			return err
		}
		m.addr = m.proxy.Addr()
		g.members = append(g.members, m)
		go acceptFor(lis, m)
	}
	return nil
}

func acceptFor(lis net.Listener, m *Member) {
	server := &platformtest.Server{Member: m, Deliver: m.deliver, Malformed: m.reportMalformed}
	for {
		nc, err := lis.Accept()
		if err != nil {
			return
		}
		go server.Serve(nc)
	}
}

func (s *Site) newInstance() string { return fmt.Sprintf("i-%03x", s.instances.Add(1)) }

func (s *Site) zone(i int) string { return fmt.Sprint("zone-", i%s.options.Zones) }

var _ gateway.Promoter = (*Site)(nil)

// RaiseToken implements gateway.Promoter. Hosts raise a token by naming a member that does not run.
func (s *Site) RaiseToken(ctx context.Context, holder string, token int64, groupName string) error {
	return s.Promote(ctx, holder, token, groupName, "")
}

// Promote implements gateway.Promoter.
func (s *Site) Promote(ctx context.Context, _ string, token int64, groupName, memberID string) error {
	for _, g := range s.groups {
		if g.name == groupName {
			return g.promote(ctx, token, memberID)
		}
	}
	return gateway.ErrPromotionRefused
}

// stepTime is the pause between two steps of the model.
const stepTime = 10 * time.Millisecond

// run lets members hear of each other and tell the store of themselves.
func (s *Site) run(ctx context.Context) {
	defer close(s.stopped)
	for pause.For(ctx, stepTime) {
		for _, g := range s.groups {
			g.reunite()
			for _, m := range g.members {
				var key string
				var value []byte
				m.change(func() { key, value = m.entry(time.Now()) })
				s.store.Write(key, value)
			}
		}
	}
}

// forget removes a key once the store answers.
func (s *Site) forget(key string) {
	go func() {
		for !s.store.Write(key, nil) {
			time.Sleep(stepTime)
		}
	}()
}

// Options returns what the site was started with.
func (s *Site) Options() Options { return s.options }

// Store returns the site's store.
func (s *Site) Store() *Store { return s.store }

// Groups returns the site's groups.
func (s *Site) Groups() []*Group { return s.groups }

// History returns what callers asked, and which promises were broken.
func (s *Site) History() *History { return s.history }

// Configure makes a configuration the newest one. It returns the version, or false while the store does
// not answer.
func (s *Site) Configure(c gateway.Config) (version int64, ok bool) {
	c.Version = s.version.Add(1)
	value := platform.EncodeConfig(c, nil)
	if !s.store.Write(platform.Keys.Config, value) {
		return c.Version, false
	}
	s.config.Store(&value)
	return c.Version, true
}

// Restore brings the store back from a copy. Members write their entries again at once, and the operator the
// configuration after a while.
func (s *Site) Restore(b *Backup, operator time.Duration) {
	s.store.Restore(b)
	time.AfterFunc(operator, func() {
		for value := s.config.Load(); value != nil && !s.store.Write(platform.Keys.Config, *value); value = s.config.Load() {
			time.Sleep(stepTime)
		}
	})
}

// Host returns a host's address.
func (s *Site) Host(i int) netip.Addr { return s.at(hostsNet, i+1, callersPort).Addr() }

// Callers returns where a host takes callers, and Ready where it says whether it does.
func (s *Site) Callers(i int) netip.AddrPort { return s.at(hostsNet, i+1, callersPort) }

// Ready returns where a host says whether it takes callers.
func (s *Site) Ready(i int) netip.AddrPort { return s.at(hostsNet, i+1, readyPort) }

// ShutdownGrace is how long hosts may take to stop.
const ShutdownGrace = 4 * time.Second

// Settings returns the settings of a host.
func (s *Site) Settings(i int) string {
	seeds := fmt.Sprintf("[%q, %q]", s.peerProxies[0].Addr(), s.peerProxies[min(1, len(s.peerProxies)-1)].Addr())
	return fmt.Sprintf(`host: "host-%d"
availability_zone: %q
callers: %q
ready: %q
peers: %q
peers_advertised: %q
seeds: %s
metrics: %q
store: %q
promotions: %q
member_drain: 7s
grace: %s
lease_floor: 1s
promotion_tokens: %v
`, i, s.zone(i), s.Callers(i), s.Ready(i), s.at(hostsNet, i+1, peersPort), s.peerProxies[i].Addr(), seeds,
		s.at(hostsNet, i+1, metricsPort), s.storeProxy.Addr(), s.promoteProxy.Addr(), ShutdownGrace, s.options.ChecksTokens)
}

// Proxies returns what a host reaches: the store, the promotions, the members and the other hosts.
func (s *Site) Proxies() []*Proxy {
	out := append([]*Proxy{s.storeProxy, s.promoteProxy}, s.peerProxies...)
	for _, g := range s.groups {
		for _, m := range g.members {
			out = append(out, m.proxy)
		}
	}
	return out
}

// Close ends the site.
func (s *Site) Close() {
	s.stop()
	for _, p := range s.Proxies() {
		if p != nil {
			p.Close()
		}
	}
	for _, server := range s.servers {
		_ = server.Close()
	}
	for _, lis := range s.listeners {
		_ = lis.Close()
	}
}
