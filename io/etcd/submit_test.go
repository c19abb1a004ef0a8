package etcd_test

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"

	"pearlatch/core/config"
	"pearlatch/internal/standin"
	"pearlatch/io/etcd"
)

// lastNet is the last octet of the address that was last used by a test.
var lastNet atomic.Uint32

// startPlatform starts a platform that runs until the test ends, and returns it
// with a store that uses it.
func startPlatform(t *testing.T) (*standin.Platform, *etcd.Etcd) {
	t.Helper()
	addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 4, byte(os.Getpid()), byte(lastNet.Add(1))}), 2379)
	p := standin.NewPlatform(0)
	if err := p.Start(addr); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	return p, etcd.NewEtcd([]netip.AddrPort{addr})
}

func testContext(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	t.Cleanup(cancel)
	return ctx
}

// Of several concurrent submissions on the same base, exactly one is accepted.
// The others fail with a conflict that holds the accepted revision.
func TestConcurrentSubmissionsAcceptOne(t *testing.T) {
	_, store := startPlatform(t)
	ctx := testContext(t)
	var wg sync.WaitGroup
	errs := make([]error, 8)
	for i := range errs {
		wg.Go(func() { _, errs[i] = etcd.Submit(ctx, store, 0, "operator", []byte{'a' + byte(i)}) })
	}
	wg.Wait()
	_, current, err := etcd.Current(ctx, store)
	if err != nil || current.Number != 1 {
		t.Fatalf("revision %d, %v", current.Number, err)
	}
	accepted := 0
	for i, err := range errs {
		var conflict *etcd.Conflict
		switch {
		case err == nil:
			accepted++
			if string(current.Text) != string([]byte{'a' + byte(i)}) {
				t.Errorf("submission %d was accepted, %q is in force", i, current.Text)
			}
		case !errors.As(err, &conflict) || conflict.Current.Number != 1:
			t.Errorf("submission %d: %v, want a conflict with revision 1", i, err)
		}
	}
	if accepted != 1 {
		t.Errorf("%d submissions were accepted", accepted)
	}
}

// The store writes every submission but most of its replies are lost. Submit must
// still report the acceptance, and no document may be written twice.
func TestSubmitWithLostReplies(t *testing.T) {
	p, store := startPlatform(t)
	ctx := testContext(t)
	p.SetLoss(0.8)
	for base := range uint64(20) {
		r, err := etcd.Submit(ctx, store, base, "operator", []byte{byte(base)})
		if err != nil || r.Number != base+1 {
			t.Fatalf("submission on base %d: revision %d, %v", base, r.Number, err)
		}
	}
	list, err := etcd.History(ctx, store)
	if err != nil || len(list) != 20 {
		t.Fatalf("%d revisions in the history, %v", len(list), err)
	}
	for i, r := range list {
		if want := uint64(20 - i); r.Number != want || r.Text[0] != byte(want-1) {
			t.Errorf("history[%d] is revision %d with %q", i, r.Number, r.Text)
		}
	}
}

// A reply is lost after the write took effect, and another operator submits on
// top of that revision. The first submission was accepted and must stay in the
// history, although it is no longer in force.
func TestAcceptedSubmissionFoundInHistory(t *testing.T) {
	p, store := startPlatform(t)
	ctx := testContext(t)
	p.SetLoss(1)
	first, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
	defer cancel()
	_, err := etcd.Submit(first, store, 0, "first", []byte("one"))
	if !errors.Is(err, etcd.ErrOutcomeUnknown) && err != nil {
		t.Fatalf("got %v", err)
	}
	p.SetLoss(0)
	if _, err := etcd.Submit(ctx, store, 1, "second", []byte("two")); err != nil {
		t.Fatal(err)
	}
	list, err := etcd.History(ctx, store)
	if err != nil || len(list) != 2 || list[1].Author != "first" {
		t.Fatalf("history %v, %v", list, err)
	}
}

