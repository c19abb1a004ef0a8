package eventlog

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// syncBuffer is a buffer for one writer and one reader.
type syncBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (s *syncBuffer) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(p)
}

func (s *syncBuffer) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.String()
}

// The standard output is a full pipe that nobody reads, so a write never returns. A statement that logs its failure must
// continue at once, and the dropped lines must be counted.
func TestBlockedOutputDoesNotBlockLogging(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, w := io.Pipe() // never read, so the first write blocks
		l := New(w, time.Now)
		started := time.Now()
		const lines = 4 * queueSize
		for i := range lines {
			if i%eventBurst == 0 {
				time.Sleep(3 * time.Second) // refills the event's bucket, so that only the queue limits the lines
			}
			if err := l.Log(EventField, "statement_failed", "request", i); err != nil {
				t.Fatal(err)
			}
		}
		if waited := time.Since(started) - (lines+eventBurst-1)/eventBurst*3*time.Second; waited != 0 {
			t.Errorf("logging waited for %s", waited)
		}
		if n := l.Dropped()["statement_failed"]; n < lines-queueSize-1 {
			t.Errorf("%d lines counted as dropped", n)
		}
		l.Close()
		_ = r.Close()
	})
}

// Under overload, thousands of statements are rejected per second. Their lines must not displace the one that reports a
// lost primary.
func TestFrequentEventDoesNotDisplaceOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out syncBuffer
		l := New(&out, time.Now)
		for range 5000 {
			_ = l.Log(EventField, "statement_failed")
		}
		_ = l.Log(EventField, "primary_lost", "member", "a")
		time.Sleep(2 * reportInterval)
		l.Close()
		text := out.String()
		if n := strings.Count(text, "statement_failed"); n > eventBurst+eventRate*3 {
			t.Errorf("%d lines of one event", n)
		}
		if !strings.Contains(text, "primary_lost") {
			t.Error("the other event's line is missing")
		}
		if !strings.Contains(text, `"event":"lines_dropped","of":"statement_failed"`) {
			t.Error("the dropped lines were not reported")
		}
	})
}

// Guards against a text of a caller that ends a log line, so that the rest of it looks like a line of the host.
func TestTextWithLineEndIsOneLine(t *testing.T) {
	var out syncBuffer
	l := New(&out, time.Now)
	if err := l.Log(EventField, "e", "request", "x\r\n{\"event\":\"y\"}\x00\xff\u2028", "a\nb", errors.New("x\ny")); err != nil {
		t.Fatal(err)
	}
	l.Close()
	if got := out.String(); strings.Count(got, "\n") != 1 || !json.Valid([]byte(got)) {
		t.Errorf("logged %q, want one line", got)
	}
}
