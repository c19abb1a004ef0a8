package peer

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"pearlatch/core/freshness"
	"pearlatch/core/shutdown"
	"pearlatch/internal/follow"
	"pearlatch/internal/gateway"
)

var serial uint64

// request returns a request with the next serial for the stub's group.
func request(id string, s gateway.Statement) *gateway.PeerRequest {
	serial++
	return &gateway.PeerRequest{
		From: "h1", Serial: serial, Group: stubGroup, Database: stubDatabase,
		Route:   gateway.Route{Class: freshness.OwnWrites{}, Timeout: 5 * time.Second, LatencyTarget: 5 * time.Second},
		Request: gateway.Request{ID: id, Statement: s},
	}
}

// begin returns the first request of a transaction.
func begin(id string) *gateway.PeerRequest {
	r := request(id, gateway.Read{})
	r.Begin = &gateway.Begin{}
	return r
}

// continuation returns a later request of a transaction.
func continuation(id string, s gateway.Statement) *gateway.PeerRequest {
	r := request(id, s)
	r.Continues = true
	return r
}

func openStream(t *testing.T, c *GatewayClient, addr netip.AddrPort) gateway.Stream {
	t.Helper()
	stream, err := c.OpenStream(t.Context(), addr)
	if err != nil {
		t.Fatal(err)
	}
	return stream
}

func newClient() *GatewayClient {
	return NewGatewayClient(netip.MustParseAddr("127.0.0.1"), &Traffic{})
}

func mustDo(t *testing.T, stream gateway.Stream, r *gateway.PeerRequest) *gateway.PeerReply {
	t.Helper()
	out, err := stream.Do(t.Context(), r)
	if err != nil {
		t.Fatal(err)
	}
	if out.Declined != gateway.Accepted || out.Reply.Failure != nil {
		t.Fatalf("%s: declined %s, failure %v", r.Request.ID, out.Declined, out.Reply.Failure)
	}
	return out
}

// Many statements run concurrently on one host. Each must get its own reply, over a single connection.
func TestStreamsShareALink(t *testing.T) {
	h := serveStub(t, &stubBackend{})
	c := newClient()
	requests := make([]*gateway.PeerRequest, 40)
	for i := range requests {
		requests[i] = request(fmt.Sprint("q", i), gateway.Read{})
	}
	var wait sync.WaitGroup
	for _, r := range requests {
		wait.Go(func() {
			stream, err := c.OpenStream(context.Background(), h.addr)
			if err != nil {
				t.Error(err)
				return
			}
			out, err := stream.Do(context.Background(), r)
			if err != nil || len(out.Reply.Rows) != 1 || !strings.HasSuffix(out.Reply.Rows[0], " "+r.Request.ID) {
				t.Errorf("%s was answered with %+v, %v", r.Request.ID, out, err)
			}
		})
	}
	wait.Wait()
	if n := h.traffic.Conns.Load(); n != 1 {
		t.Errorf("%d connections were opened", n)
	}
}

// Two callers of a host have open transactions on another host, over the same link, and send statements in turn. Each must
// stay on the connection to the member on which its transaction began.
func TestTransactionsOnALinkUseTheirOwnConnections(t *testing.T) {
	h := serveStub(t, &stubBackend{})
	c := newClient()
	one, two := openStream(t, c, h.addr), openStream(t, c, h.addr)
	connOf := func(r *gateway.PeerReply) string { return strings.Fields(r.Reply.Rows[0])[0] }
	first, second := connOf(mustDo(t, one, begin("1a"))), connOf(mustDo(t, two, begin("2a")))
	if first == second {
		t.Fatal("both transactions run on one connection")
	}
	for i := range 5 {
		if got := connOf(mustDo(t, one, continuation(fmt.Sprint("1b", i), gateway.Write{}))); got != first {
			t.Errorf("the first transaction moved to connection %s", got)
		}
		if got := connOf(mustDo(t, two, continuation(fmt.Sprint("2b", i), gateway.Write{}))); got != second {
			t.Errorf("the second transaction moved to connection %s", got)
		}
	}
	mustDo(t, one, continuation("1c", gateway.Commit{}))
	mustDo(t, two, continuation("2c", gateway.Commit{}))
	if h.ForwardedCount() != 0 {
		t.Errorf("%d transactions are left open", h.ForwardedCount())
	}
}