func TestSubmitWhileStoreIsDown(t *testing.T) {
	p, store := startPlatform(t)
	p.SetDown(true)
	ctx, cancel := context.WithTimeout(testContext(t), 250*time.Millisecond)
	defer cancel()
	if _, err := etcd.Submit(ctx, store, 0, "operator", nil); !errors.Is(err, etcd.ErrOutcomeUnknown) {
		t.Fatalf("got %v", err)
	}
	p.SetDown(false)
	if _, r, err := etcd.Current(testContext(t), store); err != nil || r.Number != 0 {
		t.Errorf("revision %d, %v", r.Number, err)
	}
}

// A lease holder that was paused while its lease expired must get an error from
// KeepAlive, and the leased key must be gone.
func TestKeepAliveOfLapsedLease(t *testing.T) {
	p, store := startPlatform(t)
	ctx := testContext(t)
	lease, err := store.Grant(ctx, 10)
	if err != nil {
		t.Fatal(err)
	}
	if err := store.PutLeased(ctx, "/leased", []byte("v"), lease); err != nil {
		t.Fatal(err)
	}
	if err := store.KeepAlive(ctx, lease); err != nil {
		t.Fatal(err)
	}
	p.LapseLeases()
	if err := store.KeepAlive(ctx, lease); err == nil {
		t.Error("an expired lease was renewed")
	}
	if entry, err := store.Get(ctx, "/leased"); err != nil || entry.Revision != 0 {
		t.Errorf("the key exists after its lease expired: %v, %v", entry, err)
	}
}

func TestWatchStartsAfterRevision(t *testing.T) {
	p, store := startPlatform(t)
	ctx, cancel := context.WithCancel(testContext(t))
	defer cancel()
	p.Set("/k", []byte("one"))
	entry, err := store.Get(ctx, "/k")
	if err != nil {
		t.Fatal(err)
	}
	p.Set("/k", []byte("two"))
	p.Set("/other", []byte("x"))
	p.Set("/k", []byte("three"))
	var got []string
	_ = store.Watch(ctx, "/k", entry.Revision, func(e etcd.Entry) {
		if got = append(got, string(e.Value)); len(got) == 2 {
			cancel()
		}
	})
	if len(got) != 2 || got[0] != "two" || got[1] != "three" {
		t.Errorf("watched %q", got)
	}
}

func TestDeltaIsSmall(t *testing.T) {
	var text []byte
	for i := 0; len(text) < 1<<20; i++ {
		text = fmt.Appendf(text, "  - name: \"route-%d\"\n    group: \"core\"\n    deadline: %dms\n", i, i*i%7919)
	}
	base := config.Revision{Number: 1, Text: text}
	next := config.Revision{Number: 2, Author: "operator", Text: append([]byte("# changed\n"), text...)}
	delta, err := etcd.EncodeDelta(base, next)
	if err != nil {
		t.Fatal(err)
	}
	if len(delta) > 1<<10 {
		t.Errorf("the delta of one added line takes %d bytes", len(delta))
	}
	got, err := etcd.DecodeDelta(base, delta)
	if err != nil || string(got.Text) != string(next.Text) || got.Number != 2 {
		t.Errorf("decoded revision %d of %d bytes, %v", got.Number, len(got.Text), err)
	}
}

// Guards against an operator who waits 20 s for the answer that the outcome is unknown, while the stored configuration can't be
// decoded and nothing was written.
func TestSubmitOverUnreadableConfiguration(t *testing.T) {
	ctx := testContext(t)
	_, s := startPlatform(t)
	if _, err := s.CompareAndSwap(ctx, etcd.ConfigKey, 0, []etcd.Put{{Key: etcd.ConfigKey, Value: []byte("no revision")}}, nil); err != nil {
		t.Fatal(err)
	}
	short, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	if _, err := etcd.Submit(short, s, 0, "operator", []byte("a")); err == nil || errors.Is(err, etcd.ErrOutcomeUnknown) || short.Err() != nil {
		t.Errorf("%v, want an error that says what can't be decoded", err)
	}
}
