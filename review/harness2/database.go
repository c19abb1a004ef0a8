//go:build review

package harness

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"pearlatch/core/freshness"
	"pearlatch/core/group"
	"pearlatch/internal/gateway"
	"pearlatch/internal/site"
	"pearlatch/platform"
)

// Names of the group and of its database.
const (
	GroupName = "allergen-core"
	Database  = "recipes"
)

// Run is a caller's statement that a member received.
type Run struct {
	Member, ID, Text string
	Received, Ended  time.Time
	Committed        bool
}

// DB is a group of a primary and two replicas that never changes its primary, with the platform's store and promotion
// service. A replica has each commit at once.
type DB struct {
	Store *site.Store
	// Work is how long a statement takes.
	Work                       time.Duration
	StoreAddr, PromotionAddr   netip.AddrPort
	record                     *Record
	mu                         sync.Mutex
	lsn                        uint64
	runs                       []*Run
	slots                      chan struct{}
	committed                  map[string]bool
	memberEntries              []gateway.Member
	heartbeatsDone, stopSignal chan struct{}
}

// StartDB starts the group and the services.
func StartDB(r *Record, work time.Duration) *DB {
	d := &DB{Store: site.NewStore(), Work: work, record: r, lsn: 1, slots: make(chan struct{}, 3), committed: map[string]bool{}, stopSignal: make(chan struct{})}
	d.StoreAddr = serve(platform.StoreHandler(func(r *http.Request) gateway.Store {
		from, _ := netip.ParseAddrPort(r.RemoteAddr)
		return d.Store.For(from.Addr())
	}))
	d.PromotionAddr = serve(platform.PromotionHandler(promoter{}))
	for i := range 3 {
		lis, addr := Listen()
		m := &member{db: d, id: fmt.Sprintf("i-%d", i+1), leads: i == 0}
		go accept(lis, m)
		d.memberEntries = append(d.memberEntries, gateway.Member{
			ID: m.id, Group: GroupName, Addr: addr, Zone: fmt.Sprint("zone-", i), Slots: 3, IsPrimary: m.leads,
			Incarnation: time.Now().UnixMilli(), Sequence: 1,
		})
	}
	d.heartbeat()
	go func() {
		for {
			select {
			case <-d.stopSignal:
				return
			case <-time.After(1200 * time.Millisecond):
				d.heartbeat()
			}
		}
	}()
	d.Store.Write(platform.Keys.Config, platform.EncodeConfig(gateway.Config{
		Version: 1, TransactionIdleTimeout: 3 * time.Second,
		Groups: map[string]gateway.GroupConfig{GroupName: {Connections: 23, SyncReplicas: 1}},
		Routes: map[string]gateway.Route{Database: {
			Name: "recipe-save", Group: GroupName, Class: freshness.Latest{}, Timeout: 800 * time.Millisecond,
			LatencyTarget: 150 * time.Millisecond, Priority: 1,
		}},
	}, nil))
	return d
}

// Stop ends the heartbeats.
func (d *DB) Stop() { close(d.stopSignal) }

func (d *DB) heartbeat() {
	for i := range d.memberEntries {
		d.memberEntries[i].Sequence++
		d.Store.Write(platform.EncodeMember(d.memberEntries[i]))
	}
}

// Runs returns the statements that members received, by their IDs.
func (d *DB) Runs() map[string]Run {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := map[string]Run{}
	for _, r := range d.runs {
		out[r.ID] = *r
	}
	return out
}

// Settings returns the settings of a host in a small deployment.
func (d *DB) Settings(name, zone string, callers, ready, peers netip.AddrPort, seeds []netip.AddrPort) string {
	quoted := make([]string, len(seeds))
	for i, s := range seeds {
		quoted[i] = fmt.Sprintf("%q", s.String())
	}
	return fmt.Sprintf(`host: %q
availability_zone: %q
callers: %q
ready: %q
peers: %q
seeds: [%s]
metrics: %q
store: %q
promotions: %q
member_drain: 7000ms
grace: 6s
processor_share: 0.4
processor_cores: 1
lease_floor: 1000ms
promotion_tokens: true
`, name, zone, callers, ready, peers, strings.Join(quoted, ", "), FreeAddr(), d.StoreAddr, d.PromotionAddr)
}

// StartHosts starts n hosts and waits until they are ready.
func (d *DB) StartHosts(folder string, n int) ([]*Host, bool) {
	var callers, ready, peers []netip.AddrPort
	for range n {
		callers, ready, peers = append(callers, FreeAddr()), append(ready, FreeAddr()), append(peers, FreeAddr())
	}
	var out []*Host
	for i := range n {
		name := fmt.Sprint("frontend-", i+1)
		h, err := StartHost(folder, name, d.Settings(name, fmt.Sprint("zone-", i%3), callers[i], ready[i], peers[i], peers[:min(3, n)]), callers[i], ready[i])
		if err != nil {
			d.record.Logf("host %d does not start: %v", i+1, err)
			return out, false
		}
		out = append(out, h)
	}
	for _, h := range out {
		if !h.AwaitReady(20 * time.Second) {
			d.record.Logf("%s is not ready", h.Name)
			return out, false
		}
	}
	return out, true
}

