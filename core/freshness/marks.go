package freshness

import (
	"sync"

	"github.com/cespare/xxhash/v2"

	"pearlatch/core/group"
)

// markShards is the number of shards of Marks. A power of two, so that the
// shard is taken from the low bits of the hash.
const markShards = 64

// SessionMarks holds, for each session that wrote recently, the position that its
// reads must reach. A session without an entry wrote nothing that some replica
// may still lack. The zero value is empty and ready for use.
type SessionMarks struct {
	shards [markShards]markShard
}

type markShard struct {
	mu    sync.Mutex
	marks map[string]group.Position
}

func (m *SessionMarks) shard(session string) *markShard {
	return &m.shards[xxhash.Sum64String(session)%markShards]
}

// Raise records that session has had the write at p acknowledged. A mark never
// falls.
func (m *SessionMarks) Raise(session string, p group.Position) {
	s := m.shard(session)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.marks == nil {
		s.marks = map[string]group.Position{}
	}
	if s.marks[session].Compare(p) < 0 {
		s.marks[session] = p
	}
}

// Get returns the session's mark, or the zero position.
func (m *SessionMarks) Get(session string) group.Position {
	s := m.shard(session)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.marks[session]
}

// Prune drops the marks that every member has reached.
func (m *SessionMarks) Prune(reached group.Position) {
	for i := range m.shards {
		s := &m.shards[i]
		s.mu.Lock()
		for session, p := range s.marks {
			if p.Compare(reached) <= 0 {
				delete(s.marks, session)
			}
		}
		s.mu.Unlock()
	}
}

// Len returns the number of sessions that have a mark.
func (m *SessionMarks) Len() int {
	n := 0
	for i := range m.shards {
		s := &m.shards[i]
		s.mu.Lock()
		n += len(s.marks)
		s.mu.Unlock()
	}
	return n
}
