package gateway

import (
	"context"
	"testing"
	"time"

	"pearlatch/core/freshness"
)

// The store falls silent and the host of the group's granter is lost. Hosts have too few callers for portions of their own.
// The hosts that are ranked first for the group must serve them: without reserves all are refused.
func TestReserveHoldersServeWithoutTheGranter(t *testing.T) {
	withFleet(t, 20, 20, freshness.Latest{}, func(s *fakeSite, f *fakeFleet) {
		s.put("config", configWithAccounts(52, 20, "hotel k2 40"), 0)
		time.Sleep(5 * time.Second)
		granter, _, ok := quotaFleet{h: f.all()[0]}.Granter(testGroup)
		if !ok {
			t.Fatal("no granter")
		}
		for _, h := range f.all() {
			f.setFault(f.storeSilentFor, h.settings.Host, true)
		}
		f.setFault(f.unreachable, granter, true)
		var others []*Host
		for _, h := range f.all() {
			if h.settings.Host != granter {
				others = append(others, h)
			}
		}
		served := 0
		const operations = 60
		for i := range operations {
			h := others[i%len(others)]
			account := h.config.Accounts.Account("hotel")
			if ok, _ := h.Quotas().Admit(context.Background(), account, time.Now().Add(time.Second)); ok {
				served++
			}
			time.Sleep(50 * time.Millisecond)
		}
		if served < operations*95/100 {
			t.Errorf("%d of %d operations were served", served, operations)
		}
	})
}

// Guards against statements that use up the quota although they are refused during an outage of the primary. The operations
// that run after the outage must remain within the quota.
func TestRefusedStatementsTakeNoQuota(t *testing.T) {
	withHost(t, freshness.Latest{}, func(s *fakeSite, h *Host) {
		const rate = 10
		s.put("config", configWithAccounts(52, 20, "hotel k2 10"), 0)
		time.Sleep(5 * time.Second)
		setAllCrashed(s, true)
		time.Sleep(3 * time.Second)
		for range 20 * rate {
			if r := execAs(h, "k2", Write{}); r.Failure == nil || r.Failure.Code != Busy {
				t.Fatalf("a write without a primary got %v", r.Failure)
			}
		}
		hotel := h.config.Accounts.Account("hotel")
		if ok, _ := h.Quotas().Admit(context.Background(), hotel, time.Now().Add(50*time.Millisecond)); !ok {
			t.Error("the refused statements have used up the quota")
		}
		setAllCrashed(s, false)
		time.Sleep(2 * time.Second)
		const window = 5 * time.Second
		served := countServed(h, "k2", window)
		if most := rate*int(window.Seconds()) + rate; served > most || served < most/2 {
			t.Errorf("%d writes were served in %s, want at most %d and half of them", served, window, most)
		}
	})
}

func setAllCrashed(s *fakeSite, crashed bool) {
	for _, id := range []string{"a", "b", "c"} {
		s.updateMember(id, func(m *fakeMember) { m.crashed = crashed })
	}
}

// countServed sends a write every 10 ms for the given time, and returns how many succeed.
func countServed(h *Host, key string, during time.Duration) int {
	served := 0
	for since := time.Now(); time.Since(since) < during; time.Sleep(10 * time.Millisecond) {
		if r := execAs(h, key, Write{}); r.Failure == nil {
			served++
		}
	}
	return served
}
