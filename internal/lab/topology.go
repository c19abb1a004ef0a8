package lab

import (
	"fmt"
	"net/netip"
	"time"

	"pearlatch/core/config"
	"pearlatch/core/freshness"
	"pearlatch/core/membership"

	"pearlatch/internal/host"
	"pearlatch/io/upstream"
)

// Topology describes a site.
type Topology struct {
	// Name names the site.
	Name string
	// Zones lists the availability zones.
	Zones []string
	// ZoneLatency is the one-way latency between availability zones.
	ZoneLatency time.Duration
	// Hosts is how many pearlatch hosts run, spread over the zones.
	Hosts int
	// Groups is how many database groups there are, of Members members each.
	Groups, Members int
	// GroupName starts the name of each group.
	GroupName string
	// Slots, Connections, OpenDelay and Service describe each group.
	Slots, Connections int
	OpenDelay, Service time.Duration
	// ReceiveLag and ApplyLag are the replicas' lags.
	ReceiveLag, ApplyLag time.Duration
	// Timing is the groups' failover timing.
	Timing config.Timing
	// HostListLag is how far the platform's list of hosts is behind.
	HostListLag time.Duration
	// Net is the first three bytes of all addresses, within 127/8.
	Net [3]byte
	// CallerTLS and PeerTLS are the hosts' certificates; empty for none.
	CallerTLS, PeerTLS, OperatorTLS host.TLSFiles
	// Membership is the timing of probes between hosts; zero for the default.
	Membership membership.Timing
	// AllRead makes every host watch the platform.
	AllRead bool
	// Plain leaves out latencies and faults of the network.
	Plain bool
	// Binding is that of reads on all hosts.
	Binding upstream.Binding
	// Unsafe switches safeguards off on all hosts.
	Unsafe upstream.Unsafe
	// Change, if not nil, changes the document before it is published.
	Change func(*config.Document)
}

// Kyrikos is the allergen desk's site.
func Kyrikos() Topology {
	return Topology{
		Name: "kyrikos", Zones: []string{"marousi", "peristeri", "koropi"}, ZoneLatency: time.Millisecond,
		Hosts: 8, Groups: 3, Members: 3, GroupName: "allergen-core", Slots: 3, Connections: 25,
		OpenDelay: 10 * time.Millisecond, Service: 500 * time.Microsecond,
		ReceiveLag: 2 * time.Millisecond, ApplyLag: 5 * time.Millisecond,
		Timing: config.DefaultTiming(), HostListLag: 2 * time.Second, Net: [3]byte{127, 0, 0},
	}
}

// Kestrel is the booking desk's site.
func Kestrel() Topology {
	return Topology{
		Name: "kestrel", Zones: []string{"harbour", "dune-hut", "cliff-store", "town-depot"}, ZoneLatency: 1500 * time.Microsecond,
		Hosts: 8, Groups: 3, Members: 3, GroupName: "lessons-db", Slots: 2, Connections: 30,
		OpenDelay: 30 * time.Millisecond, Service: 500 * time.Microsecond,
		ReceiveLag: 2 * time.Millisecond, ApplyLag: 50 * time.Millisecond,
		Timing: config.DefaultTiming(), HostListLag: 2 * time.Second, Net: [3]byte{127, 0, 0},
	}
}

// Ports and last address bytes that the lab uses.
const (
	platformByte  = 2
	firstHostByte = 11
	firstMember   = 101
	platformPort  = 2379
	memberPort    = 5432
	callerPort    = 6432
	peerPort      = 7432
	operatorPort  = 8432
	membersPerRow = 10
	hostsPerRow   = firstMember - firstHostByte
)

func (t Topology) addr(last byte, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{t.Net[0], t.Net[1], t.Net[2], last}), port)
}

func (t Topology) zone(i int) string { return t.Zones[i%len(t.Zones)] }

func (t Topology) groupName(i int) string { return fmt.Sprintf("%s-%d", t.GroupName, i+1) }

func (t Topology) memberAddr(g, m int) netip.AddrPort {
	return t.addr(byte(firstMember+g*membersPerRow+m), memberPort)
}

// hostAddr returns an address of the i-th host. Beyond the first row of
// addresses the third byte rises.
func (t Topology) hostAddr(i int, port uint16) netip.AddrPort {
	row := i / hostsPerRow
	t.Net[2] += byte(row)
	return t.addr(byte(firstHostByte+i%hostsPerRow), port)
}

// latency returns the one-way latency between two addresses.
func (t Topology) latency(from, to netip.Addr) time.Duration {
	if !t.inSite(from) || !t.inSite(to) || t.zoneOf(from) == t.zoneOf(to) {
		return 0
	}
	return t.ZoneLatency
}

// inSite reports whether the address is a host's or a member's.
func (t Topology) inSite(a netip.Addr) bool { return a.As4()[3] >= firstHostByte }

// zoneOf returns the availability zone of an address, by its last byte.
func (t Topology) zoneOf(a netip.Addr) string {
	last := int(a.As4()[3])
	if last >= firstMember {
		return t.zone((last - firstMember) % membersPerRow)
	}
	return t.zone(last - firstHostByte)
}

// Routes of the lab's document. Each group has one of each.
const (
	// StrictRoute reads the latest.
	StrictRoute = "strict"
	// DeskRoute reads its own writes.
	DeskRoute = "desk"
	// BrowseRoute reads what is at most two seconds old.
	BrowseRoute = "browse"
)

// browseAge is the age that BrowseRoute accepts.
const browseAge = 2 * time.Second

// RouteName returns the name of a route to the i-th group.
func (t Topology) RouteName(kind string, i int) string { return fmt.Sprintf("%s-%d", kind, i+1) }

// Document returns the configuration of the site.
func (t Topology) Document() *config.Document {
	d := &config.Document{}
	for g := range t.Groups {
		group := config.Group{
			Name: t.groupName(g), Slots: t.Slots, Connections: t.Connections,
			Database: "app", Credential: "app", Timing: t.Timing,
		}
		for m := range t.Members {
			group.Members = append(group.Members, config.Member{
				Name: fmt.Sprintf("%s-%c", t.groupName(g), 'a'+m), Addr: t.memberAddr(g, m), Zone: t.zone(m),
			})
		}
		d.Groups = append(d.Groups, group)
		d.Routes = append(d.Routes,
			t.route(StrictRoute, g, freshness.Latest{}, config.High),
			t.route(DeskRoute, g, freshness.OwnWrites{}, config.High),
			t.route(BrowseRoute, g, freshness.MaxAge{Age: browseAge}, config.Low),
		)
	}
	if t.Change != nil {
		t.Change(d)
	}
	return d
}

func (t Topology) route(kind string, g int, class freshness.Class, p config.Priority) config.Route {
	return config.Route{
		Name: t.RouteName(kind, g), Group: t.groupName(g), Credential: "app", Reads: class,
		Deadline: config.DefaultDeadline, Patience: config.DefaultPatience, Priority: p,
		MaxCallers: config.DefaultMaxCallers, IdleInTransaction: config.DefaultIdleInTransaction,
	}
}
