package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"pearlatch/core/kv"
)

// verifiedStore rejects answers that belong to other calls, as far as they can be told. The outcome of the call is then
// as unknown as without an answer.
type verifiedStore struct {
	Store
	mu      sync.Mutex
	answers kv.Answers
}

var _ Store = (*verifiedStore)(nil)

// known returns the latest revision known when a call begins.
func (s *verifiedStore) known() kv.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.answers.Known()
}

// verify returns the result of check. If the answer belongs to another call, the connections that are not in use are
// closed, since the right answer may still arrive on one.
func (s *verifiedStore) verify(check func(*kv.Answers) error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	err := check(&s.answers)
	if c, ok := s.Store.(interface{ CloseIdleConnections() }); ok && errors.Is(err, kv.ErrAnswerOfAnotherCall) {
		c.CloseIdleConnections()
	}
	return err
}

// List implements Store.
func (s *verifiedStore) List(ctx context.Context, r kv.Range) (kv.Page, error) {
	known := s.known()
	p, err := s.Store.List(ctx, r)
	if err != nil {
		return p, err
	}
	return p, s.verify(func(a *kv.Answers) error { return a.Page(known, r, p) })
}

// Commit implements Store.
func (s *verifiedStore) Commit(ctx context.Context, t kv.Transaction) (kv.Revision, error) {
	known := s.known()
	revision, err := s.Store.Commit(ctx, t)
	if err != nil || len(t.Writes) == 0 {
		return revision, err
	}
	return revision, s.verify(func(a *kv.Answers) error { return a.Committed(known, revision) })
}

// Grant implements Store.
func (s *verifiedStore) Grant(ctx context.Context, ttl time.Duration) (int64, error) {
	lease, err := s.Store.Grant(ctx, ttl)
	if err != nil {
		return lease, err
	}
	return lease, s.verify(func(a *kv.Answers) error { return a.Granted(lease) })
}
