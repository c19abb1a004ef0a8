package kv

import "github.com/pkg/errors"

// Range selects keys of a store. They are returned in key order.
type Range struct {
	// Prefix is the common prefix of the keys.
	Prefix string
	// After excludes all keys up to and including this one, unless it is empty.
	After string
	// AllowStale is true if the result may be some seconds old.
	AllowStale bool
}

// Page holds the first items of a range.
type Page struct {
	Snapshot
	// More is true if the range has further keys.
	More bool
}

// ListBuilder builds a list from its pages. The pages are read at different times and are not a consistent snapshot, so the
// list has the revision of the first page. A watch from that revision returns what changed since. The zero value is ready
// for use, for one list.
type ListBuilder struct {
	Snapshot
	started  bool
	complete bool
	after    string
}

// ErrEpochChanged means that the store was restored from a backup between two pages of a list.
var ErrEpochChanged = errors.New("the store was restored between two pages of the list")

// Next returns the key after which the next page begins. more is false once the list is complete.
func (l *ListBuilder) Next() (after string, more bool) { return l.after, !l.complete }

// Started reports whether a page was added.
func (l *ListBuilder) Started() bool { return l.started }

// Add appends the next page. It returns ErrEpochChanged if the page has another epoch than the first one.
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
