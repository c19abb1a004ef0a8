package eventlog

import (
	"bytes"
	"io"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/pkg/errors"
)

const (
	// queueSize is how many lines wait for the output: a second's worth of the
	// most that a host writes under overload.
	queueSize = 1024
	// eventBurst and eventRate bound the lines of one event: a storm of one kind
	// must not push out the others. An operator reads a fraction of that.
	eventBurst = 200
	eventRate  = 100 // lines a second
	// reportInterval is the pause between two reports of what was dropped.
	reportInterval = time.Second
	// closeTimeout bounds the wait for the output at the end.
	closeTimeout = 200 * time.Millisecond
)

// EventField is the field that names the kind of a line.
const EventField = "event"

// Logger is a log.Logger that encodes lines as JSON and writes them from a goroutine
// of its own. When the output is slow, or one event comes too often, lines are dropped
// and counted. Use New.
type Logger struct {
	out     io.Writer
	now     func() time.Time
	lines   chan []byte
	closing chan struct{}
	done    chan struct{}

	mu      sync.Mutex
	buckets map[string]*bucket
	// dropped counts lines by event since the last report, total since the start.
	dropped map[string]int64
	total   map[string]int64
}

var _ log.Logger = (*Logger)(nil)

// bucket holds how many lines an event may still write now.
type bucket struct {
	tokens     float64
	refilledAt time.Time
}

// New returns a logger that writes to out until Close.
func New(out io.Writer, now func() time.Time) *Logger {
	l := &Logger{
		out: out, now: now, lines: make(chan []byte, queueSize), closing: make(chan struct{}), done: make(chan struct{}),
		buckets: map[string]*bucket{}, dropped: map[string]int64{}, total: map[string]int64{},
	}
	go l.write()
	return l
}

// Log implements log.Logger. It never blocks.
func (l *Logger) Log(keyvals ...any) error {
	event := eventOf(keyvals)
	if !l.admit(event) {
		return nil
	}
	var b bytes.Buffer
	if err := log.NewJSONLogger(&b).Log(keyvals...); err != nil {
		return errors.Wrap(err, "encode a log line")
	}
	select {
	case l.lines <- b.Bytes():
	default:
		l.countDropped(event)
	}
	return nil
}

// eventOf returns the value of EventField, or the empty string.
func eventOf(keyvals []any) string {
	for i := 0; i+1 < len(keyvals); i += 2 {
		if keyvals[i] == EventField {
			event, _ := keyvals[i+1].(string)
			return event
		}
	}
	return ""
}

// admit takes a line off the event's bucket.
func (l *Logger) admit(event string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	b := l.buckets[event]
	if b == nil {
		b = &bucket{tokens: eventBurst, refilledAt: now}
		l.buckets[event] = b
	}
	b.tokens = min(eventBurst, b.tokens+now.Sub(b.refilledAt).Seconds()*eventRate)
	b.refilledAt = now
	if b.tokens < 1 {
		l.dropped[event]++
		l.total[event]++
		return false
	}
	b.tokens--
	return true
}

func (l *Logger) countDropped(event string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dropped[event]++
	l.total[event]++
}

// Dropped returns how many lines of each event were dropped since the start.
func (l *Logger) Dropped() map[string]int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[string]int64, len(l.total))
	for event, n := range l.total {
		out[event] = n
	}
	return out
}

// write moves lines to the output.
func (l *Logger) write() {
	defer close(l.done)
	report := time.NewTicker(reportInterval)
	defer report.Stop()
	for {
		select {
		case line := <-l.lines:
			l.writeLine(line)
		case <-report.C:
			l.report()
		case <-l.closing:
			l.flush()
			return
		}
	}
}

// writeLine writes a line. There is nowhere to report a failure of the output to.
func (l *Logger) writeLine(line []byte) { _, _ = l.out.Write(line) }

// flush writes what waits at the end.
func (l *Logger) flush() {
	for {
		select {
		case line := <-l.lines:
			l.writeLine(line)
		default:
			return
		}
	}
}

// report writes a line for each event of which lines were dropped.
func (l *Logger) report() {
	l.mu.Lock()
	dropped := l.dropped
	l.dropped = map[string]int64{}
	l.mu.Unlock()
	for event, n := range dropped {
		var b bytes.Buffer
		if err := log.NewJSONLogger(&b).Log(EventField, "lines_dropped", "of", event, "count", n); err == nil {
			l.writeLine(b.Bytes())
		}
	}
}

// Close writes what waits, unless the output takes too long.
func (l *Logger) Close() {
	close(l.closing)
	select {
	case <-l.done:
	case <-time.After(closeTimeout):
	}
}
