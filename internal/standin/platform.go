package standin

import (
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"pearlatch/core/membership"
	"pearlatch/io/etcd"
)

// Platform is the platform's key-value service in memory, with its faults.
type Platform struct {
	server *http.Server

	mu        sync.Mutex
	revision  int64
	entries   map[string]platformEntry
	history   []platformEvent // of all keys, oldest first
	changed   chan struct{}   // closed and replaced at each change
	leases    map[int64]time.Time
	nextLease int64
	lag       time.Duration // of the host list
	hosts     []hostChange
	down      bool
	slow      time.Duration
	loseShare float64 // share of writes whose answer is lost after the effect
	calls     int64
	writes    int64
}

type platformEntry struct {
	value    []byte
	revision int64
	lease    int64
}

type platformEvent struct {
	key      string
	value    []byte
	revision int64
}

// hostChange is a change of the host list, which shows after the lag.
type hostChange struct {
	host    membership.Host
	removed bool
	at      time.Time
}

// NewPlatform returns a platform whose host list shows changes after lag.
func NewPlatform(lag time.Duration) *Platform {
	return &Platform{
		revision: 1, // etcd's first
		entries:  map[string]platformEntry{},
		changed:  make(chan struct{}),
		leases:   map[int64]time.Time{},
		lag:      lag,
	}
}

// Start serves the platform at addr until Close.
func (p *Platform) Start(addr netip.AddrPort) error {
	l, err := net.Listen("tcp", addr.String())
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v3/kv/range", p.answer(p.get))
	mux.HandleFunc("POST /v3/kv/put", p.answer(p.put))
	mux.HandleFunc("POST /v3/kv/txn", p.answer(p.txn))
	mux.HandleFunc("POST /v3/lease/grant", p.answer(p.grant))
	mux.HandleFunc("POST /v3/lease/keepalive", p.answer(p.keepAlive))
	mux.HandleFunc("POST /v3/watch", p.watch)
	p.server = &http.Server{Handler: mux}
	go func() { _ = p.server.Serve(l) }()
	return nil
}

// Close stops the platform.
func (p *Platform) Close() {
	if p.server != nil {
		_ = p.server.Close()
	}
}

// SetDown makes all calls fail, and ends the watches.
func (p *Platform) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
	p.wake()
}

// SetSlow delays all calls.
func (p *Platform) SetSlow(by time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.slow = by
}

// SetLoss makes a share of the writes take effect without an answer.
func (p *Platform) SetLoss(share float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.loseShare = share
}

// LapseLeases ends all leases at once.
func (p *Platform) LapseLeases() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id := range p.leases {
		p.leases[id] = time.Time{}
	}
}

// Calls returns how many calls were made, a watch counted as one, and how many
// of them were writes.
func (p *Platform) Calls() (all, writes int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls, p.writes
}

// SetHost adds or changes a host of the list. What is set before Start shows at
// once.
func (p *Platform) SetHost(h membership.Host) { p.changeHost(hostChange{host: h}) }

// RemoveHost removes a host from the list.
func (p *Platform) RemoveHost(id string) {
	p.changeHost(hostChange{host: membership.Host{ID: id}, removed: true})
}

func (p *Platform) changeHost(c hostChange) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.server != nil {
		c.at = time.Now()
	}
	p.hosts = append(p.hosts, c)
}

// Set writes a key, as an operator of the platform could.
func (p *Platform) Set(key string, value []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.write(key, value, 0)
}

func (p *Platform) write(key string, value []byte, lease int64) {
	p.revision++
	p.entries[key] = platformEntry{value: value, revision: p.revision, lease: lease}
	p.history = append(p.history, platformEvent{key: key, value: value, revision: p.revision})
	p.wake()
}

func (p *Platform) wake() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// The wire forms, as the gateway's documentation gives them.
type (
	wireKV struct {
		Key         []byte `json:"key"`
		Value       []byte `json:"value"`
		ModRevision string `json:"mod_revision"`
	}
	wireRequest struct {
		Key      []byte `json:"key"`
		RangeEnd []byte `json:"range_end"`
		KeysOnly bool   `json:"keys_only"`
		Value    []byte `json:"value"`
		Lease    string `json:"lease"`
		ID       string `json:"ID"`
		TTL      string `json:"TTL"`
		Compare  []struct {
			Key         []byte `json:"key"`
			ModRevision string `json:"mod_revision"`
		} `json:"compare"`
		Success []struct {
			Put *struct {
				Key   []byte `json:"key"`
				Value []byte `json:"value"`
			} `json:"request_put"`
			Delete struct {
				Key []byte `json:"key"`
			} `json:"request_delete_range"`
		} `json:"success"`
		Create struct {
			Key           []byte `json:"key"`
			StartRevision string `json:"start_revision"`
		} `json:"create_request"`
	}
	wireHeader struct {
		Revision string `json:"revision"`
	}
	wireResponse struct {
		Header    *wireHeader   `json:"header,omitempty"`
		KVs       []wireKV      `json:"kvs,omitempty"`
		Succeeded bool          `json:"succeeded,omitempty"`
		ID        string        `json:"ID,omitempty"`
		TTL       string        `json:"TTL,omitempty"`
		Result    *wireResponse `json:"result,omitempty"`
		Events    []wireEvent   `json:"events,omitempty"`
	}
	wireEvent struct {
		KV wireKV `json:"kv"`
	}
)

