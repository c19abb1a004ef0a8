package peer

import (
	"net/netip"
	"time"

	"pearlatch/core/membership"
	"pearlatch/core/statement"
)

// Names of the calls.
const (
	exchangeCall = "/pearlatch.Peer/Exchange"
	probeCall    = "/pearlatch.Peer/Probe"
	relayCall    = "/pearlatch.Peer/Relay"
	reachCall    = "/pearlatch.Peer/Reach"
	cancelCall   = "/pearlatch.Peer/Cancel"
	pullCall     = "/pearlatch.Peer/Pull"
	confirmCall  = "/pearlatch.Peer/Confirm"
	releasedCall = "/pearlatch.Peer/Released"
	assumeCall   = "/pearlatch.Peer/Assume"
)

// Probe asks a host whether it is alive and passes claims on.
type Probe struct {
	// From is the identifier of the sender.
	From string
	// Claims are the sender's, its own host's first.
	Claims []membership.Status
	// Revision is the revision of the configuration that the sender has in
	// force, and Received the one that it can pass on: it is received before it
	// is in force.
	Revision, Received uint64
}

func (m *Probe) fields(w *fieldWriter) {
	w.str("from", m.From)
	w.uint("revision", m.Revision)
	w.uint("received", m.Received)
	list := make([]statusMessage, len(m.Claims))
	for i, c := range m.Claims {
		list[i] = statusMessage(c)
	}
	writeList(w, "claims", list)
}

func (m *Probe) field(name string, r *fieldReader) bool {
	switch name {
	case "from":
		return r.str(&m.From)
	case "revision":
		return r.uint(&m.Revision)
	case "received":
		return r.uint(&m.Received)
	case "claims":
		var list []statusMessage
		readList(r, &list)
		for _, c := range list {
			m.Claims = append(m.Claims, membership.Status(c))
		}
		return true
	}
	return false
}

// statusMessage is a claim on the wire.
type statusMessage membership.Status

func (m *statusMessage) fields(w *fieldWriter) {
	w.str("id", m.Host.ID)
	w.str("zone", m.Host.Zone)
	w.str("peer", m.Host.Peer.String())
	w.bool("leaving", m.Host.Leaving)
	w.uint("incarnation", m.Host.Incarnation)
	w.uint("state", uint64(m.State))
}

func (m *statusMessage) field(name string, r *fieldReader) bool {
	switch name {
	case "id":
		return r.str(&m.Host.ID)
	case "zone":
		return r.str(&m.Host.Zone)
	case "peer":
		return readAddr(r, &m.Host.Peer)
	case "leaving":
		return r.bool(&m.Host.Leaving)
	case "incarnation":
		return r.uint(&m.Host.Incarnation)
	case "state":
		return readUint(r, &m.State)
	}
	return false
}

func readAddr(r *fieldReader, v *netip.AddrPort) bool {
	var s string
	r.str(&s)
	addr, err := netip.ParseAddrPort(s)
	r.setErr(err)
	*v = addr
	return true
}

// Relay asks a host to probe another one.
type Relay struct {
	// Target is the address of the host to probe.
	Target netip.AddrPort
}

func (m *Relay) fields(w *fieldWriter) { w.str("target", m.Target.String()) }

func (m *Relay) field(name string, r *fieldReader) bool {
	return name == "target" && readAddr(r, &m.Target)
}

// Reach asks a host whether it can reach a member of a group.
type Reach struct {
	// Group and Member name the member.
	Group, Member string
}

func (m *Reach) fields(w *fieldWriter) {
	w.str("group", m.Group)
	w.str("member", m.Member)
}

func (m *Reach) field(name string, r *fieldReader) bool {
	switch name {
	case "group":
		return r.str(&m.Group)
	case "member":
		return r.str(&m.Member)
	}
	return false
}

// Verdict answers Relay and Reach, and acknowledges Cancel.
type Verdict struct {
	// Yes is true when the target answered.
	Yes bool
}

func (m *Verdict) fields(w *fieldWriter) { w.bool("yes", m.Yes) }

func (m *Verdict) field(name string, r *fieldReader) bool { return name == "yes" && r.bool(&m.Yes) }

// Cancel passes a cancel request on. Owner is true when it goes from the entry
// to the owner, and false when it goes to the entry that has the caller.
type Cancel struct {
	Key   statement.CancelKey
	Owner bool
}

func (m *Cancel) fields(w *fieldWriter) {
	w.uint("process", uint64(m.Key.Process))
	w.uint("secret", uint64(m.Key.Secret))
	w.bool("owner", m.Owner)
}

func (m *Cancel) field(name string, r *fieldReader) bool {
	switch name {
	case "process":
		return readUint(r, &m.Key.Process)
	case "secret":
		return readUint(r, &m.Key.Secret)
	case "owner":
		return r.bool(&m.Owner)
	}
	return false
}

// Pull asks a host for the configuration if it has a higher revision.
type Pull struct {
	// Have is the revision that the sender has, or zero.
	Have uint64
}

func (m *Pull) fields(w *fieldWriter) { w.uint("have", m.Have) }

func (m *Pull) field(name string, r *fieldReader) bool { return name == "have" && r.uint(&m.Have) }

// Pulled answers Pull.
type Pulled struct {
	// Revision is the host's, or zero when it has none above what was asked for.
	Revision uint64
	// Base is the revision that Delta applies to, or zero when Delta is the
	// whole document.
	Base uint64
	// Delta is the document or the difference, as core/config encodes it.
	Delta []byte
}

func (m *Pulled) fields(w *fieldWriter) {
	w.uint("revision", m.Revision)
	w.uint("base", m.Base)
	w.bytes("delta", m.Delta)
}

func (m *Pulled) field(name string, r *fieldReader) bool {
	switch name {
	case "revision":
		return r.uint(&m.Revision)
	case "base":
		return r.uint(&m.Base)
	case "delta":
		return r.bytes(&m.Delta)
	}
	return false
}

// Confirm asks the next owner of a group to confirm what the primary holds now.
type Confirm struct {
	Group   string
	Term    uint64
	Session string
	// TimeLeft is how long the sender waits.
	TimeLeft time.Duration
}

func (m *Confirm) fields(w *fieldWriter) {
	w.str("group", m.Group)
	w.uint("term", m.Term)
	w.str("session", m.Session)
	w.duration("time_left_us", m.TimeLeft)
}

func (m *Confirm) field(name string, r *fieldReader) bool {
	switch name {
	case "group":
		return r.str(&m.Group)
	case "term":
		return r.uint(&m.Term)
	case "session":
		return r.str(&m.Session)
	case "time_left_us":
		return r.duration(&m.TimeLeft)
	}
	return false
}

// Released tells the next owner of a group that the sender has released it.
type Released struct{ Group string }

func (m *Released) fields(w *fieldWriter) { w.str("group", m.Group) }

func (m *Released) field(name string, r *fieldReader) bool {
	return name == "group" && r.str(&m.Group)
}

// Assume asks a host to own a group for a while in place of the sender.
type Assume struct {
	Group string
	For   time.Duration
}

func (m *Assume) fields(w *fieldWriter) {
	w.str("group", m.Group)
	w.duration("for_us", m.For)
}

func (m *Assume) field(name string, r *fieldReader) bool {
	switch name {
	case "group":
		return r.str(&m.Group)
	case "for_us":
		return r.duration(&m.For)
	}
	return false
}
