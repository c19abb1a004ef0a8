package peer

import (
	"context"
	"net"

	"github.com/pkg/errors"
	"storj.io/drpc"
	"storj.io/drpc/drpcserver"

	"pearlatch/internal/follow"
	"pearlatch/internal/gateway"
	"pearlatch/internal/quotas"
)

// ServeGateway answers the calls of gateways that connect to lis until ctx ends.
func ServeGateway(ctx context.Context, lis net.Listener, h *gateway.Host, traffic *Traffic) error {
	lis = meteredListener{lis, traffic}
	s := drpcserver.NewWithOptions(&gatewayRouter{h: h, traffic: traffic}, drpcserver.Options{Manager: streamOptions()})
	return errors.Wrap(s.Serve(ctx, lis), "serve peers")
}

// gatewayRouter dispatches drpc calls between gateways to a host.
type gatewayRouter struct {
	h       *gateway.Host
	traffic *Traffic
	packer  compressor
}

var _ drpc.Handler = (*gatewayRouter)(nil)

// HandleRPC implements drpc.Handler.
func (r *gatewayRouter) HandleRPC(stream drpc.Stream, rpc string) error {
	switch rpc {
	case linkCall:
		return serveLink(stream, r.h)
	case feedCall:
		return r.feed(stream)
	case recallCall:
		r.traffic.Served.Add(1)
		return unary(stream, r.queryOutcome)
	case memberCall:
		r.traffic.Served.Add(1)
		return unary(stream, r.probeMember)
	case reserveCall:
		r.traffic.Served.Add(1)
		return unary(stream, r.giveReserve)
	}
	return errors.Errorf("call %q is not known to version %d", rpc, Version)
}

// feed serves a stream of the store's updates.
func (r *gatewayRouter) feed(stream drpc.Stream) error {
	var in feedRequest
	if err := stream.MsgRecv(&in, encoding{}); err != nil {
		return err
	}
	return r.h.Feed(stream.Context(), in.FeedRequest, func(n follow.StoreUpdate) error {
		return stream.MsgSend(&newsMessage{n, &r.packer, in.readsCompressedLists}, encoding{})
	})
}

func (r *gatewayRouter) probeMember(_ context.Context, in *memberRequest) (*memberReply, error) {
	s, err := r.h.ProbeForPeer(in.group, in.member)
	return (*memberReply)(&s), err
}

func (r *gatewayRouter) giveReserve(_ context.Context, in *reserveRequest) (*reserveReply, error) {
	reply := r.h.Quotas().HandleReserveRequest(quotas.ReserveRequest(*in))
	return (*reserveReply)(&reply), nil
}

func (r *gatewayRouter) queryOutcome(_ context.Context, in *recallRequest) (*recallReply, error) {
	return outcomeReply(r.h, in), nil
}

// outcomeReply returns the outcome of a request as far as the host knows it.
func outcomeReply(h *gateway.Host, in *recallRequest) *recallReply {
	switch outcome := h.OutcomeOf(in.from, in.serial).(type) {
	case gateway.OutcomeRunning:
		return &recallReply{running: true}
	case gateway.OutcomeDone:
		return &recallReply{reply: (*peerReplyMessage)(outcome.Reply)}
	case gateway.OutcomeUnknown:
		return &recallReply{process: outcome.Process}
	}
	return &recallReply{}
}
