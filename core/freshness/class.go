package freshness

import (
	"fmt"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Class is the freshness that a route requires of its reads. Its
// implementations are Latest, OwnWrites and MaxAge.
type Class interface {
	fmt.Stringer
	isClass()
}

// Latest requires everything that a majority of the members holds when the read
// arrives.
type Latest struct{}

// OwnWrites requires every acknowledged write of the session.
type OwnWrites struct{}

// MaxAge requires every acknowledged write of the session, and every other
// write that was acknowledged longer ago than Age.
type MaxAge struct {
	// Age is positive.
	Age time.Duration
}

func (Latest) isClass()    {}
func (OwnWrites) isClass() {}
func (MaxAge) isClass()    {}

// String returns the name that configuration documents use.
func (Latest) String() string { return "latest" }

// String returns the name that configuration documents use.
func (OwnWrites) String() string { return "own_writes" }

// String returns the form that configuration documents use.
func (c MaxAge) String() string { return agePrefix + c.Age.String() }

const agePrefix = "age <= "

// ParseClass reads "latest", "own_writes" or "age <= DURATION".
func ParseClass(s string) (Class, error) {
	switch s {
	case "latest":
		return Latest{}, nil
	case "own_writes":
		return OwnWrites{}, nil
	}
	rest, ok := strings.CutPrefix(s, agePrefix)
	if !ok {
		return nil, errors.Errorf("%q is none of latest, own_writes and %sDURATION", s, agePrefix)
	}
	age, err := time.ParseDuration(strings.TrimSpace(rest))
	if err != nil {
		return nil, errors.Errorf("%q: the age is not a duration such as 500ms or 2s", s)
	}
	if age <= 0 {
		return nil, errors.Errorf("%q: the age must be positive", s)
	}
	return MaxAge{Age: age}, nil
}
