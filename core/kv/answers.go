package kv

import (
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// ErrAnswerOfAnotherCall means that an answer can't belong to the call that it was received for. Nothing is known about
// the outcome of that call.
var ErrAnswerOfAnotherCall = errors.New("the answer belongs to another call")

// maxKnownLeases is how many granted leases Answers remembers. A host has two at a time.
const maxKnownLeases = 32

// Answers tells answers of a store that belong to earlier calls: a connection matches answers to calls by their order
// alone, and an answer may come twice. The zero value is ready for use. It is not safe for concurrent use.
//
// An answer to a renewal, to the end of a lease, and any failure hold nothing that tells them from those of another call.
type Answers struct {
	// known is the latest revision in an answer that was not allowed to be stale.
	known Revision
	// leases holds the leases that were granted last, oldest first.
	leases []int64
}

// Known returns the revision that the answer to a call that begins now can't be behind.
func (a *Answers) Known() Revision { return a.known }

// see records a revision in an answer. A restored store may grant the leases of before again.
func (a *Answers) see(r Revision) {
	if r.Epoch() > a.known.Epoch() {
		a.leases = nil
	}
	a.known = max(a.known, r)
}

// Page checks an answer to a List that began when the revision was known.
func (a *Answers) Page(known Revision, r Range, p Page) error {
	for _, i := range p.Items {
		if !strings.HasPrefix(i.Key, r.Prefix) || r.After != "" && i.Key <= r.After {
			return errors.Wrapf(ErrAnswerOfAnotherCall, "key %q, want prefix %q after %q", i.Key, r.Prefix, r.After)
		}
	}
	if r.AllowStale {
		return nil
	}
	if p.Revision < known {
		return errors.Wrapf(ErrAnswerOfAnotherCall, "revision %v, and %v was known", p.Revision, known)
	}
	a.see(p.Revision)
	return nil
}

// Committed checks an answer to a Commit of changes that began when the revision was known: changes get a new revision.
func (a *Answers) Committed(known, got Revision) error {
	if got <= known {
		return errors.Wrapf(ErrAnswerOfAnotherCall, "commit at revision %v, and %v was known", got, known)
	}
	a.see(got)
	return nil
}

// Granted checks an answer to a Grant: each lease has a number of its own.
func (a *Answers) Granted(lease int64) error {
	if lease == 0 || slices.Contains(a.leases, lease) {
		return errors.Wrapf(ErrAnswerOfAnotherCall, "lease %d", lease)
	}
	a.leases = append(a.leases[max(0, len(a.leases)+1-maxKnownLeases):], lease)
	return nil
}
