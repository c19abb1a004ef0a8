package peer

import (
	"sync"

	"github.com/pkg/errors"
	"storj.io/drpc"
)

// linkQueueSize is how many messages wait for the way to a host. An overloaded host that
// reads slowly is given no more than a second's worth.
const linkQueueSize = 256

// errLinkFull means that the other side reads too slowly.
var errLinkFull = errors.New("the link is full")

// linkWriter sends messages on a stream from a goroutine of its own, so that nobody waits
// for a host that doesn't read. Use newLinkWriter.
type linkWriter struct {
	stream drpc.Stream
	queue  chan drpc.Message
	once   sync.Once
	// closed is closed when the stream failed or close was called.
	closed chan struct{}
}

// newLinkWriter returns a writer on the stream. When writing fails it calls broken.
func newLinkWriter(stream drpc.Stream, broken func()) *linkWriter {
	w := &linkWriter{stream: stream, queue: make(chan drpc.Message, linkQueueSize), closed: make(chan struct{})}
	go w.run(broken)
	return w
}

func (w *linkWriter) run(broken func()) {
	for {
		select {
		case m := <-w.queue:
			if err := w.stream.MsgSend(m, encoding{}); err != nil {
				w.close()
				broken()
				return
			}
		case <-w.closed:
			return
		}
	}
}

// send queues a message. It never waits.
func (w *linkWriter) send(m drpc.Message) error {
	select {
	case <-w.closed:
		return errors.New("the link has ended")
	default:
	}
	select {
	case w.queue <- m:
		return nil
	default:
		return errLinkFull
	}
}

func (w *linkWriter) close() { w.once.Do(func() { close(w.closed) }) }
