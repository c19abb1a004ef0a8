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

// Exchange runs the units of one transaction. See upstream.Exchange for its methods.
type Exchange interface {
	Do(ctx context.Context, u *statement.Unit, sink func([]byte) error) (statement.Outcome, error)
	Cancel(ctx context.Context) error
	Close()
}

// Handler answers the calls of other hosts. Its methods are called from several goroutines.
type Handler interface {
	// Begin opens an exchange with a group that this host owns. The error is a *statement.Refusal.
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

// maxMessageSize bounds a message of the inner protocol, in bytes. Since a unit is sent as one message, the bound is somewhat
// above the size of the largest message of a caller.
const maxMessageSize = postgres.MaxFrameSize + 1<<20

// streamOptions returns the drpc options for both sides of a connection.
func streamOptions() drpcmanager.Options {
	return drpcmanager.Options{
		WriterBufferSize: writerBufferSize,
		Reader:           drpcwire.ReaderOptions{MaximumBufferSize: maxMessageSize},
	}
}

// writerBufferSize is the number of bytes that drpc collects before it writes.
const writerBufferSize = 4 << 10

// Serve answers the calls of hosts that connect to lis until ctx ends. If tlsConfig is not nil, it uses TLS, and
// the hosts must present the certificates that tlsConfig demands.
func Serve(ctx context.Context, lis net.Listener, h Handler, tlsConfig *tls.Config, traffic *Traffic) error {
	lis = meteredListener{lis, traffic}
	if tlsConfig != nil {
		lis = tls.NewListener(lis, tlsConfig)
	}
	s := drpcserver.NewWithOptions(&router{h: h, traffic: traffic}, drpcserver.Options{Manager: streamOptions()})
	return errors.Wrap(s.Serve(ctx, lis), "serve peers")
}

// router dispatches drpc calls to a handler.
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

// unary serves a call with one request and one reply.
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

// exchange serves a stream of exchanges, one at a time. It closes an open exchange when the stream ends.
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
		answer.serial = in.serial
		out, err := r.runUnit(stream, &x, &in, answer)
		end := &answerMessage{serial: in.serial, end: true, outcome: out, data: answer.buffered}
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

// maxBufferedAnswer is the size in bytes up to which a part of an answer is buffered. It is sent together with the end of the
// answer, or by itself when another part follows.
const maxBufferedAnswer = 8 << 10

// answerWriter sends the parts of an answer. It buffers a short part, so that most answers take a single message: the caller
// sends buffered with the end of the answer.
type answerWriter struct {
	stream   drpc.Stream
	serial   uint64 // of the unit that is answered
	buffered []byte
}

func (w *answerWriter) write(b []byte) error {
	if len(w.buffered) == 0 && len(b) <= maxBufferedAnswer {
		w.buffered = append(w.buffered, b...)
		return nil
	}
	if len(w.buffered) > 0 {
		if err := w.stream.MsgSend(&answerMessage{serial: w.serial, data: w.buffered}, encoding{}); err != nil {
			return err
		}
		w.buffered = w.buffered[:0]
		return w.write(b)
	}
	return w.stream.MsgSend(&answerMessage{serial: w.serial, data: b}, encoding{})
}

// runUnit runs a unit on the open exchange x. The first unit of an exchange opens it.
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
		opened, err := r.h.Begin(&request)
		if err != nil {
			return statement.Outcome{}, err
		}
		*x = opened
	}
	if *x == nil {
		return statement.Outcome{}, statement.NewNotRunRefusal(postgres.CodeProtocolViolation, "no exchange is open on the stream")
	}
	return (*x).Do(stream.Context(), &in.unit, answer.write)
}

// refusalOf returns the refusal in err. The outcome of a unit that failed with another error is unknown.
func refusalOf(err error) statement.Refusal {
	var r *statement.Refusal
	if stderrors.As(err, &r) {
		return *r
	}
	return statement.Refusal{Code: postgres.CodeTransactionUnknown, Reason: err.Error()}
}
