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
	// queueSize is the number of lines that can wait for the output: what a host writes at most in one second under
	// overload.
	queueSize = 1024
	// eventBurst and eventRate limit the lines of one event, so that a frequent event doesn't displace the others.
	// An operator reads only a fraction of that.
	eventBurst = 200
	eventRate  = 100 // lines per second
	// reportInterval is the time between two reports of dropped lines.
	reportInterval = time.Second
	// closeTimeout bounds the wait for the output in Close.
	closeTimeout = 200 * time.Millisecond
)

// EventField is the name of the field with the event that a line reports.
const EventField = "event"

// Logger is a log.Logger that encodes lines as JSON and writes them from its own goroutine. If the output is too slow
// or an event is too frequent, it drops lines and counts them. Use New to create one. Its methods may be called from
// several goroutines.
type Logger struct {
	out     io.Writer
	now     func() time.Time
	lines   chan []byte
	closing chan struct{}
	done    chan struct{}

	mu      sync.Mutex
	buckets map[string]*bucket
	// dropped counts the dropped lines of each event since the last report, and total since the start.
	dropped map[string]int64
	total   map[string]int64
}

var _ log.Logger = (*Logger)(nil)

// bucket is the token bucket of an event, with one token per line.
type bucket struct {
	tokens     float64
	refilledAt time.Time
}

// New returns a logger that writes to out until Close is called.
func New(out io.Writer, now func() time.Time) *Logger {
	l := &Logger{
		out: out, now: now, lines: make(chan []byte, queueSize), closing: make(chan struct{}), done: make(chan struct{}),
		buckets: map[string]*bucket{}, dropped: map[string]int64{}, total: map[string]int64{},
	}
	go l.write()
	return l
}

// Log implements log.Logger. It never blocks on the output.
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

// eventOf returns the value of EventField, or the empty string if there is none.
func eventOf(keyvals []any) string {
	for i := 0; i+1 < len(keyvals); i += 2 {
		if keyvals[i] == EventField {
			event, _ := keyvals[i+1].(string)
			return event
		}
	}
	return ""
}

// admit takes a token from the event's bucket. If there is none, it counts the line as dropped and returns false.
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

// Dropped returns how many lines of each event have been dropped since the start.
func (l *Logger) Dropped() map[string]int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[string]int64, len(l.total))
	for event, n := range l.total {
		out[event] = n
	}
	return out
}

// write writes queued lines to the output until Close is called.
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

// writeLine writes a line. Errors of the output are ignored, since there is nowhere to report them.
func (l *Logger) writeLine(line []byte) { _, _ = l.out.Write(line) }

// flush writes the lines that are still queued.
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

// report writes a line for each event with dropped lines.
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

// Close writes the lines that are still queued, but waits no longer than closeTimeout for the output. It must be called at
// most once. Lines that are logged later are not written.
func (l *Logger) Close() {
	close(l.closing)
	select {
	case <-l.done:
	case <-time.After(closeTimeout):
	}
}
