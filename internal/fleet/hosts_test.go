package fleet

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"pearlatch/core/membership"
)

var testPeer = netip.MustParseAddrPort("10.0.0.1:1")

// A host's entry states its number of cores. Hosts of the previous version read only one field after the address, and
// must still see there that a host is leaving.
func TestEntriesStateTheCores(t *testing.T) {
	for _, h := range []membership.Host{
		{ID: "h", Zone: "z", Peer: testPeer, Cores: 0.192},
		{ID: "h", Zone: "z", Peer: testPeer, Leaving: true},
		{ID: "h", Zone: "z", Peer: testPeer},
	} {
		if got := ParseEntry("h", FormatEntry(h)); got != h {
			t.Errorf("%q is parsed as %+v, want %+v", FormatEntry(h), got, h)
		}
	}
	leaving := membership.Host{ID: "h", Zone: "z", Peer: testPeer, Cores: 2, Leaving: true}
	if got := string(FormatEntry(leaving)); got != "z 10.0.0.1:1 leaving" {
		t.Errorf("the entry of a leaving host is %q", got)
	}
	for _, invalid := range []string{"z 10.0.0.1:1 cores=many", "z 10.0.0.1:1 cores=-1", "z 10.0.0.1:1 cores=NaN", "z 10.0.0.1:1 cores=1e9"} {
		if got := ParseEntry("h", []byte(invalid)); got.Cores != 0 || !got.Peer.IsValid() {
			t.Errorf("%q is parsed as %+v", invalid, got)
		}
	}
}

// The store rejects hosts, and their entries expire. These hosts must remain listed for a while, or groups would change
// their serving hosts twice. A host that announced that it is leaving must not.
func TestHostsStayListedAfterTheirEntryExpires(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, c := range []struct {
		name    string
		leaving bool
		after   time.Duration
		listed  bool
		recent  int
	}{
		{"just removed", false, 0, true, 2},
		{"removed long ago", false, servingRetention + time.Second, false, 2},
		{"forgotten", false, hostRetention + time.Second, false, 1},
		{"left", true, 0, false, 2},
	} {
		f := New(membership.Host{ID: "h0", Zone: "z", Peer: testPeer})
		f.RecordEntry("h0", []byte("z 10.0.0.1:1"), false, start)
		f.RecordEntry("h1", []byte("z 10.0.0.2:1"), false, start)
		f.UpdateList(start)
		if c.leaving {
			f.RecordEntry("h1", []byte("z 10.0.0.2:1 leaving"), false, start)
		}
		f.RecordEntry("h1", nil, true, start)
		f.UpdateList(start)
		f.UpdateList(start.Add(c.after))
		if _, listed := f.Address("h1"); listed != c.listed || f.RecentCount() != c.recent {
			t.Errorf("%s: listed %t, %d recent hosts; want %t, %d", c.name, listed, f.RecentCount(), c.listed, c.recent)
		}
	}
}

// Sampled hosts are not suspect, none is drawn twice, and all are drawn in time.
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
			t.Fatalf("%d hosts were drawn", len(some))
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
		t.Errorf("%d of 10 hosts were drawn", len(drawn))
	}
}
