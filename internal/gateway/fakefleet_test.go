package gateway

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pearlatch/core/freshness"
	"pearlatch/core/kv"
	"pearlatch/core/quota/reserve"
	"pearlatch/internal/follow"
	"pearlatch/internal/quotas"
)

// fakeFleet runs hosts that share one site and simulates faults between them.
type fakeFleet struct {
	site *fakeSite
	// zones is the number of availability zones over which the hosts are distributed.
	zones int
	mu    sync.Mutex
	// hosts holds the hosts by their addresses for other hosts, and stops the functions that end them by name.
	hosts map[netip.AddrPort]*Host
	stops map[string]func()
	// unreachable holds the hosts that neither reach nor answer other hosts, storeSilentFor those whose calls the store leaves
	// unanswered, storeRejects those whose calls it rejects at once.
	unreachable, storeSilentFor, storeRejects map[string]bool
	// losesReplies holds the hosts whose streams lose the reply of each request, losesRequests those whose streams lose the
	// request.
	losesReplies, losesRequests map[string]bool
	// holdsReleases holds the hosts whose releases of fences are not sent for now, as of a host that is suspended after it has
	// decided on them.
	holdsReleases map[string]bool
	// severed holds the interrupted connections from hosts to members, as "host member".
	severed     map[string]bool
	forwardedTo map[string]int // number of requests by the host that accepted them
	// leaseRequests is the number of requests for leases and log positions.
	leaseRequests atomic.Int64
	seeds         []netip.AddrPort
	// storeReads counts the lists and watches of the store, by host.
	storeReads map[string]int
}

// newFakeFleet starts n hosts in several availability zones. The configuration gives members the number of connections.
func newFakeFleet(s *fakeSite, zones, n, connections int, class freshness.Class) *fakeFleet {
	f := &fakeFleet{
		site: s, zones: zones, hosts: map[netip.AddrPort]*Host{}, stops: map[string]func(){}, unreachable: map[string]bool{},
		storeSilentFor: map[string]bool{}, storeRejects: map[string]bool{}, losesReplies: map[string]bool{}, losesRequests: map[string]bool{}, holdsReleases: map[string]bool{}, severed: map[string]bool{}, forwardedTo: map[string]int{},
		storeReads: map[string]int{},
	}
	s.put("config", []byte{1, byte(connections)}, 0)
	for i := range n {
		f.start(i, class)
	}
	return f
}

// start starts the i-th host.
func (f *fakeFleet) start(i int, class freshness.Class) {
	name, addr := fmt.Sprintf("h%d", i), addrOf(i)
	settings := Settings{
		Host: name, Zone: fmt.Sprintf("z%d", i%f.zones), MemberDrain: 7 * time.Second, ShutdownGrace: 6 * time.Second, PromotionTokens: true, Peer: addr, Seeds: f.seeds,
	}
	h := NewHost(settings, Ports{
		Dialer: hostDialer{f, name}, Store: hostStore{f.site, f, name}, Promoter: f.site, Peers: &fakePeers{f, name}, Decode: fakeDecoder{class},
		Keys: Keys{Config: "config", MembersPrefix: "members/", OwnPrefix: "own/"},
	}, testLogger(), time.Now)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		h.Run(ctx)
	}()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hosts[addr] = h
	f.stops[name] = func() {
		cancel()
		<-done
	}
}

// addrOf returns the i-th host's address for other hosts.
func addrOf(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 1)
}

// setFault adds a host to one of the fleet's faults or removes it.
func (f *fakeFleet) setFault(fault map[string]bool, host string, on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fault[host] = on
}

// hasFault reports whether the fault affects the host.
func (f *fakeFleet) hasFault(fault map[string]bool, host string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return fault[host]
}

// all returns the fleet's hosts.
func (f *fakeFleet) all() []*Host {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []*Host
	for _, h := range f.hosts {
		out = append(out, h)
	}
	return out
}

// serving returns the hosts that serve the group and those that do not, each according to its own state.
func (f *fakeFleet) serving() (serving, others []*Host) {
	for _, h := range f.all() {
		if h.group(testGroup).shouldForward() {
			others = append(others, h)
		} else {
			serving = append(serving, h)
		}
	}
	return serving, others
}

// withFleet runs a test with the given number of hosts and of connections per member. It waits 4 s first, so that the hosts
// know each other.
func withFleet(t *testing.T, hosts, connections int, class freshness.Class, test func(s *fakeSite, f *fakeFleet)) {
	t.Helper()
	withFleetInZones(t, 3, hosts, connections, class, test)
}

