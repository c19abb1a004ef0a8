package peer

import (
	"sync"

	"github.com/pkg/errors"
	"storj.io/drpc"
)

// linkQueueSize is the number of messages that may be queued on a link, so that the backlog of an overloaded host that reads
// slowly is at most a second of messages.
const linkQueueSize = 256

// errLinkFull means that the queue of a link is full, since the other host reads too slowly.
var errLinkFull = errors.New("the link is full")

// linkWriter queues messages and sends them on a drpc stream from its own goroutine, so that senders do not wait for a host
// that doesn't read. Its methods may be called from several goroutines. Use newLinkWriter.
type linkWriter struct {
	stream drpc.Stream
	queue  chan queuedMessage
	once   sync.Once
	// closed is closed when sending fails or close is called.
	closed chan struct{}
}

// queuedMessage is a message to send.
type queuedMessage struct {
	drpc.Message
	// sent is closed once the message has been sent. It may be nil.
	sent chan struct{}
	// replace is called if the message can't be encoded. It returns the message to send instead, or nil. It may be nil and
	// must not block.
	replace func(err error) drpc.Message
}

// newLinkWriter returns a writer on the stream. It calls onError when sending fails.
func newLinkWriter(stream drpc.Stream, onError func()) *linkWriter {
	w := &linkWriter{stream: stream, queue: make(chan queuedMessage, linkQueueSize), closed: make(chan struct{})}
	go w.run(onError)
	return w
}

func (w *linkWriter) run(onError func()) {
	for {
		select {
		case m := <-w.queue:
			if err := w.write(m); err != nil {
				w.close()
				onError()
				return
			}
			if m.sent != nil {
				close(m.sent)
			}
		case <-w.closed:
			return
		}
	}
}

// write sends a message, or what replaces it: a message that can't be encoded must not end the link, which carries the streams
// of many callers.
func (w *linkWriter) write(m queuedMessage) error {
	err := w.stream.MsgSend(m.Message, encoding{})
	if !errors.As(err, new(encodeError)) {
		return err
	}
	if m.replace == nil {
		return nil
	}
	if other := m.replace(err); other != nil {
		return w.stream.MsgSend(other, encoding{})
	}
	return nil
}

// send queues a message. It never blocks. The error is errLinkFull if the queue is full.
func (w *linkWriter) send(m drpc.Message) error { return w.enqueue(queuedMessage{Message: m}) }

// sendAndWait queues a message and waits until it has been sent or the writer is closed.
func (w *linkWriter) sendAndWait(q queuedMessage) error {
	q.sent = make(chan struct{})
	if err := w.enqueue(q); err != nil {
		return err
	}
	select {
	case <-q.sent:
	case <-w.closed:
	}
	return nil
}

func (w *linkWriter) enqueue(m queuedMessage) error {
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

// close stops sending. Queued messages are lost.
func (w *linkWriter) close() { w.once.Do(func() { close(w.closed) }) }
