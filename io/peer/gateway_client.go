package peer

import (
	"context"
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"storj.io/drpc/drpcconn"

	"pearlatch/internal/gateway"
)

// GatewayClient speaks to other gateways. Use NewGatewayClient.
type GatewayClient struct{ client *Client }

var _ gateway.Peers = (*GatewayClient)(nil)

// NewGatewayClient returns a client that dials from local, if that is valid.
func NewGatewayClient(local netip.Addr, traffic *Traffic) *GatewayClient {
	return &GatewayClient{NewClient(local, nil, traffic)}
}

// Lane implements gateway.Peers.
func (c *GatewayClient) Lane(ctx context.Context, to netip.AddrPort) (gateway.Lane, error) {
	s, err := c.client.takeStream(ctx, to, laneCall)
	if err != nil {
		return nil, err
	}
	return &lane{client: c.client, addr: to, stream: s}, nil
}

// lane is a stream that carries requests.
type lane struct {
	client *Client
	addr   netip.AddrPort
	stream *stream
}

var _ gateway.Lane = (*lane)(nil)

// Do implements gateway.Lane.
func (l *lane) Do(ctx context.Context, r *gateway.PeerRequest) (*gateway.PeerReply, error) {
	stop := context.AfterFunc(ctx, l.stream.close)
	defer stop()
	if err := l.stream.drpc.MsgSend(&laneRequest{version: Version, PeerRequest: *r}, encoding{}); err != nil {
		// The other host acts on whole messages only, and this one was not whole.
		return nil, errors.Wrap(gateway.ErrNotSent, err.Error())
	}
	var in laneReply
	if err := l.stream.drpc.MsgRecv(&in, encoding{}); err != nil {
		return nil, errors.Wrapf(err, "answer of host %s", l.addr)
	}
	return (*gateway.PeerReply)(&in), nil
}

// Release implements gateway.Lane.
func (l *lane) Release() { l.client.keepStream(l.addr, l.stream) }

// Close implements gateway.Lane.
func (l *lane) Close() { l.client.dropBusy(l.addr, l.stream) }

// Recall implements gateway.Peers.
func (c *GatewayClient) Recall(ctx context.Context, to netip.AddrPort, from string, serial uint64) (gateway.Recalled, error) {
	out, err := call[recallRequest, recallReply](ctx, c.client, to, recallCall, &recallRequest{from, serial})
	if err != nil {
		return nil, err
	}
	switch {
	case out.running:
		return gateway.RecalledRunning{}, nil
	case out.reply != nil:
		return gateway.RecalledDone{Reply: (*gateway.PeerReply)(out.reply)}, nil
	}
	return gateway.RecalledUnknown{Process: out.process}, nil
}

// Feed implements gateway.Peers.
func (c *GatewayClient) Feed(ctx context.Context, to netip.AddrPort, after int64) (gateway.Feed, error) {
	conn, err := c.client.dial(ctx, to)
	if err != nil {
		return nil, err
	}
	opened, err := conn.NewStream(context.Background(), feedCall, encoding{})
	if err != nil {
		_ = conn.Close()
		return nil, errors.Wrapf(err, "open a feed from host %s", to)
	}
	f := &feed{conn: conn, addr: to, stream: &stream{conn: conn, drpc: opened}}
	if err := opened.MsgSend(&feedRequest{after}, encoding{}); err != nil {
		f.Close()
		return nil, errors.Wrapf(err, "ask host %s for news", to)
	}
	return f, nil
}

// feed is a stream of news.
type feed struct {
	conn   *drpcconn.Conn
	addr   netip.AddrPort
	stream *stream
}

var _ gateway.Feed = (*feed)(nil)

// Next implements gateway.Feed.
func (f *feed) Next(atMost time.Duration) (gateway.News, error) {
	late := time.AfterFunc(atMost, f.stream.close)
	defer late.Stop()
	var in newsMessage
	if err := f.stream.drpc.MsgRecv(&in, encoding{}); err != nil {
		return gateway.News{}, errors.Wrapf(err, "news of host %s", f.addr)
	}
	return in.News, nil
}

// Close implements gateway.Feed.
func (f *feed) Close() { f.stream.close() }
