package fleet

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"pearlatch/core/membership"
)

var testPeer = netip.MustParseAddrPort("10.0.0.1:1")

// A host's entry tells its strength, and hosts of the version before, which read one word after the address, must still
// read that it leaves.
func TestEntriesStateTheCores(t *testing.T) {
	for _, h := range []membership.Host{
		{ID: "h", Zone: "z", Peer: testPeer, Cores: 0.192},
		{ID: "h", Zone: "z", Peer: testPeer, Leaving: true},
		{ID: "h", Zone: "z", Peer: testPeer},
	} {
		if got := ParseEntry("h", FormatEntry(h)); got != h {
			t.Errorf("%q is read as %+v, want %+v", FormatEntry(h), got, h)
		}
	}
	leaves := membership.Host{ID: "h", Zone: "z", Peer: testPeer, Cores: 2, Leaving: true}
	if got := string(FormatEntry(leaves)); got != "z 10.0.0.1:1 leaving" {
		t.Errorf("an entry that leaves is %q", got)
	}
	for _, odd := range []string{"z 10.0.0.1:1 cores=many", "z 10.0.0.1:1 cores=-1", "z 10.0.0.1:1 cores=NaN", "z 10.0.0.1:1 cores=1e9"} {
		if got := ParseEntry("h", []byte(odd)); got.Cores != 0 || !got.Peer.IsValid() {
			t.Errorf("%q is read as %+v", odd, got)
		}
	}
}

// The store turns hosts away, and their entries lapse. They go on to serve for a while, or groups would change the hosts
// that serve them twice. One that said that it leaves does not.
func TestHostsStayListedAfterTheirEntryExpires(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, c := range []struct {
		name   string
		leaves bool
		after  time.Duration
		listed bool
		seen   int
	}{
		{"just lapsed", false, 0, true, 2},
		{"lapsed for long", false, servingRetention + time.Second, false, 2},
		{"forgotten", false, hostRetention + time.Second, false, 1},
		{"left", true, 0, false, 2},
	} {
		f := New(membership.Host{ID: "h0", Zone: "z", Peer: testPeer})
		f.RecordEntry("h0", []byte("z 10.0.0.1:1"), false, start)
		f.RecordEntry("h1", []byte("z 10.0.0.2:1"), false, start)
		f.UpdateList(start)
		if c.leaves {
			f.RecordEntry("h1", []byte("z 10.0.0.2:1 leaving"), false, start)
		}
		f.RecordEntry("h1", nil, true, start)
		f.UpdateList(start)
		f.UpdateList(start.Add(c.after))
		if _, listed := f.Address("h1"); listed != c.listed || f.RecentCount() != c.seen {
			t.Errorf("%s: listed %t, %d seen; want %t, %d", c.name, listed, f.RecentCount(), c.listed, c.seen)
		}
	}
}

// Hosts that are drawn are not suspect, none twice, and all of them in time.
func TestSample(t *testing.T) {
	f := New(membership.Host{ID: "h0", Zone: "z", Peer: testPeer})
	for i := range 12 {
		f.RecordEntry(fmt.Sprint("h", i), fmt.Appendf(nil, "z 10.0.0.%d:1", i+1), false, time.Unix(1000, 0))
	}
	f.UpdateList(time.Unix(1000, 0))
	f.RecordFailure("h3")
	drawn := map[string]bool{}
	for range 200 {
		some := f.Sample(4)
		if len(some) != 4 {
			t.Fatalf("%d hosts are drawn", len(some))
		}
		once := map[string]bool{}
		for _, h := range some {
			if once[h.ID] || h.ID == "h0" || h.ID == "h3" {
				t.Fatalf("drawn %v", some)
			}
			once[h.ID], drawn[h.ID] = true, true
		}
	}
	if len(drawn) != 10 {
		t.Errorf("%d of 10 hosts are drawn", len(drawn))
	}
}
