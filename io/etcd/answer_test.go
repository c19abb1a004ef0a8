package etcd_test

import (
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"

	"pearlatch/io/etcd"
)

// Guards against a call that takes the answer to an earlier call, which comes once more after the call was sent.
func TestAnswersOfEarlierCallsAreRejected(t *testing.T) {
	ctx := testContext(t)
	get := func(key string) func(*etcd.Etcd) error {
		return func(s *etcd.Etcd) error { _, err := s.Get(ctx, key); return err }
	}
	swap := func(revision int64) func(*etcd.Etcd) error {
		return func(s *etcd.Etcd) error {
			_, err := s.CompareAndSwap(ctx, "/a", revision, []etcd.Put{{Key: "/a"}}, nil)
			return err
		}
	}
	keep := func(lease int64) func(*etcd.Etcd) error {
		return func(s *etcd.Etcd) error { return s.KeepAlive(ctx, lease) }
	}
	grant := func(s *etcd.Etcd) error { _, err := s.Grant(ctx, 10); return err }
	const swapped, read = `{"header":{"revision":"7"},"succeeded":true}`, `{"header":{"revision":"7"},"kvs":[{"key":"L2E=","mod_revision":"3"}]}`
	for name, c := range map[string]struct {
		answer        string
		first, second func(*etcd.Etcd) error
	}{
		"swap":              {swapped, swap(6), swap(7)},
		"read another key":  {read, get("/a"), get("/b")},
		"renew another one": {`{"result":{"ID":"5","TTL":"9"}}`, keep(5), keep(6)},
		"grant":             {swapped, swap(6), grant},
	} {
		s := etcd.NewEtcd([]netip.AddrPort{repeat(t, c.answer)})
		if err := c.first(s); err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		if err := c.second(s); !errors.Is(err, etcd.ErrOtherAnswer) {
			t.Errorf("%s: the second call: %v", name, err)
		}
	}
}

// repeat returns the address of a server that gives every request the same answer.
func repeat(t *testing.T, answer string) netip.AddrPort {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, answer) }))
	t.Cleanup(s.Close)
	return netip.MustParseAddrPort(s.Listener.Addr().String())
}
