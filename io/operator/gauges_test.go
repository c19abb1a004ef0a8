package operator

import (
	"fmt"
	"testing"

	"github.com/rcrowley/go-metrics"

	"pearlatch/internal/gateway"
	"pearlatch/internal/usage"
)

// The largest accounts, the groups that a host keeps and their members change. Gauges of those that are gone must end, or
// their number would grow with the accounts and members that ever were.
func TestGaugesStayBounded(t *testing.T) {
	r := metrics.NewRegistry()
	g := gauges{registry: r}
	count := func() (n int) {
		r.Each(func(string, any) { n++ })
		return n
	}
	var first int
	for i := range 5 {
		name := fmt.Sprint("n", i)
		g.update(gateway.HostState{
			Groups:        []gateway.GroupState{{Name: name, Refused: usage.Refusals{usage.Load: 3}, Members: []gateway.MemberState{{ID: name}}}},
			Accounts:      []usage.AccountUsage{{Name: name, Waiting: 2}},
			OtherAccounts: usage.AccountUsage{Refused: usage.Refusals{usage.Quota: 7}},
		})
		if n := count(); i == 0 {
			first = n
		} else if n != first {
			t.Fatalf("%d gauges, %d before", n, first)
		}
	}
	for name, want := range map[string]int64{
		`refused_total{group="n4",cause="load"}`: 3, `account_waiting{account="n4"}`: 2,
		`account_refused_total{account="(others)",cause="quota"}`: 7,
	} {
		if got, ok := r.Get(name).(metrics.Gauge); !ok || got.Value() != want {
			t.Errorf("%s is not %d", name, want)
		}
	}
}
