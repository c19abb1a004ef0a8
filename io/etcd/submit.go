package etcd

import (
	"context"
	"crypto/rand"
	"fmt"
	"slices"
	"time"

	"github.com/pkg/errors"

	"pearlatch/core/config"
)

// Conflict is the error of a submission whose base is no longer the revision in
// force.
type Conflict struct {
	// Current is the revision in force.
	Current config.Revision
}

// Error implements error.
func (c *Conflict) Error() string {
	return fmt.Sprintf("the configuration has changed meanwhile: revision %d by %q is in force", c.Current.Number, c.Current.Author)
}

// ErrOutcomeUnknown means that it is not known whether a submission was accepted.
var ErrOutcomeUnknown = errors.New("the platform's store did not tell whether the submission was accepted: look at the history before submitting again")

// submitRetryDelay is the delay before a submission whose outcome is unknown is
// tried again.
const submitRetryDelay = 100 * time.Millisecond

// Submit makes a document the next revision if base is still in force, and
// returns that revision. If the reply to a write is lost, it looks in the store
// for the submission's identifier, so that it reports acceptance only of what the
// store holds. It tries again until ctx ends.
//
// The error is a *Conflict if base is not in force, ErrOutcomeUnknown if ctx ended
// first, or an encoding error.
func Submit(ctx context.Context, s Store, base uint64, author string, text []byte) (config.Revision, error) {
	r := config.Revision{Number: base + 1, Author: author, At: time.Now().UTC(), Submission: rand.Text(), Text: text}
	value, err := EncodeRevision(r)
	if err != nil {
		return config.Revision{}, err
	}
	retried := false
	for {
		done, err := trySubmit(ctx, s, base, r, value, retried)
		if done {
			return r, err
		}
		retried = true
		select {
		case <-ctx.Done():
			return config.Revision{}, errors.Wrap(ErrOutcomeUnknown, err.Error())
		case <-time.After(submitRetryDelay):
		}
	}
}

// trySubmit tries to write the revision once. retried is true if an earlier try
// may have written it. If done is false, the outcome is unknown and err is the
// reason.
func trySubmit(ctx context.Context, s Store, base uint64, r config.Revision, value []byte, retried bool) (done bool, err error) {
	entry, current, err := Current(ctx, s)
	if err != nil {
		return !retried && errors.Is(err, errUnreadable), err
	}
	if current.Number != base {
		if retried {
			return findOutcome(ctx, s, current, r)
		}
		return true, &Conflict{Current: current}
	}
	puts := []Put{{Key: ConfigKey, Value: value}, {Key: historyKey(r.Number), Value: value}}
	var deletes []string
	if r.Number > maxHistory {
		deletes = append(deletes, historyKey(r.Number-maxHistory))
	}
	_, err = s.CompareAndSwap(ctx, ConfigKey, entry.Revision, puts, deletes)
	if errors.Is(err, ErrConflict) {
		if _, current, err = Current(ctx, s); err != nil {
			return false, err
		}
		return findOutcome(ctx, s, current, r)
	}
	return err == nil, err
}

// WriteBack writes a revision that the service has lost, if the service still
// holds the older entry. Otherwise it returns ErrConflict.
func WriteBack(ctx context.Context, s Store, older Entry, r config.Revision) error {
	value, err := EncodeRevision(r)
	if err != nil {
		return err
	}
	puts := []Put{{Key: ConfigKey, Value: value}, {Key: historyKey(r.Number), Value: value}}
	_, err = s.CompareAndSwap(ctx, ConfigKey, older.Revision, puts, nil)
	return err
}

// findOutcome looks for r in the revision in force and in the history. It returns
// a *Conflict if r was not accepted. If done is false, the outcome is unknown.
func findOutcome(ctx context.Context, s Store, current, r config.Revision) (done bool, err error) {
	if current.Submission == r.Submission {
		return true, nil
	}
	entry, err := s.Get(ctx, historyKey(r.Number))
	if err != nil {
		return false, err
	}
	if entry.Revision != 0 {
		if kept, err := DecodeRevision(entry.Value); err == nil && kept.Submission == r.Submission {
			return true, nil
		}
	}
	return true, &Conflict{Current: current}
}

// Current returns the revision in force and its entry, or the zero revision if
// there is none.
func Current(ctx context.Context, s Store) (Entry, config.Revision, error) {
	entry, err := s.Get(ctx, ConfigKey)
	if err != nil || entry.Revision == 0 {
		return entry, config.Revision{}, err
	}
	r, err := DecodeRevision(entry.Value)
	return entry, r, err
}

// History returns the revisions that the store keeps, newest first.
func History(ctx context.Context, s Store) ([]config.Revision, error) {
	entries, err := s.List(ctx, HistoryPrefix)
	if err != nil {
		return nil, err
	}
	var out []config.Revision
	for key, entry := range entries {
		r, err := DecodeRevision(entry.Value)
		if err != nil {
			return nil, errors.Wrapf(err, "history %s", key)
		}
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b config.Revision) int { return int(int64(b.Number) - int64(a.Number)) })
	return out, nil
}
