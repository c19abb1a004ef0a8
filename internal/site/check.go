package site

import (
	"fmt"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"pearlatch/core/group"
	"pearlatch/internal/gateway"
)

// maxRecent is how many messages and answers of a session are kept for findings, and maxRecentText bounds each.
const maxRecent, maxRecentText = 8, 120

// Received implements platformtest.Recorder.
func (s *session) Received(message string) { s.remember("got", message) }

// Sent implements platformtest.Recorder.
func (s *session) Sent(answer string) { s.remember("sent", answer) }

func (s *session) remember(what, text string) {
	if len(s.recent) == maxRecent {
		s.recent = append(s.recent[:0], s.recent[1:]...)
	}
	s.recent = append(s.recent, fmt.Sprintf("%s %.*q", what, maxRecentText, text))
}

// Position implements platformtest.Positioned.
func (s *session) Position() (state gateway.State, applied group.Position) {
	s.member.change(func() { state, applied = s.state, s.member.catchUp(time.Now()) })
	return state, applied
}

// report notes a promise that a statement breaks, with the latest messages of the session.
func (s *session) report(kind string, f gateway.RunStatement, format string, args ...any) {
	s.member.group.site.history.Broken(kind+": member %s, request %s: %s; the connection: %s",
		s.member.id, f.Request.ID, fmt.Sprintf(format, args...), strings.Join(s.recent, ", "))
}

// checkAsked notes a statement that no caller sent, or with another text.
func (s *session) checkAsked(f gateway.RunStatement) {
	r, ok := s.member.group.site.history.issued(f.Request.ID)
	if !ok {
		s.report("UNASKED", f, "no caller sent it")
		return
	}
	text := f.Request.Text
	e, prepared := f.Request.Statement.(gateway.Execute)
	if prepared {
		text = e.Arguments
	}
	if r.known && (r.text != xxhash.Sum64String(text) || r.prepared != prepared) {
		s.report("UNASKED", f, "its caller sent another text than %.*q", maxRecentText, f.Request.Text)
	}
}

// checkSession notes a statement that runs outside its caller's transaction, inside another one, or with other values than
// its caller's session holds. The group's mu must be held.
func (s *session) checkSession(f gateway.RunStatement) {
	r, _ := s.member.group.site.history.issued(f.Request.ID)
	if !r.known {
		return
	}
	inTransaction := s.state == gateway.InTransaction
	switch {
	case r.transaction == "" && inTransaction:
		s.report("PINNED", f, "runs in a transaction, and its caller has none")
	case r.transaction != "" && !inTransaction:
		s.report("PINNED", f, "runs outside its caller's transaction %s", r.transaction)
	case inTransaction && s.transaction != "" && s.transaction != r.transaction:
		s.report("PINNED", f, "runs in transaction %s, its caller's is %s", s.transaction, r.transaction)
	case inTransaction && s.transaction == "" && !r.first:
		s.report("PINNED", f, "runs on another connection than the first statement of %s", r.transaction)
	}
	if inTransaction {
		s.transaction = r.transaction
	}
	if _, ends := f.Request.Statement.(gateway.Commit); !ends && xxhash.Sum64String(s.row(f)) != r.held {
		s.report("PINNED", f, "runs with %.*q, which its caller's session doesn't hold", maxRecentText, s.row(f))
	}
}
