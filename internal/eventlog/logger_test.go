package eventlog

import (
	"bytes"
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

// Nobody reads the standard output: the pipe is full and a write never returns. A
// statement that logs its failure must go on at once, and the loss must be counted.
func TestBlockedOutputDoesNotBlockLogging(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, w := io.Pipe() // unread, so that the first write blocks
		l := New(w, time.Now)
		started := time.Now()
		const lines = 4 * queueSize
		for i := range lines {
			if i%eventBurst == 0 {
				time.Sleep(3 * time.Second) // so that the rate is not what bounds it
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

// Under overload thousands of statements are refused a second. Their lines must not
// push out the one that says which primary was lost.
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
			t.Error("nothing says that lines were dropped")
		}
	})
}
