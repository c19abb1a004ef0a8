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
