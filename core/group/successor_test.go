package group

import "testing"

func standby(id string, lsn int) Standby {
	return Standby{Member: id, Answered: true, Fenced: true, Complete: true, Received: Position{Term: 1, LSN: LSN(lsn)}}
}

func TestSuccessor(t *testing.T) {
	silent := Standby{Member: "c"}
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
		{"the one that received most", nil, []Standby{standby("a", 7), standby("b", 9)}, "b"},
		{"equals by identifier", nil, []Standby{standby("b", 7), standby("a", 7)}, "a"},
		{"a later term holds more", nil, []Standby{standby("a", 7), newTerm}, "b"},
		{"a silent replica may have acknowledged", nil, []Standby{standby("a", 7), silent}, ""},
		{"a demoted primary's position settles it", at(7), []Standby{standby("a", 7), silent}, "a"},
		{"a demoted primary held more", at(8), []Standby{standby("a", 7), silent}, ""},
		{"a fenced replica with less than an unfenced heir", nil, []Standby{standby("a", 7), ahead}, "b"},
		{"an unfenced replica may still acknowledge", nil, []Standby{standby("a", 7), unfenced}, ""},
		{"a leaving replica that holds more bars the rest", nil, []Standby{leaving, standby("b", 7)}, ""},
		{"a leaving replica that holds no more", nil, []Standby{leaving, standby("b", 9)}, "b"},
		{"nobody", nil, nil, ""},
	} {
		got, ok := Successor(c.demoted, c.replicas)
		if got.Member != c.want || ok != (c.want != "") {
			t.Errorf("%s: %q, %v; want %q", c.name, got.Member, ok, c.want)
		}
	}
}

// A caller's booking is gone after a failover. A draining replica had acknowledged it
// for the primary while the other replica received nothing, and then ended with its
// log; the other one answers alone, and its log is the longest of all that are left.
func TestSuccessorConsidersDepartedMembers(t *testing.T) {
	deaf := standby("a", 7)
	deaf.Complete = false
	if got, ok := Successor(nil, []Standby{deaf}); ok {
		t.Errorf("%q was named although a departed member may have acknowledged more", got.Member)
	}
	if _, ok := Successor(&Position{Term: 1, LSN: 7}, []Standby{deaf}); !ok {
		t.Error("the demoted primary's own log says that nothing is missing")
	}
}
