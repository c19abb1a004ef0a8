package standin

import (
	"strconv"
	"time"

	"pearlatch/core/group"
)

// recordOverhead is what a log record takes besides its key and value, in bytes.
const recordOverhead = 64

// firstLSN is where an empty log starts.
const firstLSN group.LSN = 1 << 24

// record is one committed transaction in a member's log.
type record struct {
	term     group.Term // term of the primary that wrote it
	timeline uint32
	end      group.LSN
	at       time.Time // when it was written at the primary
	writes   []write
}

// write sets one key of the store. Keys carry their table as a prefix.
type write struct{ key, value string }

// wal is a member's log and the state that results from applying it.
type wal struct {
	records []record
	applied int // how many of records are in state
	state   map[string]string
}

func newWAL() wal { return wal{state: map[string]string{}} }

// received returns the end of the log.
func (w *wal) received() group.LSN { return w.endOf(len(w.records)) }

// replayed returns the end of what state shows.
func (w *wal) replayed() group.LSN { return w.endOf(w.applied) }

func (w *wal) endOf(n int) group.LSN {
	if n == 0 {
		return firstLSN
	}
	return w.records[n-1].end
}

// logTerm returns the term of the newest applied term record.
func (w *wal) logTerm() group.Term {
	v, _ := strconv.ParseUint(w.state[termKey], 10, 64)
	return group.Term(v)
}

// append adds a record that the member itself writes, and applies it.
func (w *wal) append(term group.Term, timeline uint32, writes []write) {
	size := recordOverhead
	for _, x := range writes {
		size += len(x.key) + len(x.value)
	}
	w.records = append(w.records, record{
		term: term, timeline: timeline, at: time.Now(), writes: writes,
		end: w.received() + group.LSN(size),
	})
	w.applyTo(len(w.records))
}

// applyTo applies the log's first n records.
func (w *wal) applyTo(n int) {
	for ; w.applied < n; w.applied++ {
		for _, x := range w.records[w.applied].writes {
			w.state[x.key] = x.value
		}
	}
}

// follows reports whether w's log is a beginning of source's.
func (w *wal) follows(source *wal) bool {
	n := len(w.records)
	if n == 0 {
		return true
	}
	if n > len(source.records) {
		return false
	}
	a, b := w.records[n-1], source.records[n-1]
	return a.end == b.end && a.term == b.term && a.timeline == b.timeline && a.at.Equal(b.at)
}

// rewind drops what w holds beyond its common beginning with source, as a
// rebuild by the platform does.
func (w *wal) rewind(source *wal) {
	n := min(len(w.records), len(source.records))
	for n > 0 {
		a, b := w.records[n-1], source.records[n-1]
		if a.end == b.end && a.term == b.term && a.at.Equal(b.at) {
			break
		}
		n--
	}
	w.records = append([]record(nil), w.records[:n]...)
	w.state, w.applied = map[string]string{}, 0
	w.applyTo(n)
}
