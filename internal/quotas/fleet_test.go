package quotas

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"

	"pearlatch/core/account"
	"pearlatch/core/quota"
	"pearlatch/core/quota/reserve"
)

var (
	errRefused = errors.New("connection refused")
	errSilent  = errors.New("no response")
)

// testFleet is a fleet of Enforcers that exchange messages with a delay. It runs in a synctest bubble.
type testFleet struct {
	t     *testing.T
	hosts []*testHost

	// mu guards the fields below and those of the hosts.
	mu      sync.Mutex
	granter string
	token   int64
	// reserveRequests counts the requests to reserve holders.
	reserveRequests int
	// storeUp is true if the store records grantees. recorded holds the recorded reserve holders. With nil any host may be one.
	storeUp  bool
	recorded []string
}

// testHost is a host of a testFleet, and its quotas.Fleet.
type testHost struct {
	*testFleet
	id       string
	process  int
	enforcer *Enforcer
	cancel   context.CancelFunc
	// silent is true if the host answers nobody, and lostAt is when that began. refusing is true if connections to it are refused.
	silent, refusing bool
	lostAt           time.Time
}

const testDelay = 3 * time.Millisecond

func newTestFleet(t *testing.T, n int, accounts *account.Directory) *testFleet {
	f := &testFleet{t: t}
	for i := range n {
		h := &testHost{testFleet: f, id: fmt.Sprintf("h%02d", i)}
		f.hosts = append(f.hosts, h)
		h.start(accounts)
	}
	return f
}

// start starts a new process of the host.
func (h *testHost) start(accounts *account.Directory) {
	var ctx context.Context
	ctx, h.cancel = context.WithCancel(h.t.Context())
	h.process++
	s := Settings{Host: h.id, Process: fmt.Sprint(h.id, ".", h.process), Tolerance: quota.Tolerance{Window: 5 * time.Second, Share: 0.1, Operations: 20}}
	e := New(s, h, log.NewNopLogger(), time.Now)
	e.Configure(accounts, []string{"s"})
	go e.Run(ctx)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.enforcer, h.silent, h.refusing = e, false, false
}

// stop ends all processes and waits for the messages in transit.
func (f *testFleet) stop() {
	for _, h := range f.hosts {
		h.cancel()
	}
	time.Sleep(time.Second)
}

// startGranting makes a host the granter. All hosts may hold portions, and all former granters are known.
func (f *testFleet) startGranting(i int, formerGranters ...string) {
	var ids []string
	for _, h := range f.hosts {
		ids = append(ids, h.id)
	}
	f.mu.Lock()
	f.token++
	f.granter = f.hosts[i].id
	token, e, recorded := f.token, f.hosts[i].enforcer, f.recorded
	f.mu.Unlock()
	e.StartGranting("s", token, time.Now(), ids, recorded, formerGranters)
}

// holdingsKnown reports whether the granter of the shard knows what all hosts hold.
func (f *testFleet) holdingsKnown(s *shard) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Granter().HoldingsKnown(time.Now())
}

// renewRole renews the granter's role, unless its host is lost.
func (f *testFleet) renewRole() {
	f.mu.Lock()
	granter := f.granter
	f.mu.Unlock()
	for _, h := range f.hosts {
		if e := h.running(); h.id == granter && e != nil {
			e.ExtendGranting("s", time.Now())
		}
	}
}

// lose makes the host answer nobody, or refuse connections.
func (h *testHost) lose(refusing bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.silent, h.refusing, h.lostAt = !refusing, refusing, time.Now()
}

// running returns the host's Enforcer, or nil if the host is lost.
func (h *testHost) running() *Enforcer {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.silent || h.refusing {
		return nil
	}
	return h.enforcer
}

// countReserveRequests returns the number of requests to reserve holders so far.
func (f *testFleet) countReserveRequests() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reserveRequests
}

// Granter implements Fleet.
func (h *testHost) Granter(string) (string, int64, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.granter, h.token, h.token > 0
}

func (h *testHost) IsProcessEnded(err error) bool { return errors.Is(err, errRefused) }
func (h *testHost) IsCandidate(string) bool       { return true }
func (h *testHost) ReserveCandidates(string) (ids []string) {
	for _, o := range h.hosts[:reserve.MaxHolders+1] {
		ids = append(ids, o.id)
	}
	return ids
}

// IsSuspect implements Fleet. Statements that were forwarded to a lost host fail within a second.
func (h *testHost) IsSuspect(id string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, o := range h.hosts {
		if o.id == id && !o.lostAt.IsZero() {
			return time.Since(o.lostAt) > time.Second
		}
	}
	return false
}

// Version implements Fleet.
func (h *testHost) Version() (n uint64) {
	for _, o := range h.hosts {
		if h.IsSuspect(o.id) {
			n++
		}
	}
	return n
}

func (h *testHost) RecordGrantee(_ context.Context, _, host string, reserveHolders []string) ([]string, error) {
	time.Sleep(testDelay)
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.storeUp {
		return nil, errors.New("the store is silent")
	}
	if reserveHolders != nil {
		h.recorded = reserveHolders
	}
	return []string{host}, nil
}

func (h *testHost) Peer(id string) (Peers, netip.AddrPort, error) {
	for i, o := range h.hosts {
		if o.id == id {
			return h, netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(i)), nil
		}
	}
	return nil, netip.AddrPort{}, errSilent
}

// deliver delivers a message and returns the receiver.
func (h *testHost) deliver(ctx context.Context, to netip.AddrPort) (*Enforcer, error) {
	o := h.hosts[to.Port()]
	time.Sleep(testDelay)
	o.mu.Lock()
	e, refused, silent := o.enforcer, o.refusing, o.silent || h.silent
	o.mu.Unlock()
	switch {
	case refused:
		return nil, errRefused
	case silent:
		<-ctx.Done()
		return nil, errSilent
	}
	return e, nil
}

func (h *testHost) RequestQuota(ctx context.Context, to netip.AddrPort, r Request) (Response, error) {
	o, err := h.deliver(ctx, to)
	if err != nil {
		return Response{}, err
	}
	return o.HandleRequest(r), nil
}

func (h *testHost) TellQuota(ctx context.Context, to netip.AddrPort, r ReportRequest) (ReportResponse, error) {
	o, err := h.deliver(ctx, to)
	if err != nil {
		return ReportResponse{}, err
	}
	return o.HandleReportRequest(r), nil
}

func (h *testHost) RequestReserve(ctx context.Context, to netip.AddrPort, r ReserveRequest) (reserve.Reply, error) {
	h.mu.Lock()
	h.reserveRequests++
	h.mu.Unlock()
	o, err := h.deliver(ctx, to)
	if err != nil {
		return reserve.Reply{}, err
	}
	return o.HandleReserveRequest(r), nil
}
