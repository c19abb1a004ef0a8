package quotas

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pearlatch/core/account"
	"pearlatch/core/quota/reserve"
)

// Guards against reserves that a successor of the granter does not know of: while the store is silent, a host that is not
// recorded gets none. Once the store answers, the granter records the holders and they get their reserves.
func TestReservesAreGrantedOnceHoldersAreRecorded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		accounts, err := account.NewDirectory(testAccounts)
		if err != nil {
			t.Fatal(err)
		}
		f := newTestFleet(t, 6, accounts)
		defer f.stop()
		f.recorded = []string{}
		f.startGranting(0)
		f.run(accounts, 5*time.Second)
		if ids := f.holdersWithTokens(); len(ids) > 0 {
			t.Errorf("%v hold reserves while the store is silent", ids)
		}
		f.mu.Lock()
		f.storeUp = true
		f.mu.Unlock()
		f.run(accounts, 12*time.Second) // hosts request a reserve that they didn't get again after 5 s
		want := []string{"h01", "h02", "h03"}
		if ids := f.holdersWithTokens(); !slices.Equal(ids, want) || !slices.Equal(f.recorded, want) {
			t.Errorf("%v hold reserves, %v are recorded, want %v", ids, f.recorded, want)
		}
	})
}

// holdersWithTokens returns the hosts that hold reserves.
func (f *testFleet) holdersWithTokens() (ids []string) {
	for _, h := range f.hosts {
		r := ReserveRequest{Shard: "s", Request: reserve.Request{Accounts: []reserve.Demand{{Account: "medium", Waiting: 1}}}}
		if len(h.enforcer.HandleReserveRequest(r).Grants) > 0 {
			ids = append(ids, h.id)
		}
	}
	return ids
}