// A caller disconnects within a transaction, or the link of its host fails. The transaction must not keep its connection to
// the member.
func TestAbandonedTransactionsAreRolledBack(t *testing.T) {
	h := serveStub(t, &stubBackend{})
	c := newClient()
	one, two := openStream(t, c, h.addr), openStream(t, c, h.addr)
	mustDo(t, one, begin("1a"))
	mustDo(t, two, begin("2a"))
	one.Close()
	eventually(t, "the abandoned transaction ended", func() bool { return h.ForwardedCount() == 1 })
	two.(*linkStream).link.shutdown()
	eventually(t, "the broken link's transaction ended", func() bool { return h.ForwardedCount() == 0 })
	if _, err := two.Do(t.Context(), continuation("2b", gateway.Write{})); err == nil {
		t.Error("a statement went over a link that has ended")
	}
	mustDo(t, openStream(t, c, h.addr), request("3", gateway.Read{}))
}

// A link goes silent while new connections work. The request sent on it has not arrived, which the other host confirms on a
// new connection. The next statement must go over a new link.
func TestSilentLinkIsReplaced(t *testing.T) {
	h := serveStub(t, &stubBackend{})
	p := proxyTo(t, h.addr)
	c := newClient()
	mustDo(t, openStream(t, c, p.addr), request("1", gateway.Read{}))
	p.stall()
	stream := openStream(t, c, p.addr)
	lost := request("2", gateway.Write{})
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if _, err := stream.Do(ctx, lost); err == nil {
		t.Fatal("a silent link answered")
	}
	got, err := c.QueryOutcome(t.Context(), p.addr, lost.From, lost.Serial)
	if _, unknown := got.(gateway.OutcomeUnknown); err != nil || !unknown {
		t.Fatalf("outcome %#v, %v", got, err)
	}
	stream.ReplaceIfSilent(50 * time.Millisecond)
	mustDo(t, openStream(t, c, p.addr), request("3", gateway.Read{}))
}

// A link on which a message has arrived since a request was sent must not be replaced because of that request.
func TestBusyLinkIsKept(t *testing.T) {
	h := serveStub(t, &stubBackend{})
	c := newClient()
	stream := openStream(t, c, h.addr)
	mustDo(t, stream, request("1", gateway.Read{}))
	stream.ReplaceIfSilent(time.Hour)
	if stream.(*linkStream).link.broken() {
		t.Error("a link that is not silent was replaced")
	}
}

// The sender queries the outcome of a slow statement while it runs and after it has finished.
func TestQueryOutcomeOverTheWire(t *testing.T) {
	s := &stubBackend{hold: make(chan struct{})}
	h := serveStub(t, s)
	c := newClient()
	r := request("1", gateway.Write{})
	done := make(chan error, 1)
	stream := openStream(t, c, h.addr)
	go func() {
		_, err := stream.Do(context.Background(), r)
		done <- err
	}()
	eventually(t, "the statement runs", func() bool { return h.ForwardedCount() == 1 })
	if got, err := c.QueryOutcome(t.Context(), h.addr, r.From, r.Serial); got != (gateway.OutcomeRunning{}) {
		t.Errorf("while it runs: %#v, %v", got, err)
	}
	close(s.hold)
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	got, err := c.QueryOutcome(t.Context(), h.addr, r.From, r.Serial)
	if kept, ok := got.(gateway.OutcomeDone); err != nil || !ok || !strings.HasSuffix(kept.Reply.Reply.Signature, " "+r.Request.ID) {
		t.Errorf("afterwards: %#v, %v", got, err)
	}
}

// A host follows the store through another host. It is sent a full update first, and then the changes.
func TestFeedOverTheWire(t *testing.T) {
	s := &stubBackend{}
	h := serveStub(t, s)
	f, err := newClient().Feed(t.Context(), h.addr, follow.FeedRequest{})
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	first, err := f.Next(eventTimeout)
	if err != nil || !first.Full || len(first.Items) != 3 || first.Revision != 2 {
		t.Fatalf("first %+v, %v", first, err)
	}
	s.change()
	for {
		next, err := f.Next(eventTimeout)
		if err != nil {
			t.Fatal(err)
		}
		if next.Full {
			t.Errorf("a full update was sent again: %+v", next)
		}
		if next.Revision == 3 {
			break
		}
	}
	h.Stop()
	for {
		if _, err := f.Next(eventTimeout); err != nil {
			return
		}
	}
}