func withFleetInZones(t *testing.T, zones, hosts, connections int, class freshness.Class, test func(s *fakeSite, f *fakeFleet)) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		s := newFakeSite("a", "b", "c")
		s.maxConns = connections
		f := newFakeFleet(s, zones, hosts, connections, class)
		defer time.Sleep(20 * time.Second) // until the timers of promotions and store watches have expired
		defer func() {
			for _, stop := range f.stops {
				stop()
			}
		}()
		time.Sleep(4 * time.Second)
		test(s, f)
	})
}

// hostDialer opens one host's connections to members. It simulates the severed ones.
type hostDialer struct {
	fleet *fakeFleet
	host  string
}

func (d hostDialer) Dial(ctx context.Context, m Member, account string) (Conn, error) {
	severed := func() bool { return d.fleet.hasFault(d.fleet.severed, d.host+" "+m.ID) }
	if severed() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	c, err := d.fleet.site.Dial(ctx, m, account)
	if err != nil {
		return nil, err
	}
	c.(*fakeConn).severed = severed
	c.(*fakeConn).beforeRelease = func() {
		for d.fleet.hasFault(d.fleet.holdsReleases, d.host) {
			time.Sleep(5 * time.Millisecond)
		}
	}
	return c, nil
}

// hostStore is the store as accessed by one host.
type hostStore struct {
	*fakeSite
	fleet *fakeFleet
	host  string
}

// reach returns an error if the store rejects the host, or blocks until ctx ends and then does if the store does not answer
// it.
func (s hostStore) reach(ctx context.Context) error {
	if s.fleet.hasFault(s.fleet.storeRejects, s.host) {
		return errStoreDown
	}
	if s.fleet.hasFault(s.fleet.storeSilentFor, s.host) {
		<-ctx.Done()
		return errStoreDown
	}
	return nil
}

// countRead counts a list or a watch.
func (s hostStore) countRead() {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	s.fleet.storeReads[s.host]++
}

func (s hostStore) List(ctx context.Context, r kv.Range) (kv.Page, error) {
	s.countRead()
	if err := s.reach(ctx); err != nil {
		return kv.Page{}, err
	}
	return s.fakeSite.List(ctx, r)
}

func (s hostStore) Watch(ctx context.Context, prefix string, after kv.Revision, wait time.Duration) (kv.Snapshot, error) {
	s.countRead()
	if err := s.reach(ctx); err != nil {
		return kv.Snapshot{}, err
	}
	out, err := s.fakeSite.Watch(ctx, prefix, after, wait)
	if err == nil {
		err = s.reach(ctx) // the fault may have begun during the watch
	}
	return out, err
}

func (s hostStore) Commit(ctx context.Context, t kv.Transaction) (kv.Revision, error) {
	if err := s.reach(ctx); err != nil {
		return 0, err
	}
	return s.fakeSite.Commit(ctx, t)
}

func (s hostStore) Grant(ctx context.Context, ttl time.Duration) (int64, error) {
	if err := s.reach(ctx); err != nil {
		return 0, err
	}
	return s.fakeSite.Grant(ctx, ttl)
}

func (s hostStore) Renew(ctx context.Context, lease int64) (kv.Epoch, error) {
	if err := s.reach(ctx); err != nil {
		return 0, err
	}
	return s.fakeSite.Renew(ctx, lease)
}

// fakePeers delivers one host's requests to other hosts.
type fakePeers struct {
	fleet *fakeFleet
	host  string
}

// reach returns the host at the address. It blocks until ctx ends and returns an error if either host is unreachable.
func (p *fakePeers) reach(ctx context.Context, to netip.AddrPort) (*Host, error) {
	p.fleet.mu.Lock()
	h := p.fleet.hosts[to]
	p.fleet.mu.Unlock()
	if h == nil || p.fleet.hasFault(p.fleet.unreachable, p.host) || p.fleet.hasFault(p.fleet.unreachable, h.settings.Host) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	time.Sleep(time.Millisecond)
	return h, nil
}

func (p *fakePeers) OpenStream(ctx context.Context, to netip.AddrPort) (Stream, error) {
	h, err := p.reach(ctx, to)
	if err != nil {
		return nil, err
	}
	return &fakeStream{peers: p, to: to, session: h.NewForwardedSession()}, nil
}

func (p *fakePeers) QueryOutcome(ctx context.Context, to netip.AddrPort, from string, serial uint64) (RequestOutcome, error) {
	h, err := p.reach(ctx, to)
	if err != nil {
		return nil, err
	}
	return h.OutcomeOf(from, serial), nil
}

