package etcd

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"pearlatch/core/membership"
)

// Etcd is a Store that uses the HTTP/JSON gateway of the etcd v3 API, described
// under "gRPC gateway" in the etcd documentation. Its methods may be called from
// several goroutines. Use NewEtcd.
type Etcd struct {
	endpoints    []netip.AddrPort
	client       *http.Client
	lastEndpoint atomic.Uint32 // index of the endpoint that answered last
	calls        atomic.Int64
}

var _ Store = (*Etcd)(nil)

// callTimeout is the time limit of every call except a watch. A healthy service
// answers within milliseconds.
const callTimeout = 2 * time.Second

// NewEtcd returns a store at the given endpoints. A call tries them in turn,
// starting with the one that answered last. There must be at least one endpoint.
func NewEtcd(endpoints []netip.AddrPort) *Etcd {
	transport := &http.Transport{MaxIdleConnsPerHost: 2, IdleConnTimeout: time.Minute}
	return &Etcd{endpoints: endpoints, client: &http.Client{Transport: transport}}
}

// Calls returns the number of calls made so far. A watch counts as one call.
func (e *Etcd) Calls() int64 { return e.calls.Load() }

// int64String is a 64-bit integer that is a string in JSON, as the gateway
// encodes it.
type int64String int64

// MarshalJSON implements json.Marshaler.
func (n int64String) MarshalJSON() ([]byte, error) {
	return json.Marshal(strconv.FormatInt(int64(n), 10))
}

// UnmarshalJSON implements json.Unmarshaler. It accepts JSON numbers as well.
func (n *int64String) UnmarshalJSON(b []byte) error {
	v, err := strconv.ParseInt(strings.Trim(string(b), `"`), 10, 64)
	*n = int64String(v)
	return err
}

// The wire types of the gateway. It encodes byte slices in base64, as
// encoding/json does.
type (
	keyValue struct {
		Key         []byte      `json:"key"`
		Value       []byte      `json:"value"`
		ModRevision int64String `json:"mod_revision"`
	}
	rangeRequest struct {
		Key      []byte `json:"key"`
		RangeEnd []byte `json:"range_end,omitempty"`
		KeysOnly bool   `json:"keys_only,omitempty"`
	}
	rangeResponse struct {
		KVs []keyValue `json:"kvs"`
	}
	putRequest struct {
		Key   []byte      `json:"key"`
		Value []byte      `json:"value"`
		Lease int64String `json:"lease,omitempty"`
	}
	compare struct {
		Result      string      `json:"result"`
		Target      string      `json:"target"`
		Key         []byte      `json:"key"`
		ModRevision int64String `json:"mod_revision"`
	}
	txnOperation struct {
		Put    *putRequest   `json:"request_put,omitempty"`
		Delete *rangeRequest `json:"request_delete_range,omitempty"`
	}
	txnRequest struct {
		Compare []compare      `json:"compare"`
		Success []txnOperation `json:"success"`
	}
	header struct {
		Revision int64String `json:"revision"`
	}
	txnResponse struct {
		Header    header `json:"header"`
		Succeeded bool   `json:"succeeded"`
	}
	watchCreate struct {
		Key           []byte      `json:"key"`
		StartRevision int64String `json:"start_revision"`
	}
	watchRequest struct {
		Create watchCreate `json:"create_request"`
	}
	watchEvent struct {
		KV keyValue `json:"kv"`
	}
	watchResponse struct {
		Result struct {
			Events []watchEvent `json:"events"`
		} `json:"result"`
	}
	leaseRequest struct {
		ID  int64String `json:"ID,omitempty"`
		TTL int64String `json:"TTL,omitempty"`
	}
	leaseResponse struct {
		ID  int64String `json:"ID"`
		TTL int64String `json:"TTL"`
	}
	keepAliveResponse struct {
		Result leaseResponse `json:"result"`
	}
)

// post makes a call and returns the response body. It tries each endpoint once,
// until one answers or ctx ends.
func (e *Etcd) post(ctx context.Context, path string, in any) (io.ReadCloser, error) {
	body, err := json.Marshal(in)
	if err != nil {
		return nil, errors.Wrapf(err, "platform %s", path)
	}
	e.calls.Add(1)
	first := e.lastEndpoint.Load()
	for i := range e.endpoints {
		k := (first + uint32(i)) % uint32(len(e.endpoints))
		var out io.ReadCloser
		if out, err = e.postTo(ctx, e.endpoints[k], path, body); err == nil {
			e.lastEndpoint.Store(k)
			return out, nil
		}
		if ctx.Err() != nil {
			break
		}
	}
	return nil, err
}

// postTo makes a call to the given endpoint. Any status but 200 is an error.
func (e *Etcd) postTo(ctx context.Context, endpoint netip.AddrPort, path string, body []byte) (io.ReadCloser, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+endpoint.String()+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrapf(err, "platform %s%s", endpoint, path)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := e.client.Do(req)
	if err != nil {
		return nil, errors.Wrapf(err, "platform %s%s", endpoint, path)
	}
	if resp.StatusCode != http.StatusOK {
		_ = resp.Body.Close()
		return nil, errors.Errorf("platform %s%s: status %s", endpoint, path, resp.Status)
	}
	return resp.Body, nil
}

// call makes a call whose response is one JSON object.
func call[Out any](ctx context.Context, e *Etcd, path string, in any) (Out, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var out Out
	body, err := e.post(ctx, path, in)
	if err != nil {
		return out, err
	}
	defer body.Close()
	return out, errors.Wrapf(json.NewDecoder(body).Decode(&out), "platform %s", path)
}

