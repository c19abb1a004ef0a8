package kv

import "github.com/pkg/errors"

// Range names keys of a store, in the order of the keys.
type Range struct {
	// Prefix is what the keys start with.
	Prefix string
	// After is the key before the first one, or empty.
	After string
	// AllowStale is true if the answer may be some seconds old.
	AllowStale bool
}

// Page is the beginning of a range.
type Page struct {
	Snapshot
	// More is true if there are further keys.
	More bool
}

// ListBuilder puts a list together from its pages. These are no snapshot, so that the list holds as of the first one: a watch
// from there tells what has changed since. Use it for one list.
type ListBuilder struct {
	Snapshot
	started  bool
	complete bool
	after    string
}

// ErrEpochChanged means that the store came back from an older copy between two pages of a list.
var ErrEpochChanged = errors.New("the pages of the list are of different copies of the store")

// Next returns the key after which the next page begins, or false once the list is complete.
func (l *ListBuilder) Next() (after string, more bool) { return l.after, !l.complete }

// Started reports whether any page was added.
func (l *ListBuilder) Started() bool { return l.started }

// Add takes over the next page, or returns ErrTorn.
func (l *ListBuilder) Add(p Page) error {
	if !l.started {
		l.started, l.Revision = true, p.Revision
	}
	if p.Revision.Epoch() != l.Revision.Epoch() {
		return ErrEpochChanged
	}
	l.Items = append(l.Items, p.Items...)
	if l.complete = !p.More || len(p.Items) == 0; !l.complete {
		l.after = p.Items[len(p.Items)-1].Key
	}
	return nil
}