// admit counts a call and applies the faults. It returns false after it has
// refused the call.
func (p *Platform) admit(w http.ResponseWriter, r *http.Request) (wireRequest, bool) {
	p.mu.Lock()
	p.calls++
	down, slow := p.down, p.slow
	p.mu.Unlock()
	time.Sleep(slow)
	var in wireRequest
	if down {
		http.Error(w, "unavailable", http.StatusServiceUnavailable)
		return in, false
	}
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return in, false
	}
	return in, true
}

// answer makes a handler of a function that is called under the lock and
// reports whether it wrote.
func (p *Platform) answer(do func(wireRequest) (wireResponse, bool)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		in, ok := p.admit(w, r)
		if !ok {
			return
		}
		p.mu.Lock()
		p.expire()
		out, wrote := do(in)
		lost := false
		if wrote {
			p.writes++
			lost = rand.Float64() < p.loseShare
		}
		p.mu.Unlock()
		if lost {
			panic(http.ErrAbortHandler)
		}
		_ = json.NewEncoder(w).Encode(out)
	}
}

// expire drops the keys whose lease has lapsed.
func (p *Platform) expire() {
	now := time.Now()
	for key, e := range p.entries {
		if until, ok := p.leases[e.lease]; e.lease != 0 && (!ok || now.After(until)) {
			delete(p.entries, key)
		}
	}
}

func text(n int64) string { return strconv.FormatInt(n, 10) }

func number(s string) int64 {
	n, _ := strconv.ParseInt(s, 10, 64)
	return n
}

func (p *Platform) get(in wireRequest) (wireResponse, bool) {
	out := wireResponse{Header: &wireHeader{Revision: text(p.revision)}}
	if strings.HasPrefix(string(in.Key), etcd.HostsPrefix) {
		out.KVs = p.listHosts()
		return out, false
	}
	for key, e := range p.entries {
		if key == string(in.Key) || in.RangeEnd != nil && key >= string(in.Key) && key < string(in.RangeEnd) {
			kv := wireKV{Key: []byte(key), Value: e.value, ModRevision: text(e.revision)}
			if in.KeysOnly {
				kv.Value = nil
			}
			out.KVs = append(out.KVs, kv)
		}
	}
	return out, false
}

// listHosts returns the host list as it was before the lag.
func (p *Platform) listHosts() []wireKV {
	shown := map[string]membership.Host{}
	for _, c := range p.hosts {
		if time.Since(c.at) < p.lag {
			continue
		}
		if c.removed {
			delete(shown, c.host.ID)
		} else {
			shown[c.host.ID] = c.host
		}
	}
	var out []wireKV
	for id, h := range shown {
		out = append(out, wireKV{Key: []byte(etcd.HostsPrefix + id), Value: etcd.EncodeHost(h), ModRevision: "1"})
	}
	return out
}

func (p *Platform) put(in wireRequest) (wireResponse, bool) {
	p.write(string(in.Key), in.Value, number(in.Lease))
	return wireResponse{Header: &wireHeader{Revision: text(p.revision)}}, true
}

func (p *Platform) txn(in wireRequest) (wireResponse, bool) {
	for _, c := range in.Compare {
		if p.entries[string(c.Key)].revision != number(c.ModRevision) {
			return wireResponse{Header: &wireHeader{Revision: text(p.revision)}}, false
		}
	}
	for _, op := range in.Success {
		if op.Put == nil {
			delete(p.entries, string(op.Delete.Key))
			continue
		}
		p.write(string(op.Put.Key), op.Put.Value, 0)
	}
	return wireResponse{Header: &wireHeader{Revision: text(p.revision)}, Succeeded: true}, true
}

func (p *Platform) grant(in wireRequest) (wireResponse, bool) {
	p.nextLease++
	p.leases[p.nextLease] = time.Now().Add(time.Duration(number(in.TTL)) * time.Second)
	return wireResponse{ID: text(p.nextLease), TTL: in.TTL}, true
}

// leaseTime is what KeepAlive renews a lease to.
const leaseTime = 10 * time.Second

func (p *Platform) keepAlive(in wireRequest) (wireResponse, bool) {
	id := number(in.ID)
	if until, ok := p.leases[id]; !ok || time.Now().After(until) {
		return wireResponse{Result: &wireResponse{ID: in.ID, TTL: "0"}}, true
	}
	p.leases[id] = time.Now().Add(leaseTime)
	return wireResponse{Result: &wireResponse{ID: in.ID, TTL: text(int64(leaseTime / time.Second))}}, true
}

// watch streams the changes of one key.
func (p *Platform) watch(w http.ResponseWriter, r *http.Request) {
	in, ok := p.admit(w, r)
	if !ok {
		return
	}
	next := number(in.Create.StartRevision)
	flusher := http.NewResponseController(w)
	if json.NewEncoder(w).Encode(wireResponse{Result: &wireResponse{}}) != nil || flusher.Flush() != nil {
		return
	}
	for {
		p.mu.Lock()
		changed, down := p.changed, p.down
		out := wireResponse{}
		for _, e := range p.history {
			if e.key == string(in.Create.Key) && e.revision >= next {
				out.Events = append(out.Events, wireEvent{KV: wireKV{Key: []byte(e.key), Value: e.value, ModRevision: text(e.revision)}})
				next = e.revision + 1
			}
		}
		p.mu.Unlock()
		if down {
			panic(http.ErrAbortHandler)
		}
		if len(out.Events) > 0 {
			if json.NewEncoder(w).Encode(wireResponse{Result: &out}) != nil || flusher.Flush() != nil {
				return
			}
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}
