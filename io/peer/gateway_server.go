package peer

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"
	"storj.io/drpc"
	"storj.io/drpc/drpcserver"

	"pearlatch/internal/gateway"
)

// ServeGateway answers other gateways that connect to lis until ctx ends.
func ServeGateway(ctx context.Context, lis net.Listener, h *gateway.Host, traffic *Traffic) error {
	lis = meteredListener{lis, traffic}
	s := drpcserver.NewWithOptions(&gatewayRouter{h: h, traffic: traffic}, drpcserver.Options{Manager: streamOptions()})
	return errors.Wrap(s.Serve(ctx, lis), "serve peers")
}

// gatewayRouter maps the names of calls between gateways to a host.
type gatewayRouter struct {
	h       *gateway.Host
	traffic *Traffic
	packer  packer
}

var _ drpc.Handler = (*gatewayRouter)(nil)

// HandleRPC implements drpc.Handler.
func (r *gatewayRouter) HandleRPC(stream drpc.Stream, rpc string) error {
	switch rpc {
	case laneCall:
		return r.lane(stream)
	case feedCall:
		return r.feed(stream)
	case recallCall:
		r.traffic.Served.Add(1)
		return unary(stream, r.recall)
	}
	return errors.Errorf("call %q is not known to version %d", rpc, Version)
}

// lane serves a stream that carries the work of one session after another.
func (r *gatewayRouter) lane(stream drpc.Stream) error {
	guest := r.h.NewGuest()
	defer guest.Close()
	// What was begun is ended, also when the other host goes: it may ask for the outcome.
	ctx := context.WithoutCancel(stream.Context())
	for {
		var in laneRequest
		if err := receiveBounded(stream, &in, guest); err != nil {
			return err
		}
		if in.version != Version {
			return errors.Errorf("a request of version %d", in.version)
		}
		if err := stream.MsgSend((*laneReply)(guest.Do(ctx, &in.PeerRequest)), encoding{}); err != nil {
			return err
		}
	}
}

// receiveBounded receives the next request. While a transaction is open it ends the
// stream if none comes in time.
func receiveBounded(stream drpc.Stream, in *laneRequest, guest *gateway.Guest) error {
	if guest.Open() {
		late := time.AfterFunc(guest.Rest(), func() { _ = stream.Close() })
		defer late.Stop()
	}
	return stream.MsgRecv(in, encoding{})
}

// feed serves a stream of news.
func (r *gatewayRouter) feed(stream drpc.Stream) error {
	var in feedRequest
	if err := stream.MsgRecv(&in, encoding{}); err != nil {
		return err
	}
	return r.h.Feed(stream.Context(), in.after, func(n gateway.News) error {
		return stream.MsgSend(&newsMessage{n, &r.packer}, encoding{})
	})
}

func (r *gatewayRouter) recall(_ context.Context, in *recallRequest) (*recallReply, error) {
	switch got := r.h.Recall(in.from, in.serial).(type) {
	case gateway.RecalledRunning:
		return &recallReply{running: true}, nil
	case gateway.RecalledDone:
		return &recallReply{reply: (*laneReply)(got.Reply)}, nil
	case gateway.RecalledUnknown:
		return &recallReply{process: got.Process}, nil
	}
	return nil, errors.New("no outcome")
}
