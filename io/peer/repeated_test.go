package peer

import (
	"context"
	"net"
	"net/netip"
	"reflect"
	"testing"

	"storj.io/drpc"
	"storj.io/drpc/drpcserver"

	"pearlatch/internal/gateway"
)

// repeatingHost answers each request with its text, after the answer to the request before, which it sends once more.
// Without serials, it answers like hosts of earlier versions, once each.
type repeatingHost struct{ serials bool }

// HandleRPC implements drpc.Handler.
func (h repeatingHost) HandleRPC(stream drpc.Stream, _ string) error {
	var last *linkReply
	for {
		in := new(linkRequest)
		if err := stream.MsgRecv(in, encoding{}); err != nil {
			return err
		}
		out := &linkReply{lane: in.lane}
		out.Reply.Rows = []string{in.Request.Text}
		if h.serials {
			out.serial = in.Serial
			if last != nil {
				if err := stream.MsgSend(last, encoding{}); err != nil {
					return err
				}
			}
		}
		if err := stream.MsgSend(out, encoding{}); err != nil {
			return err
		}
		last = out
	}
}

// Guards against a statement of a transaction that gets the rows of the one before, which the other host answers again.
func TestRepliesOnAStreamBelongToTheirRequests(t *testing.T) {
	for name, h := range map[string]repeatingHost{"twice": {true}, "earlier version": {false}} {
		lis, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(t.Context())
		served := make(chan struct{})
		go func() {
			defer close(served)
			_ = drpcserver.NewWithOptions(h, drpcserver.Options{Manager: streamOptions()}).Serve(ctx, lis)
		}()
		stream := openStream(t, newClient(), netip.MustParseAddrPort(lis.Addr().String()))
		for _, want := range []string{"one", "two", "three"} {
			r := continuation("q", gateway.Read{})
			r.Request.Text = want
			if got, err := stream.Do(t.Context(), r); err != nil || !reflect.DeepEqual(got.Reply.Rows, []string{want}) {
				t.Errorf("%s: request %q: %+v, %v", name, want, got, err)
			}
		}
		cancel()
		<-served
	}
}

// Guards against texts that other hosts read otherwise than they were sent.
func TestTextsOfAnyBytesBetweenHosts(t *testing.T) {
	var all []byte
	for i := range 256 {
		all = append(all, byte(i))
	}
	for _, text := range []string{"", " ", " a  b ", "a\r\nROW b", "a\nDONE x\r", "\x00\x00", "\xff\xfe", "\u2028é\u00a0", string(all)} {
		in := &linkRequest{lane: 1, peerRequestMessage: peerRequestMessage{version: peerRequestVersion, PeerRequest: gateway.PeerRequest{
			Values: map[string]string{text: text}, Prepared: &gateway.PreparedStatement{Text: text}, Route: request("", nil).Route,
			Request: gateway.Request{ID: text, Text: text, Statement: gateway.Execute{Name: text, Arguments: text}},
		}}}
		out := &linkReply{lane: 1, peerReplyMessage: peerReplyMessage{Process: text, Reply: gateway.Reply{
			Rows: []string{text, "", text}, Signature: text, Failure: &gateway.Failure{Detail: text},
		}}}
		for _, m := range []message{in, out} {
			encoded, err := encoding{}.Marshal(m)
			got := reflect.New(reflect.TypeOf(m).Elem()).Interface().(message)
			if err == nil {
				err = encoding{}.Unmarshal(encoded, got)
			}
			if err != nil || !reflect.DeepEqual(got, m) {
				t.Errorf("%q: %+v became %+v, %v", text, m, got, err)
			}
		}
	}
}
