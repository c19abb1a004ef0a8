package standin

import "time"

// CouldServe reports whether the replica shows a value of a key, and everything
// that was written longer ago than age, now or when patience has passed. An age
// of zero asks for the value alone. It looks into the stand-in, as no proxy can.
func (m *Member) CouldServe(table, key, value string, age, patience time.Duration) bool {
	primary := m.group.Primary()
	if primary == nil || primary == m {
		return false
	}
	primary.mu.Lock()
	records := primary.wal.records
	primary.mu.Unlock()
	m.mu.Lock()
	lag := m.options.ReceiveLag + m.options.ApplyLag + 3*m.lagBy
	shown := m.wal.applied
	usable := m.running && m.inRecovery
	m.mu.Unlock()
	at := time.Now().Add(patience)
	for shown < len(records) && !records[shown].at.Add(lag).After(at) {
		shown++
	}
	if !usable || age > 0 && shown < len(records) && records[shown].at.Before(at.Add(-age)) {
		return false
	}
	return value == "" || !writtenAfter(records, shown, table+"/"+key, value)
}

// writtenAfter reports whether the records from the n-th on set key to value.
func writtenAfter(records []record, n int, key, value string) bool {
	for _, r := range records[min(n, len(records)):] {
		for _, w := range r.writes {
			if w.key == key && w.value == value {
				return true
			}
		}
	}
	return false
}
