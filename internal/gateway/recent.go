package gateway

import (
	"sync"
	"time"
)

// recent remembers the requests that other hosts sent lately. A host whose connection
// broke or went silent asks by Recall what became of its request: a write whose answer
// got lost between two hosts need not stay in doubt, and one that never arrived may be
// sent again elsewhere. The zero value is ready for use.
type recent struct {
	mu      sync.Mutex
	entries map[requestKey]*recentEntry
	// order holds the keys, the oldest first.
	order []requestKey
}

type requestKey struct {
	from   string
	serial uint64
}

type recentEntry struct {
	// at is when the request came, or was recalled before it came.
	at time.Time
	// refused is true for a request that was recalled before it came.
	refused bool
	// reply is nil while the request runs.
	reply *PeerReply
}

// recentTime is how long a request is remembered: the longest timeout of the users'
// statements, 2 s, and as long again for the questions after it.
const recentTime = 4 * time.Second

// admit records the request and reports whether it may run.
func (r *recent) admit(k requestKey, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.entries[k]; e != nil {
		return false
	}
	r.add(k, &recentEntry{at: now})
	return true
}

// done records the answer to a request.
func (r *recent) done(k requestKey, reply *PeerReply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.entries[k]; e != nil {
		e.reply = reply
	}
}

// recall says what became of a request. One that is not known is refused from then on,
// so that it can't run after its sender was told.
func (r *recent) recall(k requestKey, now time.Time, process string) Recalled {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entries[k]
	switch {
	case e == nil:
		r.add(k, &recentEntry{at: now, refused: true})
		return RecalledUnknown{process}
	case e.refused:
		return RecalledUnknown{process}
	case e.reply == nil:
		return RecalledRunning{}
	}
	return RecalledDone{e.reply}
}

func (r *recent) add(k requestKey, e *recentEntry) {
	if r.entries == nil {
		r.entries = map[requestKey]*recentEntry{}
	}
	for len(r.order) > 0 {
		oldest := r.entries[r.order[0]]
		if e.at.Sub(oldest.at) < recentTime {
			break
		}
		delete(r.entries, r.order[0])
		r.order = r.order[1:]
	}
	r.entries[k] = e
	r.order = append(r.order, k)
}