func TestProbeOverTheWire(t *testing.T) {
	h := serveStub(t, &stubBackend{})
	got, err := newClient().Probe(t.Context(), h.addr, stubGroup, "a")
	if err != nil || !got.IsPrimary || got.Received.LSN != 5 {
		t.Errorf("%+v, %v", got, err)
	}
	if _, err := newClient().Probe(t.Context(), h.addr, "nothing", "a"); err == nil {
		t.Error("a probe for an unknown group succeeded")
	}
}

// A transaction is rolled back because its stream was closed, and its next statement arrives all the same. It must not run
// outside a transaction, nor may a statement run in a transaction that it does not belong to.
func TestStatementWithoutItsTransactionIsDeclined(t *testing.T) {
	h := serveStub(t, &stubBackend{})
	c := newClient()
	stream := openStream(t, c, h.addr)
	mustDo(t, stream, begin("1"))
	stream.Close()
	eventually(t, "the transaction ended", func() bool { return h.ForwardedCount() == 0 })
	if out, err := stream.Do(t.Context(), continuation("2", gateway.Write{})); err != nil || out.Declined != gateway.NoTransaction {
		t.Errorf("answered with %+v, %v", out, err)
	}
	other := openStream(t, c, h.addr)
	mustDo(t, other, begin("3"))
	if out, err := other.Do(t.Context(), request("4", gateway.Read{})); err != nil || out.Declined != gateway.NoTransaction {
		t.Errorf("a statement without a transaction ran in an open one: %+v, %v", out, err)
	}
}

// Guards against a stopping host that keeps transactions of other hosts open, or exits without a reply to a statement of
// theirs that still runs.
func TestStoppingHostEndsForwardedWork(t *testing.T) {
	s := &stubBackend{}
	h := serveStub(t, s)
	c := newClient()
	idle, running := openStream(t, c, h.addr), openStream(t, c, h.addr)
	mustDo(t, idle, begin("1"))
	s.mu.Lock()
	s.hold = make(chan struct{})
	s.mu.Unlock()
	defer close(s.hold)
	replies := make(chan *gateway.PeerReply, 1)
	go func() {
		out, err := running.Do(context.Background(), request("2", gateway.Write{}))
		if err != nil {
			t.Error(err)
		}
		replies <- out
	}()
	eventually(t, "the member runs the statement", func() bool { return s.held.Load() == 1 })
	h.EnterShutdown(shutdown.EndingTransactions)
	eventually(t, "the transaction ended", func() bool { return h.ForwardedCount() == 1 })
	if out, err := idle.Do(t.Context(), continuation("3", gateway.Commit{})); err != nil || out.Declined != gateway.NoTransaction {
		t.Errorf("the commit was answered with %+v, %v", out, err)
	}
	h.EnterShutdown(shutdown.AnsweringUnknown)
	if out := <-replies; out == nil || out.Reply.Failure == nil || out.Reply.Failure.Code != gateway.InDoubt {
		t.Errorf("the running write was answered with %+v", out)
	}
	eventually(t, "all replies are sent", func() bool { return h.PendingReplies() == 0 })
}

// Guards against a request or reply above the bound that ends the link, and with it the transactions of all other callers.
func TestMessageAboveTheBoundKeepsTheLink(t *testing.T) {
	h := serveStub(t, &stubBackend{})
	c := newClient()
	one, two := openStream(t, c, h.addr), openStream(t, c, h.addr)
	mustDo(t, two, begin("2a"))
	if _, err := one.Do(t.Context(), request(strings.Repeat("x", maxMessageSize), gateway.Write{})); !errors.Is(err, gateway.ErrNotSent) {
		t.Errorf("request: %v, want ErrNotSent", err)
	}
	out, err := one.Do(t.Context(), request(strings.Repeat("x", maxMessageSize/2), gateway.Write{})) // its reply holds the id twice
	if err != nil || out.Reply.Failure == nil || out.Reply.Failure.Code != gateway.InDoubt {
		t.Errorf("reply: %.200v, %v; want InDoubt", out, err)
	}
	mustDo(t, two, continuation("2b", gateway.Commit{}))
}
