package peer

import (
	"context"
	"io"
	"net"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/pkg/errors"

	"pearlatch/core/freshness"
	"pearlatch/core/group"
	"pearlatch/core/kv"
	"pearlatch/internal/gateway"
)

const (
	stubGroup    = "lessons"
	stubDatabase = "booking"
	stubPrimary  = "a"
	// eventTimeout bounds the wait for an expected event. No test measures it.
	eventTimeout = 10 * time.Second
)

// stubBackend is a store, a promotion service and two members. The member stubPrimary is the primary.
type stubBackend struct {
	mu       sync.Mutex
	revision kv.Revision
	changed  chan struct{}
	conns    int
	// hold, if not nil, blocks each statement until it is closed.
	hold chan struct{}
	// held counts the statements that have begun to wait for hold.
	held atomic.Int64
}

func (s *stubBackend) List(context.Context, kv.Range) (kv.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return kv.Page{Snapshot: kv.Snapshot{Revision: s.revision, Items: []kv.Item{
		{Key: "config", Value: []byte("c"), Revision: s.revision}, {Key: "members/a", Value: []byte("m"), Revision: 1}, {Key: "members/b", Value: []byte("m"), Revision: 1},
	}}}, nil
}

func (s *stubBackend) Watch(ctx context.Context, _ string, after kv.Revision, wait time.Duration) (kv.Snapshot, error) {
	s.mu.Lock()
	changed := s.changed
	s.mu.Unlock()
	select {
	case <-changed:
	case <-time.After(wait):
	case <-ctx.Done():
		return kv.Snapshot{}, ctx.Err()
	}
	out, err := s.List(ctx, kv.Range{})
	if out.Revision == after {
		out.Items = nil
	}
	return out.Snapshot, err
}

// change writes the next revision of the configuration.
func (s *stubBackend) change() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *stubBackend) Commit(context.Context, kv.Transaction) (kv.Revision, error) {
	return 1, nil
}
func (s *stubBackend) Grant(context.Context, time.Duration) (int64, error) { return 1, nil }
func (s *stubBackend) Renew(context.Context, int64) (kv.Epoch, error)      { return 0, nil }
func (s *stubBackend) End(context.Context, int64) error                    { return nil }

func (s *stubBackend) RaiseToken(context.Context, string, int64, string) error { return nil }

func (s *stubBackend) Promote(context.Context, string, int64, string, string) error { return nil }

func (s *stubBackend) Config([]byte) (*gateway.Config, error) {
	return &gateway.Config{
		Version: 1,
		Routes: map[string]gateway.Route{stubDatabase: {
			Group: stubGroup, Class: freshness.OwnWrites{}, Timeout: 5 * time.Second, LatencyTarget: 5 * time.Second,
		}},
		Groups:                 map[string]gateway.GroupConfig{stubGroup: {Connections: 200, SyncReplicas: 1}},
		TransactionIdleTimeout: time.Minute,
	}, nil
}

func (s *stubBackend) Member(key string, _ []byte) (gateway.Member, error) {
	id := strings.TrimPrefix(key, "members/")
	return gateway.Member{ID: id, Group: stubGroup, Zone: "z", Slots: 100, IsPrimary: id == stubPrimary}, nil
}

func (s *stubBackend) Dial(_ context.Context, m gateway.Member, _ string) (gateway.Conn, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns++
	return &stubConn{backend: s, name: string(rune('A' + s.conns)), isPrimary: m.ID == stubPrimary}, nil
}

// stubConn is a connection to a member. It answers each statement with a row that names the connection and the request.
type stubConn struct {
	backend *stubBackend
	name    string
	// isPrimary is true if the member is the primary. open is true while a transaction is open.
	isPrimary, open bool
}

func (c *stubConn) Do(_ time.Duration, commands ...gateway.Command) ([]gateway.Reply, error) {
	var out []gateway.Reply
	for _, each := range commands {
		out = append(out, c.run(each))
	}
	return out, nil
}

