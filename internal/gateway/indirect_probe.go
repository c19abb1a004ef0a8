package gateway

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

const (
	// indirectProbeDelay is how long the primary may take to answer the holder of the duty
	// until other hosts are asked whether it answers them. With indirectProbeTimeout it is
	// within controlTimeout, so that a failover does not wait for them.
	indirectProbeDelay   = 90 * time.Millisecond
	indirectProbeTimeout = 200 * time.Millisecond
	// maxIndirectProbers is how many hosts are asked. A partition that leaves the primary
	// with half of the hosts is missed by one time in eight.
	maxIndirectProbers = 3
	// peerProbeTimeout is how long those hosts wait for the member.
	peerProbeTimeout = 150 * time.Millisecond
)

// probeAll asks the members for their status. If the primary does not answer, other hosts
// ask it: a primary that only the holder of the duty can't reach must not be replaced,
// since its callers at other hosts would lose their transactions, and a replica that
// nobody has fenced may come back to it in the meantime.
func (w *groupMonitor) probeAll(ctx context.Context) []controlResult {
	stop := make(chan struct{})
	found := make(chan controlResult, 1)
	primary := w.primary
	if primary.ID == "" {
		primary = w.group.primaryToWatch()
	}
	go func() { found <- w.probeIndirectly(ctx, primary, stop) }()
	answers := w.group.controlAll(w.group.listMembers(), Probe{}, controlTimeout)
	close(stop)
	indirect := <-found
	for i, a := range answers {
		silent := a.err != nil && !isMemberFailure(a.err) && !connRefusedOrReset(a.err)
		if a.member.ID == primary.ID && silent && indirect.err == nil {
			w.log("primary_seen", "member", primary.ID, "by", indirect.relayedBy, "position", indirect.status.Received, "err", a.err)
			answers[i] = indirect
		}
	}
	return answers
}

// errNotProbed means that a member was not asked.
var errNotProbed = errors.New("the member was not asked")

// probeIndirectly asks other hosts for the status of a member, unless stop is closed
// soon. It returns the first answer.
func (w *groupMonitor) probeIndirectly(ctx context.Context, m Member, stop chan struct{}) controlResult {
	out := controlResult{member: m, err: errNotProbed}
	if m.ID == "" {
		return out
	}
	select {
	case <-stop:
		return out
	case <-time.After(indirectProbeDelay):
	}
	hosts := w.host.fleet.Some(maxIndirectProbers)
	call, cancel := context.WithTimeout(ctx, indirectProbeTimeout)
	defer cancel()
	answers := make(chan controlResult, len(hosts))
	for _, h := range hosts {
		go func() {
			a := controlResult{member: m, sentAt: w.host.now(), relayedBy: h.ID}
			a.status, a.err = w.host.ports.Peers.Probe(call, h.Peer, w.group.name, m.ID)
			answers <- a
		}()
	}
	for range hosts {
		if out = <-answers; out.err == nil {
			return out
		}
	}
	return out
}

// ProbeForPeer asks a member for its status on behalf of another host.
func (h *Host) ProbeForPeer(groupName, memberID string) (Status, error) {
	g := h.group(groupName)
	if g == nil {
		return Status{}, errors.Errorf("group %s is not known", groupName)
	}
	m, ok := g.lookupMember(memberID)
	if !ok {
		return Status{}, errors.Errorf("member %s of group %s is not known", memberID, groupName)
	}
	return g.control(m, Probe{}, peerProbeTimeout)
}
