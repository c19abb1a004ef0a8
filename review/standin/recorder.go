//go:build review

package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes record.txt: what was sent, answered and run, and what happened.
type recorder struct {
	started time.Time

	mu   sync.Mutex
	file *os.File
	w    *bufio.Writer
	runs []run
	// reached holds the ids of the requests that reached a member.
	reached map[string]bool
	broken  []string
}

// run is a statement that a member has run.
type run struct {
	member   string
	conn     int
	id, text string
	// values are the session values of the connection.
	values string
	at     time.Time
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{started: time.Now(), file: f, w: bufio.NewWriter(f), reached: map[string]bool{}}, nil
}

func (r *recorder) line(format string, args ...any) {
	fmt.Fprintf(r.w, "%8.3f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

func (r *recorder) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.line(format, args...)
}

// arrived records that a request reached a member that may run it.
func (r *recorder) arrived(member string, conn int, id, text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reached[id] = true
	r.line("reached  %s conn %d id %s %q", member, conn, id, text)
}

func (r *recorder) ran(member string, conn int, id, text, values string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs = append(r.runs, run{member, conn, id, text, values, time.Now()})
	r.line("run      %s conn %d id %s %q values [%s]", member, conn, id, text, values)
}

// breaks records that the rule was broken.
func (r *recorder) breaks(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	text := fmt.Sprintf(format, args...)
	r.broken = append(r.broken, text)
	r.line("BROKEN   %s", text)
}

// finish closes the record and returns what broke the rule.
func (r *recorder) finish() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.w.Flush()
	_ = r.file.Close()
	return r.broken
}