func (c *stubConn) run(command gateway.Command) gateway.Reply {
	r := gateway.Reply{Position: group.Position{Term: 1, LSN: 5}}
	switch command := command.(type) {
	case gateway.OpenTransaction:
		c.open = true
	case gateway.Abort:
		c.open = false
	case gateway.RunStatement:
		c.backend.mu.Lock()
		hold := c.backend.hold
		c.backend.mu.Unlock()
		if hold != nil {
			c.backend.held.Add(1)
			<-hold
		}
		r.Rows, r.Signature = []string{c.name + " " + command.Request.ID}, c.name+" "+command.Request.ID
		if _, ends := command.Request.Statement.(gateway.Commit); ends {
			c.open = false
		}
	}
	if c.open {
		r.State = gateway.InTransaction
	}
	return r
}

func (c *stubConn) Receive() (gateway.Reply, error) {
	return gateway.Reply{}, errors.New("no answer is to come")
}

func (c *stubConn) Control(time.Duration, gateway.ControlCommand) (gateway.Status, error) {
	return gateway.Status{IsPrimary: c.isPrimary, Term: 1, Received: group.Position{Term: 1, LSN: 5}}, nil
}
func (c *stubConn) Alive() bool  { return true }
func (c *stubConn) Close() error { return nil }

// stubHost is a host that answers other hosts on a loopback address.
type stubHost struct {
	*gateway.Host
	addr    netip.AddrPort
	traffic *Traffic
	stop    context.CancelFunc
}

func serveStub(t *testing.T, s *stubBackend) *stubHost {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if s.changed == nil {
		s.changed, s.revision = make(chan struct{}), 2
	}
	h := gateway.NewHost(gateway.Settings{Host: "h", Zone: "z"}, gateway.Ports{
		Dialer: s, Store: s, Promoter: s, Decode: s,
		Keys: gateway.Keys{Config: "config", MembersPrefix: "members/", OwnPrefix: "own/"},
	}, log.NewNopLogger(), time.Now)
	ctx, cancel := context.WithCancel(context.Background())
	out := &stubHost{Host: h, addr: lis.Addr().(*net.TCPAddr).AddrPort(), traffic: &Traffic{}, stop: cancel}
	done := make(chan struct{})
	go func() {
		defer close(done)
		h.Run(ctx)
	}()
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = ServeGateway(ctx, lis, h, out.traffic)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
		<-served
	})
	h.AwaitConfig(eventTimeout)
	eventually(t, "the host is ready", h.Ready)
	return out
}

// eventually waits until the condition holds, and fails the test after eventTimeout.
func eventually(t *testing.T, event string, holds func() bool) {
	t.Helper()
	for until := time.Now().Add(eventTimeout); !holds(); {
		if time.Now().After(until) {
			t.Fatalf("timed out waiting until %s", event)
		}
		time.Sleep(time.Millisecond)
	}
}

// stallableProxy forwards connections to a host. When it is stalled, the open connections stay open but no longer carry data,
// and new ones work.
type stallableProxy struct {
	addr netip.AddrPort
	mu   sync.Mutex
	// silenced is closed to silence the connections that are open, and then replaced.
	silenced chan struct{}
}

func proxyTo(t *testing.T, to netip.AddrPort) *stallableProxy {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = lis.Close() })
	p := &stallableProxy{addr: lis.Addr().(*net.TCPAddr).AddrPort(), silenced: make(chan struct{})}
	go func() {
		for {
			in, err := lis.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", to.String())
			if err != nil {
				_ = in.Close()
				continue
			}
			p.mu.Lock()
			silenced := p.silenced
			p.mu.Unlock()
			go pump(in, out, silenced)
			go pump(out, in, silenced)
		}
	}()
	return p
}

// stall silences the connections that are open.
func (p *stallableProxy) stall() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.silenced)
	p.silenced = make(chan struct{})
}

// pump copies data from one connection to the other, and drops it once silenced is closed.
func pump(to io.WriteCloser, from io.ReadCloser, silenced chan struct{}) {
	b := make([]byte, 4096)
	for {
		n, err := from.Read(b)
		select {
		case <-silenced:
			continue // the data is dropped, and neither side gets an error
		default:
		}
		if err != nil {
			_ = to.Close()
			return
		}
		if _, err := to.Write(b[:n]); err != nil {
			_ = from.Close()
			return
		}
	}
}
