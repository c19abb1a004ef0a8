package quotas

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pearlatch/core/account"
)

// testAccounts are accounts with different quotas. Their callers use 0.45 of the quota, evenly over all hosts, so that no
// host has enough demand for a portion of its own.
var testAccounts = []account.Account{
	{Name: "small", Quota: account.Quota{Rate: 4, Burst: 6}},
	{Name: "medium", Quota: account.Quota{Rate: 12, Burst: 12}},
}

// load runs the callers of all accounts until the bubble's time has advanced by the given duration. It counts what they
// got.
type load struct {
	mu              sync.Mutex
	served, refused map[string]int
	slowest         time.Duration
}

func (f *testFleet) run(accounts *account.Directory, d time.Duration) *load {
	out := &load{served: map[string]int{}, refused: map[string]int{}}
	var wait sync.WaitGroup
	wait.Go(func() {
		for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
			f.renewRole()
		}
	})
	for _, each := range testAccounts {
		a := accounts.Account(each.Name)
		wait.Go(func() {
			interval := time.Duration(float64(time.Second) / (0.45 * a.Quota.Rate))
			for i, end := 0, time.Now().Add(d); time.Now().Before(end); i++ {
				if e := f.hosts[i%len(f.hosts)].running(); e != nil {
					wait.Go(func() { out.admit(f, e, a) })
				}
				time.Sleep(interval)
			}
		})
	}
	wait.Wait()
	return out
}

func (l *load) admit(f *testFleet, e *Enforcer, a *account.Account) {
	start := time.Now()
	ok, after := e.Admit(f.t.Context(), a, start.Add(3*time.Second))
	l.mu.Lock()
	defer l.mu.Unlock()
	l.slowest = max(l.slowest, time.Since(start))
	if ok {
		l.served[a.Name]++
		return
	}
	l.refused[a.Name]++
	if after <= 0 {
		f.t.Errorf("%s: refused without a time to retry", e.settings.Host)
	}
}

// All processes are killed. The new granter starts first and finds that some hosts refuse connections and others are
// silent; these start later, one by one. Once the last one has started, the granter
// distributes the whole quota after one more query: neither the pauses between queries, which grew to 1.6 s, nor the record
// of grantees, which needs the store, delays it further.
func TestQuotaIsDistributedOneRoundAfterTheLastHostStarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		accounts, err := account.NewDirectory(testAccounts)
		if err != nil {
			t.Fatal(err)
		}
		f := newTestFleet(t, 20, accounts)
		f.startGranting(0)
		f.run(accounts, 5*time.Second)
		for i, h := range f.hosts {
			h.cancel()
			h.lose(i%2 == 1)
		}
		f.hosts[0].start(accounts)
		f.startGranting(0, "h00")
		for _, h := range f.hosts[1:] {
			time.Sleep(300 * time.Millisecond)
			h.start(accounts)
			f.renewRole()
		}
		last := f.hosts[len(f.hosts)-1]
		begin := time.Now()
		for ; time.Since(begin) < 5*time.Second; time.Sleep(testDelay) {
			last.running().Admit(t.Context(), accounts.Account("small"), time.Now().Add(3*time.Second))
			if s := f.hosts[0].running().shardByName("s"); f.holdingsKnown(s) {
				break
			}
		}
		if took := time.Since(begin); took > requestTimeout+neededReportBackoff {
			t.Errorf("the granter knew all holdings %s after the last host had started", took)
		}
		f.stop()
	})
}

// The store is silent for 6 s, and the granter's host dies at the beginning. Its successor does not know what the lost
// host holds. Accounts that use less than half of their quotas are served throughout, by the reserve holders. Before, all
// accounts were refused until the successor had started. While the granter answers, no holder is asked.
func TestAccountsAreServedWithoutTheGranter(t *testing.T) {
	for name, granter := range map[string]int{"the granter is ranked first": 0, "the granter is ranked later": 5} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runOutage(t, granter) })
		})
	}
}

func runOutage(t *testing.T, granter int) {
	accounts, err := account.NewDirectory(testAccounts)
	if err != nil {
		t.Fatal(err)
	}
	f := newTestFleet(t, 20, accounts)
	defer f.stop()
	f.startGranting(granter)
	f.run(accounts, 5*time.Second)
	before := f.countReserveRequests()
	if l, n := f.run(accounts, 10*time.Second), f.countReserveRequests()-before; len(l.refused) > 0 || n > 0 {
		t.Errorf("refused %v, %d requests to holders while the granter answers", l.refused, n)
	}
	f.hosts[granter].lose(false)
	silence := f.run(accounts, 6*time.Second)
	f.startGranting(1, f.hosts[granter].id)
	after := f.run(accounts, 6*time.Second)
	for _, l := range []*load{silence, after} {
		t.Logf("served %v, refused %v, slowest %s; %d requests to holders", l.served, l.refused, l.slowest, f.countReserveRequests())
		if len(l.refused) > 0 || l.slowest > maxTokenDelay {
			t.Error("callers of accounts below half of their quotas were refused or waited too long")
		}
	}
}
