package gateway

import (
	"context"
	"errors"
	"testing"
	"time"

	"pearlatch/core/kv"
)

// repeatingStore gives each call the answer to the call of its kind before, and the first one its own.
type repeatingStore struct {
	Store
	closed int
}

func (s *repeatingStore) CloseIdleConnections() { s.closed++ }
func (*repeatingStore) Commit(context.Context, kv.Transaction) (kv.Revision, error) {
	return 50, nil
}
func (*repeatingStore) Grant(context.Context, time.Duration) (int64, error) { return 7, nil }
func (*repeatingStore) List(context.Context, kv.Range) (kv.Page, error) {
	return kv.Page{Snapshot: kv.Snapshot{Revision: 49}}, nil
}

// Guards against a commit, a lease or a list that counts as carried out by the answer to an earlier call.
func TestStoreAnswersOfEarlierCallsAreRejected(t *testing.T) {
	inner := &repeatingStore{}
	s, ctx := &verifiedStore{Store: inner}, t.Context()
	commit := func() error { _, err := s.Commit(ctx, kv.Replace("k", 0, nil, 0)); return err }
	grant := func() error { _, err := s.Grant(ctx, time.Second); return err }
	list := func() error { _, err := s.List(ctx, kv.Range{}); return err }
	for i, c := range []struct {
		call  func() error
		other bool
	}{{commit, false}, {grant, false}, {commit, true}, {grant, true}, {list, true}} {
		if err := c.call(); errors.Is(err, kv.ErrAnswerOfAnotherCall) != c.other {
			t.Errorf("call %d: %v", i, err)
		}
	}
	if inner.closed != 3 {
		t.Errorf("closed idle connections %d times, want 3", inner.closed)
	}
}
