package gateway

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

const (
	// indirectProbeDelay is how long the primary may take to answer the coordinator before other hosts
	// are asked to probe it. Together with indirectProbeTimeout it is shorter than controlTimeout, so
	// that a failover does not wait for the other hosts.
	indirectProbeDelay   = 90 * time.Millisecond
	indirectProbeTimeout = 200 * time.Millisecond
	// maxIndirectProbers is how many hosts are asked. If only half of the hosts reach the primary, none
	// of the three asked does in one of eight cases.
	maxIndirectProbers = 3
	// peerProbeTimeout bounds the probe that such a host sends to the member.
	peerProbeTimeout = 150 * time.Millisecond
)

// probeAll probes all members. If the primary does not answer, other hosts probe it too. A primary
// that only the coordinator can't reach must not be replaced: callers of other hosts would lose their
// transactions, and a replica that is not fenced may meanwhile resume replication from the primary.
func (w *groupMonitor) probeAll(ctx context.Context) []controlResult {
	stop := make(chan struct{})
	result := make(chan controlResult, 1)
	primary := w.primary
	if primary.ID == "" {
		primary = w.group.primaryToWatch()
	}
	go func() { result <- w.probeIndirectly(ctx, primary, stop) }()
	answers := w.group.controlAll(w.group.listMembers(), Probe{}, controlTimeout)
	close(stop)
	indirect := <-result
	for i, a := range answers {
		silent := a.err != nil && !isMemberFailure(a.err) && !connRefusedOrReset(a.err)
		if a.member.ID == primary.ID && silent && indirect.err == nil {
			w.log("primary_seen", "member", primary.ID, "by", indirect.relayedBy, "position", indirect.status.Received, "err", a.err)
			answers[i] = indirect
		}
	}
	return answers
}

// errNotProbed means that a member was not probed.
var errNotProbed = errors.New("the member was not probed")

// probeIndirectly asks other hosts to probe a member, unless stop is closed within indirectProbeDelay.
// It returns the first answer, or the last error if none of them gets one.
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
	hosts := w.host.fleet.Sample(maxIndirectProbers)
	probeCtx, cancel := context.WithTimeout(ctx, indirectProbeTimeout)
	defer cancel()
	answers := make(chan controlResult, len(hosts))
	for _, h := range hosts {
		go func() {
			a := controlResult{member: m, sentAt: w.host.now(), relayedBy: h.ID}
			a.status, a.err = w.host.ports.Peers.Probe(probeCtx, h.Peer, w.group.name, m.ID)
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

// ProbeForPeer probes a member on behalf of another host.
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