func (p *fakePeers) Probe(ctx context.Context, to netip.AddrPort, groupName, memberID string) (Status, error) {
	h, err := p.reach(ctx, to)
	if err != nil {
		return Status{}, err
	}
	return h.ProbeForPeer(groupName, memberID)
}

func (p *fakePeers) RequestLease(ctx context.Context, to netip.AddrPort, r LeaseRequest) (LeaseReply, error) {
	h, err := p.reach(ctx, to)
	if err != nil {
		return LeaseReply{}, err
	}
	p.fleet.leaseRequests.Add(1)
	return h.GrantLease(r), nil
}

func (p *fakePeers) RevokeLease(ctx context.Context, to netip.AddrPort, r Revocation) error {
	h, err := p.reach(ctx, to)
	if err != nil {
		return err
	}
	h.RevokeLease(r)
	return nil
}

func (p *fakePeers) RequestQuota(ctx context.Context, to netip.AddrPort, r quotas.Request) (quotas.Response, error) {
	h, err := p.reach(ctx, to)
	if err != nil {
		return quotas.Response{}, err
	}
	return h.Quotas().HandleRequest(r), nil
}

func (p *fakePeers) RequestReserve(ctx context.Context, to netip.AddrPort, r quotas.ReserveRequest) (reserve.Reply, error) {
	h, err := p.reach(ctx, to)
	if err != nil {
		return reserve.Reply{}, err
	}
	return h.Quotas().HandleReserveRequest(r), nil
}

func (p *fakePeers) TellQuota(ctx context.Context, to netip.AddrPort, r quotas.ReportRequest) (quotas.ReportResponse, error) {
	h, err := p.reach(ctx, to)
	if err != nil {
		return quotas.ReportResponse{}, err
	}
	return h.Quotas().HandleReportRequest(r), nil
}

// fakeStream delivers the requests of one session to another host.
type fakeStream struct {
	peers   *fakePeers
	to      netip.AddrPort
	session *ForwardedSession
}

func (s *fakeStream) Do(ctx context.Context, r *PeerRequest) (*PeerReply, error) {
	h, err := s.peers.reach(ctx, s.to)
	if err != nil {
		return nil, err
	}
	name, f := h.settings.Host, s.peers.fleet
	if f.hasFault(f.losesRequests, name) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	replies := make(chan *PeerReply, 1)
	copied := *r
	if declined := s.session.Accept(&copied); declined != nil {
		return declined, nil
	}
	go func() { replies <- s.session.Run(context.Background(), &copied) }()
	f.mu.Lock()
	f.forwardedTo[name]++
	f.mu.Unlock()
	if f.hasFault(f.losesReplies, name) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	select {
	case reply := <-replies:
		if f.hasFault(f.unreachable, name) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		return reply, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (s *fakeStream) Close() { s.session.Close() }

func (s *fakeStream) ReplaceIfSilent(time.Duration) {}

func (p *fakePeers) Feed(ctx context.Context, to netip.AddrPort, r follow.FeedRequest) (follow.Feed, error) {
	h, err := p.reach(ctx, to)
	if err != nil {
		return nil, err
	}
	run, cancel := context.WithCancel(context.Background())
	f := &fakeFeed{news: make(chan follow.StoreUpdate), done: make(chan error, 1), cancel: cancel}
	go func() {
		f.done <- h.Feed(run, r, func(n follow.StoreUpdate) error {
			if _, err := p.reach(run, to); err != nil {
				return err
			}
			select {
			case f.news <- n:
				return nil
			case <-run.Done():
				return run.Err()
			}
		})
	}()
	return f, nil
}

// fakeFeed receives the updates that another host sends.
type fakeFeed struct {
	news   chan follow.StoreUpdate
	done   chan error
	cancel func()
}

func (f *fakeFeed) Next(timeout time.Duration) (follow.StoreUpdate, error) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case n := <-f.news:
		return n, nil
	case err := <-f.done:
		return follow.StoreUpdate{}, err
	case <-timer.C:
		return follow.StoreUpdate{}, context.DeadlineExceeded
	}
}

func (f *fakeFeed) Close() { f.cancel() }

// wantNoForwardedWork checks that no host has an open request or transaction of another host.
func (f *fakeFleet) wantNoForwardedWork(t *testing.T) {
	t.Helper()
	for _, h := range f.all() {
		if h.ForwardedCount() != 0 {
			t.Errorf("%s has %d forwarded requests or transactions", h.settings.Host, h.ForwardedCount())
		}
	}
}

// coordinatorOf returns the host's coordinator of a group, or nil.
func (h *Host) coordinatorOf(group string) *coordinator {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.coordinators[group]
}