func serve(h http.Handler) netip.AddrPort {
	lis, addr := Listen()
	server := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = server.Serve(lis) }()
	return addr
}

func accept(lis net.Listener, m *member) {
	for {
		nc, err := lis.Accept()
		if err != nil {
			return
		}
		go platform.ServeMember(nc, m)
	}
}

// promoter refuses what would change the primary: no other member is needed in these scripts.
type promoter struct{}

func (promoter) Promote(context.Context, string, int64, string, string) error {
	return gateway.ErrPromotionRefused
}
func (promoter) RaiseToken(context.Context, string, int64, string) error {
	return gateway.ErrPromotionRefused
}

type member struct {
	db    *DB
	id    string
	leads bool
}

// Start implements platform.MemberServer.
func (m *member) Start(groupName, id string) (platform.MemberSession, *gateway.Failure) {
	if groupName != GroupName || id != m.id {
		return nil, &gateway.Failure{Code: gateway.Misrouted, Detail: m.id}
	}
	time.Sleep(12 * time.Millisecond)
	return &session{member: m, values: map[string]string{}, shapes: map[string]gateway.PreparedStatement{}}, nil
}

type session struct {
	member *member
	state  gateway.State
	writes []string
	values map[string]string
	shapes map[string]gateway.PreparedStatement
}

// Close implements platform.MemberSession.
func (s *session) Close() {}

// Control implements platform.MemberSession.
func (s *session) Control(gateway.ControlCommand) (gateway.Status, *gateway.Failure, error) {
	s.member.db.mu.Lock()
	defer s.member.db.mu.Unlock()
	return gateway.Status{IsPrimary: s.member.leads, Received: group.Position{Term: 1, LSN: group.LSN(s.member.db.lsn)}, Term: 1}, nil, nil
}

// Do implements platform.MemberSession.
func (s *session) Do(c gateway.Command) (gateway.Reply, error) {
	var reply gateway.Reply
	switch c := c.(type) {
	case gateway.RunStatement:
		reply = s.run(c)
	case gateway.OpenTransaction:
		if !s.member.leads && !c.ReadOnly {
			reply.Failure = &gateway.Failure{Code: gateway.NotPrimary, Detail: s.member.id}
			break
		}
		s.state, s.writes = gateway.InTransaction, nil
	case gateway.Abort:
		s.state, s.writes = gateway.Idle, nil
	case gateway.Assign:
		s.values[c.Name] = c.Value
	case gateway.Define:
		s.shapes[c.Name] = c.Prepared
	case gateway.Reset:
		clear(s.values)
		clear(s.shapes)
	}
	d := s.member.db
	d.mu.Lock()
	defer d.mu.Unlock()
	reply.State, reply.Position = s.state, group.Position{Term: 1, LSN: group.LSN(d.lsn)}
	return reply, nil
}

// run runs a caller's statement.
func (s *session) run(c gateway.RunStatement) gateway.Reply {
	d := s.member.db
	r := &Run{Member: s.member.id, ID: c.Request.ID, Text: c.Request.Text, Received: time.Now()}
	d.mu.Lock()
	d.runs = append(d.runs, r)
	d.mu.Unlock()
	d.record.Logf("member %s received id %q text %q", r.Member, r.ID, r.Text)
	d.slots <- struct{}{}
	time.Sleep(d.Work)
	<-d.slots
	d.mu.Lock()
	defer d.mu.Unlock()
	r.Ended = time.Now()
	_, writes := c.Request.Statement.(gateway.Write)
	_, ends := c.Request.Statement.(gateway.Commit)
	switch {
	case writes && !s.member.leads:
		return gateway.Reply{Failure: &gateway.Failure{Code: gateway.NotPrimary, Detail: s.member.id}}
	case writes && s.state == gateway.InTransaction:
		s.writes = append(s.writes, r.ID)
	case writes:
		s.writes = []string{r.ID}
		ends = true
	}
	if ends {
		if len(s.writes) > 0 {
			d.lsn++
			r.Committed = true
			d.record.Logf("member %s committed %v with id %q at 1.%d", s.member.id, s.writes, r.ID, d.lsn)
		}
		s.state, s.writes = gateway.Idle, nil
	}
	return gateway.Reply{Rows: []string{"row of " + r.ID}, Signature: "signed-" + r.ID, Position: group.Position{Term: 1, LSN: group.LSN(d.lsn)}}
}
