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

var lastNet atomic.Uint32

// startPlatform runs a platform until the test ends.
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

// Two operators fill their forms from the same revision and submit at the same
// moment. Exactly one is accepted; the other is shown what the first one did.
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

// The store writes every submission and loses most of the answers. The operator
// is told of an acceptance that did happen, and nothing is submitted twice.
func TestSubmitWithLostReplies(t *testing.T) {
	p, store := startPlatform(t)
	ctx := testContext(t)
	p.SetLoss(0.8)
	for base := range uint64(20) {
		r, err := etcd.Submit(ctx, store, base, "operator", []byte{byte(base)})
		if err != nil || r.Number != base+1 {
			t.Fatalf("on revision %d: revision %d, %v", base, r.Number, err)
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

// An answer is lost after its effect, and another operator builds on the
// revision before the first one looks. The first submission was accepted and
// must be called so, although it is no longer in force.
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

// A holder is paused while its lease lapses. When it wakes it must learn that,
// rather than go on.
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
		t.Error("a lapsed lease was renewed")
	}
	if entry, err := store.Get(ctx, "/leased"); err != nil || entry.Revision != 0 {
		t.Errorf("the key outlived its lease: %v, %v", entry, err)
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
		t.Errorf("a changed word takes %d bytes", len(delta))
	}
	got, err := etcd.DecodeDelta(base, delta)
	if err != nil || string(got.Text) != string(next.Text) || got.Number != 2 {
		t.Errorf("decoded revision %d of %d bytes, %v", got.Number, len(got.Text), err)
	}
}