// Get implements Store.
func (e *Etcd) Get(ctx context.Context, key string) (Entry, error) {
	out, err := e.getRange(ctx, rangeRequest{Key: []byte(key)})
	if err != nil || len(out.KVs) == 0 {
		return Entry{}, err
	}
	return entryFromKeyValue(out.KVs[0]), nil
}

// Revision implements Store.
func (e *Etcd) Revision(ctx context.Context, key string) (int64, error) {
	out, err := e.getRange(ctx, rangeRequest{Key: []byte(key), KeysOnly: true})
	if err != nil || len(out.KVs) == 0 {
		return 0, err
	}
	return int64(out.KVs[0].ModRevision), nil
}

func entryFromKeyValue(kv keyValue) Entry {
	return Entry{Value: kv.Value, Revision: int64(kv.ModRevision)}
}

// List implements Store.
func (e *Etcd) List(ctx context.Context, prefix string) (map[string]Entry, error) {
	end := []byte(prefix)
	end[len(end)-1]++ // prefixes end with '/', so the byte does not overflow
	out, err := e.getRange(ctx, rangeRequest{Key: []byte(prefix), RangeEnd: end})
	if err != nil {
		return nil, err
	}
	entries := make(map[string]Entry, len(out.KVs))
	for _, kv := range out.KVs {
		entries[string(kv.Key)] = entryFromKeyValue(kv)
	}
	return entries, nil
}

// CompareAndSwap implements Store.
func (e *Etcd) CompareAndSwap(ctx context.Context, key string, revision int64, puts []Put, deletes []string) (int64, error) {
	var ops []txnOperation
	for _, p := range puts {
		ops = append(ops, txnOperation{Put: &putRequest{Key: []byte(p.Key), Value: p.Value}})
	}
	for _, d := range deletes {
		ops = append(ops, txnOperation{Delete: &rangeRequest{Key: []byte(d)}})
	}
	out, err := call[txnResponse](ctx, e, "/v3/kv/txn", txnRequest{
		Compare: []compare{{Result: "EQUAL", Target: "MOD", Key: []byte(key), ModRevision: int64String(revision)}},
		Success: ops,
	})
	if err != nil {
		return 0, err
	}
	if !out.Succeeded {
		return 0, ErrConflict
	}
	if got := int64(out.Header.Revision); got <= revision {
		return 0, e.otherAnswer("written at revision %d in place of %d", got, revision)
	}
	return int64(out.Header.Revision), nil
}

// Watch implements Store.
func (e *Etcd) Watch(ctx context.Context, key string, after int64, changed func(Entry)) error {
	body, err := e.post(ctx, "/v3/watch", watchRequest{Create: watchCreate{Key: []byte(key), StartRevision: int64String(after + 1)}})
	if err != nil {
		return err
	}
	defer body.Close()
	d := json.NewDecoder(body)
	for {
		var out watchResponse
		if err := d.Decode(&out); err != nil {
			return errors.Wrap(err, "platform /v3/watch")
		}
		for _, event := range out.Result.Events {
			changed(entryFromKeyValue(event.KV))
		}
	}
}

// Grant implements Store.
func (e *Etcd) Grant(ctx context.Context, seconds int64) (int64, error) {
	out, err := call[leaseResponse](ctx, e, "/v3/lease/grant", leaseRequest{TTL: int64String(seconds)})
	if err == nil && out.ID == 0 {
		err = e.otherAnswer("no lease")
	}
	return int64(out.ID), err
}

// KeepAlive implements Store.
func (e *Etcd) KeepAlive(ctx context.Context, lease int64) error {
	out, err := call[keepAliveResponse](ctx, e, "/v3/lease/keepalive", leaseRequest{ID: int64String(lease)})
	if err == nil && int64(out.Result.ID) != lease {
		return e.otherAnswer("lease %d, want %d", out.Result.ID, lease)
	}
	if err == nil && out.Result.TTL <= 0 {
		return errors.Errorf("platform: lease %d has lapsed", lease)
	}
	return err
}

// PutLeased implements Store.
func (e *Etcd) PutLeased(ctx context.Context, key string, value []byte, lease int64) error {
	_, err := call[struct{}](ctx, e, "/v3/kv/put", putRequest{Key: []byte(key), Value: value, Lease: int64String(lease)})
	return err
}

// hostRecord is the JSON form of a host in the platform's list.
type hostRecord struct {
	Zone    string `json:"availability_zone"`
	Peer    string `json:"peer_address"`
	Leaving bool   `json:"leaving"`
}

// Hosts implements Store. It skips entries that it cannot decode.
func (e *Etcd) Hosts(ctx context.Context) ([]membership.Host, error) {
	entries, err := e.List(ctx, HostsPrefix)
	if err != nil {
		return nil, err
	}
	var hosts []membership.Host
	for key, entry := range entries {
		h, err := decodeHost(key, entry.Value)
		if err == nil {
			hosts = append(hosts, h)
		}
	}
	return hosts, nil
}

func decodeHost(key string, value []byte) (membership.Host, error) {
	var r hostRecord
	if err := json.Unmarshal(value, &r); err != nil {
		return membership.Host{}, errors.Wrapf(err, "host %s", key)
	}
	peer, err := netip.ParseAddrPort(r.Peer)
	if err != nil {
		return membership.Host{}, errors.Wrapf(err, "host %s", key)
	}
	return membership.Host{ID: strings.TrimPrefix(key, HostsPrefix), Zone: r.Zone, Peer: peer, Leaving: r.Leaving}, nil
}

// EncodeHost returns the value of a host's entry in the platform's list.
func EncodeHost(h membership.Host) []byte {
	out, err := json.Marshal(hostRecord{Zone: h.Zone, Peer: h.Peer.String(), Leaving: h.Leaving})
	if err != nil {
		// Strings and booleans always encode.
		return nil
	}
	return out
}
