package upstream

import (
	"testing"
	"time"

	"pearlatch/core/group"
)

// A caller's write gets a connection to the primary, and at that moment another
// member is promoted. If the exchange asked only then what its connection leads
// to, it would hear "a replica", and acknowledge the write without confirmation:
// the write is lost with the old primary.
func TestConnKeepsRoleAtAcquisition(t *testing.T) {
	before := &view{phase: Serving, primary: 0, term: 3}
	c := &conn{member: 0}
	c.markAcquired(before, time.Now())
	after := &view{phase: Serving, primary: 1, term: 4}
	if c.replica || c.term != 3 {
		t.Errorf("replica %v, term %d; want the primary of term 3, whatever %+v says", c.replica, c.term, *after)
	}
	c.markAcquired(after, time.Now())
	if !c.replica || c.term != 4 {
		t.Errorf("replica %v, term %d; want a replica in term 4", c.replica, c.term)
	}
}

func TestParseStatus(t *testing.T) {
	row := []string{"t", "7:host-2", "t", "5", "6", "0/2000", "0/1000"}
	got, err := parseStatus(row)
	want := group.Status{
		InRecovery: true, Streaming: true, Fence: group.Fence{Term: 7, Host: "host-2"},
		Timeline: 5, LogTerm: 6, Received: 0x2000, Replayed: 0x1000,
	}
	if err != nil || got != want {
		t.Errorf("got %+v, %v; want %+v", got, err, want)
	}
	for i, broken := range map[int]string{colReceived: "x", colReplayed: "1"} {
		row := append([]string(nil), row...)
		row[i] = broken
		if _, err := parseStatus(row); err == nil {
			t.Errorf("column %d = %q was taken", i, broken)
		}
	}
	if _, err := parseStatus(row[1:]); err == nil {
		t.Error("a row with a column less was taken")
	}
}

func TestHostFromAppName(t *testing.T) {
	o := Options{Host: "host-1", Serial: 3}
	if got := hostFromAppName(appName(o)); got != "host-1" {
		t.Errorf("hostOfApp(%q) = %q", appName(o), got)
	}
}
