package standin

import (
	"time"

	"pearlatch/io/postgres"
)

// commitWrites appends the transaction's writes to the log.
func (s *session) commitWrites() *sqlError {
	m := s.member
	m.mu.Lock()
	defer m.mu.Unlock()
	defer m.releaseRows(s)
	writes := s.tx.writes
	s.tx.writes = nil
	if len(writes) == 0 {
		return nil
	}
	if !m.running || m.inRecovery || m.readOnly {
		return newError(postgres.CodeReadOnly, "cannot commit in a read-only member")
	}
	m.wal.append(m.fence.Term, m.timeline, writes)
	return nil
}

func (s *session) dropWrites() {
	s.member.mu.Lock()
	defer s.member.mu.Unlock()
	s.tx.writes = nil
	s.member.releaseRows(s)
}

// lockRow waits until no other transaction holds the row.
func (s *session) lockRow(key string) *sqlError {
	m := s.member
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lock(m.rows, s, key, func() { s.tx.rows = append(s.tx.rows, key) })
}

// lock takes key of the given table of locks for s. The member must be locked.
func (m *Member) lock(table map[string]*session, s *session, key string, taken func()) *sqlError {
	wake := time.AfterFunc(lockTimeout, m.released.Broadcast)
	defer wake.Stop()
	deadline := time.Now().Add(lockTimeout)
	for {
		holder := table[key]
		if holder == s {
			return nil
		}
		if holder == nil {
			table[key] = s
			taken()
			return nil
		}
		if s.cancel.Swap(false) {
			return newError(postgres.CodeQueryCanceled, "canceling statement due to user request")
		}
		if !time.Now().Before(deadline) {
			return newError("55P03", "lock not available: %s", key)
		}
		m.released.Wait()
	}
}

// get reads a key as the transaction sees it.
func (s *session) get(key string) (string, bool) {
	s.member.mu.Lock()
	defer s.member.mu.Unlock()
	for i := len(s.tx.writes) - 1; i >= 0; i-- {
		if s.tx.writes[i].key == key {
			return s.tx.writes[i].value, true
		}
	}
	v, ok := s.member.wal.state[key]
	return v, ok
}

// put writes a key within the transaction, after taking its row.
func (s *session) put(key, value string) *sqlError {
	if err := s.lockRow(key); err != nil {
		return err
	}
	s.member.mu.Lock()
	defer s.member.mu.Unlock()
	s.tx.writes = append(s.tx.writes, write{key, value})
	return nil
}
