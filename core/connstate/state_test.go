package connstate

import (
	"fmt"
	"maps"
	"slices"
	"testing"
)

// member is what a connection really holds at the member.
type member struct {
	values   map[string]string
	prepared map[string]string
}

func (m *member) carryOut(c Command[string]) {
	switch c := c.(type) {
	case Reset[string]:
		m.values, m.prepared = map[string]string{}, map[string]string{}
	case Assign[string]:
		m.values[c.Name] = c.Value
	case Define[string]:
		m.prepared[c.Name] = c.Statement
	}
}

// answer is how the member answers a command.
type answer int

const (
	carriedOut answer = iota
	refused
	failedAfterwards // carried out, and answered with an error
	answerCount
)

// driver runs sessions' statements on one connection, one after the other, and takes the member's answers from a sequence.
type driver struct {
	state   State[string]
	member  member
	answers []answer
	// ignoresAnswers takes each command for carried out. reusesNames gives the name of a failed definition again.
	ignoresAnswers, reusesNames bool
}

func newDriver(answers []answer) *driver {
	return &driver{member: member{map[string]string{}, map[string]string{}}, answers: answers}
}

func (d *driver) send(c Command[string]) (succeeded bool) {
	a := carriedOut
	if len(d.answers) > 0 {
		a, d.answers = d.answers[0], d.answers[1:]
	}
	if a != refused {
		d.member.carryOut(c)
	}
	succeeded = a == carriedOut || d.ignoresAnswers
	if _, defines := c.(Define[string]); defines && d.reusesNames && !succeeded {
		d.state.definitions--
	}
	d.state.Record(c, succeeded)
	return succeeded
}

// run runs a statement of a session and returns what is wrong with what it ran under, if it ran.
func (d *driver) run(values map[string]string, statement string) string {
	for _, c := range d.state.Setup(values) {
		if !d.send(c) {
			return ""
		}
	}
	name, define := d.state.Prepare(statement)
	if define != nil {
		d.send(*define) // sent together with the statement
	}
	text, known := d.member.prepared[name]
	switch {
	case !known:
		d.state.Forget(statement)
	case !maps.Equal(d.member.values, values) || text != statement:
		return fmt.Sprintf("statement %q ran as %q with values %v, want %v", statement, text, d.member.values, values)
	}
	return ""
}

// explore runs three sessions in turn with every sequence of answers to the first commands, and returns the first fault.
func explore(set func(*driver)) (fault string, runs int) {
	sessions := []struct {
		values    map[string]string
		statement string
	}{{map[string]string{"v": "1"}, "boards"}, {nil, "suits"}, {map[string]string{"v": "2", "w": "1"}, "boards"}, {map[string]string{"v": "1"}, "wax"}}
	const depth = 9
	answers := make([]answer, depth)
	for {
		d := newDriver(slices.Clone(answers))
		set(d)
		for range 2 {
			for _, s := range sessions {
				if fault := d.run(s.values, s.statement); fault != "" {
					return fmt.Sprint(answers, ": ", fault), runs
				}
			}
		}
		runs++
		i := 0
		for ; i < depth && answers[i] == answerCount-1; i++ {
			answers[i] = carriedOut
		}
		if i == depth {
			return "", runs
		}
		answers[i]++
	}
}

// Guards against statements that run with another session's values or as another prepared statement after any sequence of refused
// commands.
func TestStateMatchesMember(t *testing.T) {
	fault, runs := explore(func(*driver) {})
	if fault != "" {
		t.Fatal(fault)
	}
	t.Logf("%d sequences", runs)
}

// Each safeguard is necessary: without it a statement runs under the wrong state.
func TestMissingSafeguardIsFound(t *testing.T) {
	for name, set := range map[string]func(*driver){
		"answers to commands count": func(d *driver) { d.ignoresAnswers = true },
		"names are given once":      func(d *driver) { d.reusesNames = true },
	} {
		t.Run(name, func(t *testing.T) {
			fault, runs := explore(set)
			if fault == "" {
				t.Fatalf("nothing found in %d sequences", runs)
			}
			t.Log(fault)
		})
	}
}

func TestSetup(t *testing.T) {
	var s State[string]
	assign := func(name, value string) Command[string] { return Assign[string]{name, value} }
	setUp := func(values map[string]string, want ...Command[string]) {
		t.Helper()
		got := s.Setup(values)
		if !slices.Equal(got, want) {
			t.Errorf("%v, want %v", got, want)
		}
		for _, c := range got {
			s.Record(c, true)
		}
	}
	setUp(map[string]string{"w": "1", "v": "1"}, assign("v", "1"), assign("w", "1"))
	setUp(map[string]string{"w": "2", "v": "1"}, assign("w", "2"))
	setUp(nil, Reset[string]{})
	for i := range MaxPrepared {
		_, define := s.Prepare(fmt.Sprint(i))
		s.Record(*define, true)
	}
	setUp(map[string]string{"v": "1"}, Reset[string]{}, assign("v", "1"))
	s.Record(assign("v", "2"), false)
	if _, ok := s.SetupInTransaction(map[string]string{"v": "1"}); ok {
		t.Error("a connection with unknown values needs no reset in a transaction")
	}
	setUp(map[string]string{"v": "1"}, Reset[string]{}, assign("v", "1"))
}
