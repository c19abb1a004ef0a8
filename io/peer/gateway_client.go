package peer

import (
	"context"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"pearlatch/core/quota/reserve"
	"pearlatch/internal/follow"
	"pearlatch/internal/gateway"
	"pearlatch/internal/quotas"
)

// GatewayClient implements gateway.Peers. Use NewGatewayClient.
type GatewayClient struct {
	client *Client
	links  links
}

var _ gateway.Peers = (*GatewayClient)(nil)

// NewGatewayClient returns a client that dials from the local address, if that is valid.
func NewGatewayClient(local netip.Addr, traffic *Traffic) *GatewayClient {
	c := NewClient(local, nil, traffic)
	return &GatewayClient{client: c, links: links{client: c}}
}

// OpenStream implements gateway.Peers.
func (c *GatewayClient) OpenStream(ctx context.Context, to netip.AddrPort) (gateway.Stream, error) {
	k, err := c.links.get(ctx, to)
	if err != nil {
		return nil, err
	}
	return k.newStream(), nil
}

// linkOutcomeTimeout bounds a query of an outcome on a link. After it, the query is repeated on a separate connection. It
// covers a few round trips within a region.
const linkOutcomeTimeout = 60 * time.Millisecond

// QueryOutcome implements gateway.Peers. It asks on the link first, which costs a host under load no handshake, and then on a
// separate connection, since the link may have gone silent.
func (c *GatewayClient) QueryOutcome(ctx context.Context, to netip.AddrPort, from string, serial uint64) (gateway.RequestOutcome, error) {
	in := &recallRequest{from, serial}
	if k := c.links.existing(to); k != nil {
		if out := k.queryOutcome(ctx, in); out != nil {
			return out.outcome(), nil
		}
	}
	out, err := call[recallRequest, recallReply](ctx, c.client, to, recallCall, in)
	if err != nil {
		return nil, err
	}
	return out.outcome(), nil
}

// outcome returns the outcome that the message carries.
func (m *recallReply) outcome() gateway.RequestOutcome {
	switch {
	case m.running:
		return gateway.OutcomeRunning{}
	case m.reply != nil:
		return gateway.OutcomeDone{Reply: (*gateway.PeerReply)(m.reply)}
	}
	return gateway.OutcomeUnknown{Process: m.process}
}

// Probe implements gateway.Peers.
func (c *GatewayClient) Probe(ctx context.Context, to netip.AddrPort, groupName, memberID string) (gateway.Status, error) {
	out, err := call[memberRequest, memberReply](ctx, c.client, to, memberCall, &memberRequest{groupName, memberID})
	if err != nil {
		return gateway.Status{}, err
	}
	return gateway.Status(*out), nil
}

// RequestLease implements gateway.Peers.
func (c *GatewayClient) RequestLease(ctx context.Context, to netip.AddrPort, r gateway.LeaseRequest) (gateway.LeaseReply, error) {
	reply, err := c.askOnLink(ctx, to, &linkRequest{lease: (*leaseRequest)(&r)})
	if err != nil {
		return gateway.LeaseReply{}, err
	}
	if reply.lease == nil {
		return gateway.LeaseReply{}, errors.Errorf("reply of host %s to a lease request contains no lease", to)
	}
	return gateway.LeaseReply(*reply.lease), nil
}

// RevokeLease implements gateway.Peers.
func (c *GatewayClient) RevokeLease(ctx context.Context, to netip.AddrPort, r gateway.Revocation) error {
	reply, err := c.askOnLink(ctx, to, &linkRequest{revokeLease: (*revokeLeaseRequest)(&r)})
	if err == nil && !reply.leaseRevoked {
		err = errors.Errorf("host %s did not give up its lease", to)
	}
	return err
}

// RequestQuota implements gateway.Peers.
func (c *GatewayClient) RequestQuota(ctx context.Context, to netip.AddrPort, r quotas.Request) (quotas.Response, error) {
	reply, err := c.askOnLink(ctx, to, &linkRequest{quota: (*quotaRequest)(&r)})
	if err != nil {
		return quotas.Response{}, err
	}
	if reply.quota == nil {
		return quotas.Response{}, errors.Errorf("reply of host %s to a quota request contains no grants", to)
	}
	return quotas.Response(*reply.quota), nil
}

// TellQuota implements gateway.Peers.
func (c *GatewayClient) TellQuota(ctx context.Context, to netip.AddrPort, r quotas.ReportRequest) (quotas.ReportResponse, error) {
	reply, err := c.askOnLink(ctx, to, &linkRequest{tell: (*tellRequest)(&r)})
	if err != nil {
		return quotas.ReportResponse{}, err
	}
	if reply.told == nil {
		return quotas.ReportResponse{}, errors.Errorf("reply of host %s does not say which quotas it holds", to)
	}
	return quotas.ReportResponse(*reply.told), nil
}

// RequestReserve implements gateway.Peers. It is a call of its own, since a host of the previous version would take an
// unknown message on the link for a forwarded request and close the link.
func (c *GatewayClient) RequestReserve(ctx context.Context, to netip.AddrPort, r quotas.ReserveRequest) (reserve.Reply, error) {
	out, err := call[reserveRequest, reserveReply](ctx, c.client, to, reserveCall, (*reserveRequest)(&r))
	if err != nil {
		return reserve.Reply{}, err
	}
	return reserve.Reply(*out), nil
}

// askOnLink sends a request that belongs to no session on the link to a host, and waits for the reply. If the request fails
// and nothing has arrived on the link meanwhile, the link may have gone silent and is replaced.
func (c *GatewayClient) askOnLink(ctx context.Context, to netip.AddrPort, in *linkRequest) (*linkReply, error) {
	k, err := c.links.get(ctx, to)
	if err != nil {
		return nil, err
	}
	s := k.newStream()
	in.lane = s.id
	sent := time.Now()
	reply, err := k.ask(ctx, in)
	if err != nil {
		s.ReplaceIfSilent(time.Since(sent))
	}
	return reply, err
}

// Feed implements gateway.Peers.
func (c *GatewayClient) Feed(ctx context.Context, to netip.AddrPort, r follow.FeedRequest) (follow.Feed, error) {
	s, err := c.client.openStream(ctx, to, feedCall)
	if err != nil {
		return nil, err
	}
	f := &feed{addr: to, stream: s}
	if err := s.drpc.MsgSend(&feedRequest{FeedRequest: r, readsCompressedLists: true}, encoding{}); err != nil {
		f.Close()
		return nil, errors.Wrapf(err, "ask host %s for news", to)
	}
	return f, nil
}

// feed receives updates of the store from another host.
type feed struct {
	addr   netip.AddrPort
	stream *stream
}

var _ follow.Feed = (*feed)(nil)

// Next implements follow.Feed.
func (f *feed) Next(atMost time.Duration) (follow.StoreUpdate, error) {
	late := time.AfterFunc(atMost, f.stream.close)
	defer late.Stop()
	var in newsMessage
	if err := f.stream.drpc.MsgRecv(&in, encoding{}); err != nil {
		return follow.StoreUpdate{}, errors.Wrapf(err, "news of host %s", f.addr)
	}
	return in.StoreUpdate, nil
}

// Close implements follow.Feed.
func (f *feed) Close() { f.stream.close() }
