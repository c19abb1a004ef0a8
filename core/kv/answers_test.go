package kv

import (
	"errors"
	"testing"
)

// Guards against answers to earlier calls that are taken for a call's own.
func TestAnswersOfOtherCalls(t *testing.T) {
	page := func(revision Revision, keys ...string) Page {
		p := Page{Snapshot: Snapshot{Revision: revision}}
		for _, k := range keys {
			p.Items = append(p.Items, Item{Key: k})
		}
		return p
	}
	later := NewRevision(1, 3)
	for name, c := range map[string]struct {
		check func(*Answers) error
		other bool
	}{
		"commit above":              {func(a *Answers) error { return a.Committed(a.Known(), 51) }, false},
		"commit again":              {func(a *Answers) error { return a.Committed(a.Known(), 50) }, true},
		"commit without revision":   {func(a *Answers) error { return a.Committed(a.Known(), 0) }, true},
		"commit of a later epoch":   {func(a *Answers) error { return a.Committed(a.Known(), later) }, false},
		"commits at once":           {func(a *Answers) error { return a.Committed(40, 45) }, false},
		"page of now":               {func(a *Answers) error { return a.Page(a.Known(), Range{}, page(50)) }, false},
		"page of before":            {func(a *Answers) error { return a.Page(a.Known(), Range{}, page(49)) }, true},
		"stale page":                {func(a *Answers) error { return a.Page(a.Known(), Range{AllowStale: true}, page(9)) }, false},
		"page of a later epoch":     {func(a *Answers) error { return a.Page(a.Known(), Range{}, page(later)) }, false},
		"page of another prefix":    {func(a *Answers) error { return a.Page(0, Range{Prefix: "a/"}, page(50, "a/1", "b/1")) }, true},
		"page of before the first":  {func(a *Answers) error { return a.Page(0, Range{After: "a/1"}, page(50, "a/1", "a/2")) }, true},
		"lease":                     {func(a *Answers) error { return a.Granted(8) }, false},
		"lease again":               {func(a *Answers) error { return a.Granted(7) }, true},
		"lease of a restored store": {func(a *Answers) error { return errors.Join(a.Committed(0, later), a.Granted(7)) }, false},
		"no lease":                  {func(a *Answers) error { return a.Granted(0) }, true},
	} {
		var a Answers
		if err := errors.Join(a.Committed(0, 50), a.Granted(7)); err != nil {
			t.Fatal(err)
		}
		if err := c.check(&a); errors.Is(err, ErrAnswerOfAnotherCall) != c.other {
			t.Errorf("%s: %v", name, err)
		}
	}
}
