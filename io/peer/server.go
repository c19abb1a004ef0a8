package peer

import (
	"context"
	"crypto/tls"
	stderrors "errors"
	"net"
	"time"

	"github.com/pkg/errors"
	"storj.io/drpc"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"

	"pearlatch/core/statement"
	"pearlatch/io/postgres"
)

// Exchange runs the units of one transaction. See upstream.Exchange.
type Exchange interface {
	Do(ctx context.Context, u *statement.Unit, sink func([]byte) error) (statement.Outcome, error)
	Cancel(ctx context.Context) error
	Close()
}

// Handler answers other hosts.
type Handler interface {
	// Begin opens an exchange with the group that this host owns. The error is a
	// *statement.Refusal.
	Begin(r *statement.Request) (Exchange, error)
	Probe(ctx context.Context, m *Probe) (*Probe, error)
	Relay(ctx context.Context, m *Relay) (*Verdict, error)
	Reach(ctx context.Context, m *Reach) (*Verdict, error)
	Cancel(ctx context.Context, m *Cancel) (*Verdict, error)
	Pull(ctx context.Context, m *Pull) (*Pulled, error)
	Confirm(ctx context.Context, m *Confirm) (*Verdict, error)
	Released(ctx context.Context, m *Released) (*Verdict, error)
	Assume(ctx context.Context, m *Assume) (*Verdict, error)
}

// maxMessageSize bounds a message of the inner protocol, in bytes. A unit is one
// message, so it is a little more than a caller's largest message.
const maxMessageSize = postgres.MaxFrameSize + 1<<20

// streamOptions are what both sides of a connection use.
func streamOptions() drpcmanager.Options {
	return drpcmanager.Options{
		WriterBufferSize: writerBufferSize,
		Reader:           drpcwire.ReaderOptions{MaximumBufferSize: maxMessageSize},
	}
}

// writerBufferSize is how much drpc collects before it writes, in bytes.
const writerBufferSize = 4 << 10

// Serve answers hosts that connect to lis until ctx ends. A TLS configuration
// that is not nil demands certificates from them.
func Serve(ctx context.Context, lis net.Listener, h Handler, secure *tls.Config, traffic *Traffic) error {
	lis = meteredListener{lis, traffic}
	if secure != nil {
		lis = tls.NewListener(lis, secure)
	}
	s := drpcserver.NewWithOptions(&router{h: h, traffic: traffic}, drpcserver.Options{Manager: streamOptions()})
	return errors.Wrap(s.Serve(ctx, lis), "serve peers")
}

// router maps the names of calls to a handler.
type router struct {
	h       Handler
	traffic *Traffic
}

var _ drpc.Handler = (*router)(nil)

// HandleRPC implements drpc.Handler.
func (r *router) HandleRPC(stream drpc.Stream, rpc string) error {
	switch rpc {
	case exchangeCall:
		return r.exchange(stream)
	}
	r.traffic.Served.Add(1)
	switch rpc {
	case probeCall:
		return unary(stream, r.h.Probe)
	case relayCall:
		return unary(stream, r.h.Relay)
	case reachCall:
		return unary(stream, r.h.Reach)
	case cancelCall:
		return unary(stream, r.h.Cancel)
	case pullCall:
		return unary(stream, r.h.Pull)
	case confirmCall:
		return unary(stream, r.h.Confirm)
	case releasedCall:
		return unary(stream, r.h.Released)
	case assumeCall:
		return unary(stream, r.h.Assume)
	}
	return errors.Errorf("call %q is not known to version %d", rpc, Version)
}

// unary answers one message with one.
func unary[In, Out any, P interface {
	*In
	message
}, Q interface {
	*Out
	message
}](stream drpc.Stream, handle func(context.Context, *In) (*Out, error)) error {
	var in In
	if err := stream.MsgRecv(P(&in), encoding{}); err != nil {
		return err
	}
	out, err := handle(stream.Context(), &in)
	if err != nil {
		return err
	}
	return stream.MsgSend(Q(out), encoding{})
}

// exchange serves a stream that carries one exchange after another.
func (r *router) exchange(stream drpc.Stream) error {
	var x Exchange
	defer func() {
		if x != nil {
			x.Close()
		}
	}()
	answer := &answerWriter{stream: stream}
	for {
		var in unitMessage
		if err := stream.MsgRecv(&in, encoding{}); err != nil {
			return err
		}
		out, err := r.runUnit(stream, &x, &in, answer)
		end := &answerMessage{end: true, outcome: out, data: answer.buffered}
		if err != nil {
			end.refused, end.refusal = true, refusalOf(err)
		}
		if err != nil || !out.Continues() {
			if x != nil {
				x.Close()
			}
			x = nil
		}
		if err := stream.MsgSend(end, encoding{}); err != nil {
			return err
		}
		answer.buffered = answer.buffered[:0]
	}
}

// maxBufferedAnswer is up to how many bytes of an answer wait for its end, to go with
// it in one message. Longer parts are sent as they come.
const maxBufferedAnswer = 8 << 10

// answerWriter sends an answer. It holds a short last part back, which takes a
// message less for most statements.
type answerWriter struct {
	stream   drpc.Stream
	buffered []byte
}

func (w *answerWriter) write(b []byte) error {
	if len(w.buffered) == 0 && len(b) <= maxBufferedAnswer {
		w.buffered = append(w.buffered, b...)
		return nil
	}
	if len(w.buffered) > 0 {
		if err := w.stream.MsgSend(&answerMessage{data: w.buffered}, encoding{}); err != nil {
			return err
		}
		w.buffered = w.buffered[:0]
		return w.write(b)
	}
	return w.stream.MsgSend(&answerMessage{data: b}, encoding{})
}

func (r *router) runUnit(stream drpc.Stream, x *Exchange, in *unitMessage, answer *answerWriter) (statement.Outcome, error) {
	if in.version != Version {
		return statement.Outcome{}, statement.NewNotRunRefusal(postgres.CodeFeatureNotSupported,
			"the owner of the group speaks another version of the inner protocol")
	}
	in.unit.Deadline = time.Now().Add(in.timeLeft)
	if in.first {
		if *x != nil {
			(*x).Close()
			*x = nil
		}
		request := in.request
		began, err := r.h.Begin(&request)
		if err != nil {
			return statement.Outcome{}, err
		}
		*x = began
	}
	if *x == nil {
		return statement.Outcome{}, statement.NewNotRunRefusal(postgres.CodeProtocolViolation, "no exchange is open on the stream")
	}
	return (*x).Do(stream.Context(), &in.unit, answer.write)
}

func refusalOf(err error) statement.Refusal {
	var r *statement.Refusal
	if stderrors.As(err, &r) {
		return *r
	}
	return statement.Refusal{Code: postgres.CodeTransactionUnknown, Reason: err.Error()}
}
