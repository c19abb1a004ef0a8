package group

import "testing"

func standby(id string, lsn int) Standby {
	return Standby{Member: id, Answered: true, Fenced: true, Complete: true, Received: Position{Term: 1, LSN: LSN(lsn)}}
}

func TestSuccessor(t *testing.T) {
	unanswered := Standby{Member: "c"}
	unfenced := standby("b", 5)
	unfenced.Fenced = false
	ahead := standby("b", 9)
	ahead.Fenced = false
	leaving := standby("a", 9)
	leaving.Leaving = true
	newTerm := standby("b", 1)
	newTerm.Received.Term = 2
	at := func(lsn int) *Position { return &Position{Term: 1, LSN: LSN(lsn)} }
	for _, c := range []struct {
		name     string
		demoted  *Position
		replicas []Standby
		want     string
	}{
		{"highest position", nil, []Standby{standby("a", 7), standby("b", 9)}, "b"},
		{"lowest identifier among equal positions", nil, []Standby{standby("b", 7), standby("a", 7)}, "a"},
		{"later term with a lower LSN", nil, []Standby{standby("a", 7), newTerm}, "b"},
		{"unanswered replica may have acknowledged more", nil, []Standby{standby("a", 7), unanswered}, ""},
		{"replica holds all of the demoted primary's log", at(7), []Standby{standby("a", 7), unanswered}, "a"},
		{"demoted primary held more", at(8), []Standby{standby("a", 7), unanswered}, ""},
		{"unfenced replica ahead of a fenced one", nil, []Standby{standby("a", 7), ahead}, "b"},
		{"unfenced replica may still acknowledge", nil, []Standby{standby("a", 7), unfenced}, ""},
		{"leaving replica holds more", nil, []Standby{leaving, standby("b", 7)}, ""},
		{"leaving replica holds no more", nil, []Standby{leaving, standby("b", 9)}, "b"},
		{"no replicas", nil, nil, ""},
	} {
		got, ok := Successor(c.demoted, c.replicas)
		if got.Member != c.want || ok != (c.want != "") {
			t.Errorf("%s: %q, %v; want %q", c.name, got.Member, ok, c.want)
		}
	}
}

// Guards against losing an acknowledged write in a failover. A leaving replica
// acknowledged it while the other replica received nothing, and then left the
// group with its log. The other replica is the only one left to answer, so its
// log is the longest of those that remain.
func TestSuccessorConsidersDepartedMembers(t *testing.T) {
	incomplete := standby("a", 7)
	incomplete.Complete = false
	if got, ok := Successor(nil, []Standby{incomplete}); ok {
		t.Errorf("Successor = %q although a departed member may have acknowledged more", got.Member)
	}
	if _, ok := Successor(&Position{Term: 1, LSN: 7}, []Standby{incomplete}); !ok {
		t.Error("no successor although the replica holds all of the demoted primary's log")
	}
}
