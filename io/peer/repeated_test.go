package peer

import (
	"context"
	"net"
	"net/netip"
	"reflect"
	"testing"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcserver"

	"pearlatch/core/freshness"
	"pearlatch/core/statement"
	"pearlatch/internal/gateway"
	"pearlatch/io/postgres"
)

// repeatingHost answers each request with its text, after the answer to the request before, which it sends once more.
// Without serials, it answers like hosts of earlier versions, once each.
type repeatingHost struct{ serials bool }

// HandleRPC implements drpc.Handler.
func (h repeatingHost) HandleRPC(stream drpc.Stream, rpc string) error {
	var last message
	for {
		out, err := h.answer(stream, rpc)
		if err != nil {
			return err
		}
		if h.serials && last != nil {
			if err := stream.MsgSend(last, encoding{}); err != nil {
				return err
			}
		}
		if err := stream.MsgSend(out, encoding{}); err != nil {
			return err
		}
		last = out
	}
}

// answer receives a request and returns the answer to it.
func (h repeatingHost) answer(stream drpc.Stream, rpc string) (message, error) {
	if rpc == exchangeCall {
		in := new(unitMessage)
		err := stream.MsgRecv(in, encoding{})
		out := &answerMessage{end: true, data: in.unit.Data, outcome: statement.Outcome{Status: postgres.StatusIdle}}
		if h.serials {
			out.serial = in.serial
		}
		return out, err
	}
	in := new(linkRequest)
	err := stream.MsgRecv(in, encoding{})
	out := &linkReply{lane: in.lane}
	out.Reply.Rows = []string{in.Request.Text}
	if h.serials {
		out.serial = in.Serial
	}
	return out, err
}

// serve serves the host until the test ends, and returns its address.
func (h repeatingHost) serve(t *testing.T) netip.AddrPort {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = drpcserver.NewWithOptions(h, drpcserver.Options{Manager: streamOptions()}).Serve(ctx, lis) }()
	return netip.MustParseAddrPort(lis.Addr().String())
}

// Guards against a statement of a transaction that gets the rows of the one before, which the other host answers again.
func TestRepliesOnAStreamBelongToTheirRequests(t *testing.T) {
	for name, h := range map[string]repeatingHost{"twice": {true}, "earlier version": {false}} {
		stream := openStream(t, newClient(), h.serve(t))
		for _, want := range []string{"one", "two", "three"} {
			r := continuation("q", gateway.Read{})
			r.Request.Text = want
			if got, err := stream.Do(t.Context(), r); err != nil || !reflect.DeepEqual(got.Reply.Rows, []string{want}) {
				t.Errorf("%s: request %q: %+v, %v", name, want, got, err)
			}
		}
	}
}

// Guards against a unit that gets the answer to the one before on the same stream, which the owner sends again.
func TestAnswersOnAStreamBelongToTheirUnits(t *testing.T) {
	for name, h := range map[string]repeatingHost{"twice": {true}, "earlier version": {false}} {
		client, addr := NewClient(netip.Addr{}, nil, &Traffic{}), h.serve(t)
		for _, want := range []string{"one", "two", "three"} {
			x := client.Begin(addr, &statement.Request{Class: freshness.OwnWrites{}})
			var got []byte
			u := &statement.Unit{Data: []byte(want), Deadline: time.Now().Add(eventTimeout)}
			_, err := x.Do(t.Context(), u, func(b []byte) error {
				got = append(got, b...)
				return nil
			})
			if err != nil || string(got) != want {
				t.Errorf("%s: unit %q: %q, %v", name, want, got, err)
			}
		}
		client.Close()
	}
}
