package lab

import (
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"pearlatch/internal/standin"
)

//go:generate go tool stringer -type=FaultKind -linecomment -output=faultkind_string.go

// FaultKind names a fault.
type FaultKind int

// The faults. Those of members take a group and a member, or the primary when
// no member is given; those of hosts take a host.
const (
	// Crash stops a member; its connections are reset.
	Crash FaultKind = iota // crash
	// Rejoin starts a stopped member again, as a replica rebuilt by the platform.
	Rejoin // rejoin
	// Restart starts a stopped member again as it was.
	Restart // restart
	// Partition cuts a member off from everything, silently.
	Partition // partition
	// PartitionIn cuts what is sent to a member, and PartitionOut what it sends.
	PartitionIn  // partition_in
	PartitionOut // partition_out
	// Heal ends the partitions of a member.
	Heal // heal
	// Pause freezes a member, and Resume ends that.
	Pause  // pause
	Resume // resume
	// Lag sets how far a member's reads are behind.
	Lag // lag
	// Slow delays every statement of a member.
	Slow // slow
	// Leave marks a member as leaving in the configuration, and Stay takes that
	// back.
	Leave // leave
	Stay  // stay
	// KillHost ends a host as a crash does, StartHost starts it again, and
	// DrainHost shuts it down gracefully.
	KillHost  // kill_host
	StartHost // start_host
	DrainHost // drain_host
	// IsolateHost cuts a host off from the other hosts and HealHost ends that.
	IsolateHost // isolate_host
	HealHost    // heal_host
	// StoreDown, StoreSlow and StoreLoses are faults of the platform's service,
	// StoreUp ends them, and LapseLeases ends all leases.
	StoreDown   // store_down
	StoreSlow   // store_slow
	StoreLoses  // store_loses
	StoreUp     // store_up
	LapseLeases // lapse_leases
	faultKinds
)

// Fault is a fault to cause.
type Fault struct {
	Kind FaultKind
	// Group and Member count from 0. Member is negative for the primary.
	Group, Member int
	// Host counts from 0.
	Host int
	// By is how much to delay or to lag.
	By time.Duration
	// Share is how many of the answers the store loses, from 0 to 1.
	Share float64
}

// ParseFaultKind returns the fault of the given name.
func ParseFaultKind(name string) (FaultKind, error) {
	for k := range faultKinds {
		if k.String() == name {
			return k, nil
		}
	}
	return 0, errors.Errorf("there is no fault %q", name)
}

// Cause causes a fault.
func (c *Cluster) Cause(f Fault) error {
	switch {
	case f.Kind <= Stay:
		return c.causeMember(f)
	case f.Kind <= HealHost:
		return c.causeHost(f)
	}
	c.causeStore(f)
	return nil
}

func (c *Cluster) causeMember(f Fault) error {
	if f.Group < 0 || f.Group >= len(c.Groups) || f.Member >= c.Topology.Members {
		return errors.Errorf("there is no member %d of group %d", f.Member+1, f.Group+1)
	}
	g := c.Groups[f.Group]
	m := g.Primary()
	if f.Member >= 0 {
		m = g.Member(f.Member)
	}
	switch f.Kind {
	case Crash:
		m.Crash()
	case Rejoin:
		m.Crash()
		return m.Rejoin()
	case Restart:
		m.Crash()
		return m.Start()
	case Partition:
		c.cutOff(m.Addr().Addr(), true, true)
	case PartitionIn:
		c.cutOff(m.Addr().Addr(), true, false)
	case PartitionOut:
		c.cutOff(m.Addr().Addr(), false, true)
	case Heal:
		c.cutOff(m.Addr().Addr(), false, false)
	case Pause:
		m.Pause()
	case Resume:
		m.Resume()
	case Lag:
		m.SetApplyLag(f.By)
	case Slow:
		m.SetSlow(f.By)
	case Leave, Stay:
		return c.setLeaving(m, f.Kind == Leave)
	}
	return nil
}

// cutOff sets whether the links to and from an address are cut.
func (c *Cluster) cutOff(addr netip.Addr, in, out bool) {
	for _, other := range c.addrs() {
		if other != addr {
			c.Network.SetCut(other, addr, in)
			c.Network.SetCut(addr, other, out)
		}
	}
}

// addrs returns the addresses of all hosts and members.
func (c *Cluster) addrs() []netip.Addr {
	var out []netip.Addr
	for i := range c.Topology.Hosts {
		out = append(out, c.Topology.hostAddr(i, peerPort).Addr())
	}
	for g := range c.Topology.Groups {
		for m := range c.Topology.Members {
			out = append(out, c.Topology.memberAddr(g, m).Addr())
		}
	}
	return out
}

func (c *Cluster) setLeaving(m *standin.Member, leaving bool) error {
	for g := range c.document.Groups {
		for i := range c.document.Groups[g].Members {
			if each := &c.document.Groups[g].Members[i]; each.Name == m.Name() {
				each.Leaving = leaving
			}
		}
	}
	return c.publish()
}

func (c *Cluster) causeHost(f Fault) error {
	if f.Host < 0 || f.Host >= len(c.Hosts) {
		return errors.Errorf("there is no host %d", f.Host+1)
	}
	switch f.Kind {
	case KillHost:
		c.KillHost(f.Host)
	case StartHost:
		if c.Hosts[f.Host] == nil {
			return c.StartHost(f.Host)
		}
	case DrainHost:
		c.DrainHost(f.Host)
	case IsolateHost, HealHost:
		c.isolate(f.Host, f.Kind == IsolateHost)
	}
	return nil
}

// isolate cuts a host off from the other hosts; its members stay in reach.
func (c *Cluster) isolate(i int, cut bool) {
	self := c.Topology.hostAddr(i, peerPort).Addr()
	for j := range c.Topology.Hosts {
		if other := c.Topology.hostAddr(j, peerPort).Addr(); j != i {
			c.Network.SetCut(self, other, cut)
			c.Network.SetCut(other, self, cut)
		}
	}
}

func (c *Cluster) causeStore(f Fault) {
	switch f.Kind {
	case StoreDown:
		c.Platform.SetDown(true)
	case StoreSlow:
		c.Platform.SetSlow(f.By)
	case StoreLoses:
		c.Platform.SetLoss(f.Share)
	case StoreUp:
		c.Platform.SetDown(false)
		c.Platform.SetSlow(0)
		c.Platform.SetLoss(0)
	case LapseLeases:
		c.Platform.LapseLeases()
	}
}

// Owner returns the host that owns the group, or -1.
func (c *Cluster) Owner(g int) int {
	for i, h := range c.Hosts {
		if h != nil && h.Owns(c.Topology.groupName(g)) {
			return i
		}
	}
	return -1
}
