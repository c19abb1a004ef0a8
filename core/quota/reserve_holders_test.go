package quota

import (
	"math"
	"slices"
	"testing"
	"time"

	"pearlatch/core/leadership"
	"pearlatch/core/quota/share"
)

// requestPart requests a portion of account "a" with quota40 and returns its rate. With a serial, the host holds the portion.
func requestPart(t *testing.T, g *Granter, host string, at time.Time, demand, reserve float64) float64 {
	t.Helper()
	serial := uint64(0)
	if p := g.pool("a", quota40, at).portions[host]; p != nil {
		serial = p.offered.Serial
	}
	g.Extend(at)
	return requestAccount(t, g, host, at, AccountRequest{Demand: demand, Reserve: reserve, HeldSerial: serial}).Rate
}

// A host requests a reserve and is not in the record for the granter's successor. It must get none until it is recorded:
// the successor would give away what it holds. Hosts whose reserves have expired are removed from the record.
func TestOnlyRecordedHostsGetReserves(t *testing.T) {
	g := NewGranter(5, noTolerance, t0, []string{"r1", "r2"}, nil)
	g.SetReserveHolders([]string{"r1"})
	g.RecordReport("r1", "r1.1", nil, t0)
	g.RecordReport("r2", "r2.1", nil, t0)
	part := ReserveFraction(3)
	if rate := requestPart(t, g, "r1", t0, 0, part); rate < 6 || g.ReserveHolders().Due(t0) {
		t.Errorf("the recorded host got %.1f/s", rate)
	}
	if rate := requestPart(t, g, "r2", t0, 0, part); rate > 0 || !g.ReserveHolders().Due(t0) {
		t.Errorf("a host that is not recorded got %.1f/s", rate)
	}
	if ids := g.ReserveHolders().Prepare(t0); !slices.Equal(ids, []string{"r1", "r2"}) {
		t.Errorf("%v are to be recorded", ids)
	}
	if rate := requestPart(t, g, "r2", t0.Add(ms), 0, part); rate > 0 {
		t.Errorf("%.1f/s while the write is in progress", rate)
	}
	g.ReserveHolders().Recorded([]string{"r1", "r2"})
	if rate := requestPart(t, g, "r2", t0.Add(2*ms), 0, part); rate < 6 {
		t.Errorf("%.1f/s after the write", rate)
	}
	late := t0.Add(PortionTTL + time.Second)
	requestPart(t, g, "r2", late, 0, part)
	if ids := g.ReserveHolders().Prepare(late); !slices.Equal(ids, []string{"r2"}) {
		t.Errorf("%v are to be recorded after r1's reserve has expired", ids)
	}
	if rate := requestPart(t, g, "r1", late, 0, part); rate > 0 {
		t.Errorf("%.1f/s for a host that is no longer recorded", rate)
	}
}

// A granter records another holder before the hosts that its predecessor recorded have reported or requested anything. They
// may hold reserves, so they must stay in the record until these have expired.
func TestHoldersOfEarlierGrantersStayRecorded(t *testing.T) {
	for at, want := range map[time.Time][]string{
		t0.Add(PortionTTL): {"r1", "r2"}, t0.Add(PortionTTL + maxClockDrift): {"r2"},
	} {
		g := NewGranter(5, noTolerance, t0, []string{"r1", "r2"}, nil)
		g.SetReserveHolders([]string{"r1"})
		g.RecordReport("r2", "r2.1", nil, t0)
		requestPart(t, g, "r2", t0, 0, ReserveFraction(3))
		if ids := g.ReserveHolders().Prepare(at); !slices.Equal(ids, want) {
			t.Errorf("%v are to be recorded %s after the start, want %v", ids, at.Sub(t0), want)
		}
	}
}

// The record names no reserve holders, since a host of the previous version wrote it. Hosts may then hold larger portions
// than a successor would assume. The granter names the holders only once these have expired.
func TestHoldersAreRecordedOnceOtherPortionsAreLimited(t *testing.T) {
	g := newTestGranter(noTolerance, "h1", "r1")
	if rate := requestPart(t, g, "h1", t0, 30, 0); rate < 0.29*quota40.Rate {
		t.Fatalf("%.1f/s for the only host with callers", rate)
	}
	requestPart(t, g, "r1", t0.Add(ms), 0, ReserveFraction(3))
	if ids := g.ReserveHolders().Prepare(t0.Add(PortionTTL)); ids != nil {
		t.Errorf("%v are to be recorded while another host may hold a large portion", ids)
	}
	end := t0.Add(PortionTTL + maxClockDrift + ms)
	requestPart(t, g, "r1", end, 0, ReserveFraction(3))
	if rate := requestPart(t, g, "h1", end, 30, 0); rate > share.OtherRate*quota40.Rate+0.001 {
		t.Errorf("%.1f/s for a host that is not to be recorded", rate)
	}
	if ids := g.ReserveHolders().Prepare(end); !slices.Equal(ids, []string{"r1"}) {
		t.Errorf("%v are to be recorded", ids)
	}
}

// A host is gone without a trace when the granter is replaced. If it can't hold a reserve, the new granter keeps back only
// what such hosts may hold together.
func TestNewGranterKeepsBackLittleForAHostWithoutReserve(t *testing.T) {
	for _, c := range []struct {
		holders []string
		gone    []string
		want    float64
	}{
		{nil, []string{"h9"}, 1 - share.PerHost},
		{[]string{"h9"}, []string{"h9"}, 1 - share.PerHost},
		{[]string{"r1"}, []string{"h9"}, 1 - share.OtherRate},
		{[]string{"r1"}, []string{"h8", "h9"}, 1 - share.OtherRate},
		{[]string{"r1", "h9"}, []string{"h8", "h9"}, 1 - share.OtherRate - share.PerHost},
	} {
		g := NewGranter(5, noTolerance, t0, append([]string{"r1"}, c.gone...), nil)
		g.SetReserveHolders(c.holders)
		g.RecordReport("r1", "r1.1", nil, t0)
		at := t0.Add(leadership.RoleValidity / 2)
		requestPart(t, g, "r1", at, 0, 0)
		if got := g.pools["a"].refillRate(g.scope); math.Abs(got-c.want*quota40.Rate) > 0.01 {
			t.Errorf("holders %v, %v gone: %.1f/s, want %.1f", c.holders, c.gone, got, c.want*quota40.Rate)
		}
	}
}
