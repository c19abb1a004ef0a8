//go:build review

package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a model of the platform's metadata store: the calls that PROTOCOL.md lists, over HTTP, without faults.
type store struct {
	mu       sync.Mutex
	revision int64
	items    map[string]*storeItem
	history  []storeItem
	leases   map[int64]*storeLease
	nextID   int64
	changed  chan struct{}
}

type storeItem struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease,omitempty"`
	Removed  bool   `json:"removed,omitempty"`
}

type storeLease struct {
	ttl   time.Duration
	until time.Time
}

func newStore() *store {
	s := &store{items: map[string]*storeItem{}, leases: map[int64]*storeLease{}, nextID: 100, revision: 10, changed: make(chan struct{})}
	go func() {
		for range time.Tick(20 * time.Millisecond) {
			s.expire()
		}
	}()
	return s
}

// write writes a key and returns the revision. mu must be held.
func (s *store) write(key string, value []byte, lease int64) {
	old := s.items[key]
	i := &storeItem{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: lease}
	if old != nil {
		i.Created = old.Created
	}
	s.items[key] = i
	s.history = append(s.history, *i)
}

// remove removes a key. mu must be held.
func (s *store) remove(key string) {
	if s.items[key] == nil {
		return
	}
	delete(s.items, key)
	s.history = append(s.history, storeItem{Key: key, Revision: s.revision, Removed: true})
}

// notify wakes all watches. mu must be held.
func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a key for the operator or a member.
func (s *store) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.write(key, value, 0)
	s.notify()
}

// del removes a key for a member.
func (s *store) del(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.remove(key)
	s.notify()
}

func (s *store) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.until) {
			s.endLease(id)
		}
	}
}

// endLease removes a lease and its keys. mu must be held.
func (s *store) endLease(id int64) {
	delete(s.leases, id)
	s.revision++
	for key, i := range s.items {
		if i.Lease == id {
			s.remove(key)
		}
	}
	s.notify()
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/kv-key", s.getKey)
	mux.HandleFunc("GET /api/kv-range", s.getRange)
	mux.HandleFunc("GET /api/kv-watch", s.getWatch)
	mux.HandleFunc("POST /api/kv-txn", s.postTxn)
	mux.HandleFunc("POST /api/kv-lease", s.postLease)
	mux.HandleFunc("POST /api/kv-keep/{id}", s.postKeep)
	mux.HandleFunc("DELETE /api/kv-lease-end/{id}", s.deleteLease)
	return mux
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) getKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := s.items[r.URL.Query().Get("key")]
	if i == nil {
		answer(w, http.StatusNotFound, map[string]any{"as_of": s.revision})
		return
	}
	answer(w, http.StatusOK, map[string]any{"key": i.Key, "value": i.Value, "revision": i.Revision, "created": i.Created, "lease": i.Lease, "as_of": s.revision})
}

func (s *store) getRange(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q, out := r.URL.Query(), []storeItem{}
	for key, i := range s.items {
		if strings.HasPrefix(key, q.Get("prefix")) && key > q.Get("after") {
			out = append(out, *i)
		}
	}
	slices.SortFunc(out, func(a, b storeItem) int { return strings.Compare(a.Key, b.Key) })
	answer(w, http.StatusOK, map[string]any{"items": out, "has_more": false, "as_of": s.revision})
}

func (s *store) getWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		out := []storeItem{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, q.Get("prefix")) {
				out = append(out, i)
			}
		}
		changed, revision := s.changed, s.revision
		s.mu.Unlock()
		if len(out) > 0 {
			answer(w, http.StatusOK, map[string]any{"events": out, "as_of": revision})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			answer(w, http.StatusOK, map[string]any{"events": out, "as_of": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) postTxn(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Expect []struct {
			Key      string `json:"key"`
			Revision int64  `json:"revision"`
		} `json:"expect"`
		Writes []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease int64  `json:"lease"`
		} `json:"writes"`
		Deletes []string `json:"deletes"`
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current, met := []storeItem{}, true
	for _, e := range in.Expect {
		found := int64(0)
		if i := s.items[e.Key]; i != nil {
			found = i.Revision
			current = append(current, *i)
		}
		met = met && found == e.Revision
	}
	if !met {
		answer(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, write := range in.Writes {
		if write.Lease != 0 && s.leases[write.Lease] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	s.revision++
	for _, write := range in.Writes {
		s.write(write.Key, write.Value, write.Lease)
	}
	for _, key := range in.Deletes {
		s.remove(key)
	}
	s.notify()
	answer(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *store) postLease(w http.ResponseWriter, r *http.Request) {
	var in struct {
		TTL int64 `json:"ttl_ms"`
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextID++
	l := &storeLease{ttl: max(time.Second, time.Duration(in.TTL)*time.Millisecond)}
	l.until = time.Now().Add(l.ttl)
	s.leases[s.nextID] = l
	answer(w, http.StatusOK, map[string]any{"lease": s.nextID, "ttl_ms": l.ttl.Milliseconds()})
}

func (s *store) postKeep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.until = time.Now().Add(l.ttl)
	answer(w, http.StatusOK, map[string]any{"ttl_ms": l.ttl.Milliseconds()})
}

func (s *store) deleteLease(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.endLease(id)
	answer(w, http.StatusOK, map[string]any{})
}
