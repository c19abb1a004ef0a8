package connstate

import (
	"maps"
	"slices"
	"strconv"
)

// MaxPrepared bounds the definitions of prepared statements on a connection between two resets outside transactions.
const MaxPrepared = 64

// Command changes what a connection holds. Its implementations are Reset, Assign and Define.
type Command[S comparable] interface{ isCommand(S) }

// Reset clears the values and prepared statements.
type Reset[S comparable] struct{}

// Assign sets a value.
type Assign[S comparable] struct{ Name, Value string }

// Define prepares a statement under a name.
type Define[S comparable] struct {
	Name      string
	Statement S
}

func (Reset[S]) isCommand(S)  {}
func (Assign[S]) isCommand(S) {}
func (Define[S]) isCommand(S) {}

// State is what a connection holds. Only a command that the member has answered with success counts as carried out. The zero
// value is a new connection. It is not safe for concurrent use.
type State[S comparable] struct {
	// values are the values of the connection, unless unknown is true: then a Reset or Assign has ended without success
	// since the last successful Reset.
	values  map[string]string
	unknown bool
	// prepared holds the names of the statements that are certainly defined.
	prepared map[S]string
	// definitions is the number of names given since the last successful Reset. No name is given twice in between, even if its
	// definition failed: it may exist all the same, and would be run in place of another statement.
	definitions int
}

// Setup returns the commands after which the connection holds just the given values. All of them must have succeeded before a
// statement is sent. The assignments are in the order of their names.
func (s *State[S]) Setup(values map[string]string) []Command[S] {
	var out []Command[S]
	held := s.values
	if s.NeedsReset(values) || s.definitions >= MaxPrepared {
		out, held = append(out, Reset[S]{}), nil
	}
	return append(out, assignments[S](held, values)...)
}

// SetupInTransaction is like Setup for an open transaction, in which a connection is not reset. It returns false if the
// connection needs that.
func (s *State[S]) SetupInTransaction(values map[string]string) ([]Command[S], bool) {
	if s.NeedsReset(values) {
		return nil, false
	}
	return assignments[S](s.values, values), true
}

// NeedsReset reports whether the connection may hold other values than the given ones set or replace.
func (s *State[S]) NeedsReset(values map[string]string) bool {
	for k := range s.values {
		if _, ok := values[k]; !ok {
			return true
		}
	}
	return s.unknown
}

// Unknown reports whether a Reset or Assign without success has left the connection with values that are not known.
func (s *State[S]) Unknown() bool { return s.unknown }

// assignments returns the commands that turn the held values into the given ones.
func assignments[S comparable](held, values map[string]string) []Command[S] {
	var out []Command[S]
	for _, k := range slices.Sorted(maps.Keys(values)) {
		if old, ok := held[k]; !ok || old != values[k] {
			out = append(out, Assign[S]{k, values[k]})
		}
	}
	return out
}

// Prepare returns the name of the statement on the connection, and its definition if the connection lacks it. The definition
// may be sent together with the statement: if it fails, the name does not exist, and the member does not run the statement.
func (s *State[S]) Prepare(statement S) (name string, define *Define[S]) {
	if name, ok := s.prepared[statement]; ok {
		return name, nil
	}
	name = "p" + strconv.Itoa(s.definitions)
	s.definitions++
	return name, &Define[S]{name, statement}
}

// Record records the member's answer to a command.
func (s *State[S]) Record(c Command[S], succeeded bool) {
	switch c := c.(type) {
	case Reset[S]:
		s.unknown, s.values, s.prepared = !succeeded, nil, nil
		if succeeded {
			s.definitions = 0
		}
	case Assign[S]:
		if !succeeded {
			s.unknown = true
			return
		}
		if s.values == nil {
			s.values = map[string]string{}
		}
		s.values[c.Name] = c.Value
	case Define[S]:
		if !succeeded {
			return
		}
		if s.prepared == nil {
			s.prepared = map[S]string{}
		}
		s.prepared[c.Statement] = c.Name
	}
}

// Forget records that the member does not know the prepared statement.
func (s *State[S]) Forget(statement S) { delete(s.prepared, statement) }
