package quota

import (
	"fmt"
	"testing"
	"time"

	"pearlatch/core/account"
)

// One granter's answer to a host that asks for one of its accounts. Before sums of portions were kept an answer
// walked over all hosts that hold one.
func BenchmarkHandleRequest(b *testing.B) {
	for _, size := range []struct{ hosts, accounts int }{{10, 100}, {85, 100}, {85, 10_000}, {1078, 100}, {1078, 10_000}} {
		b.Run(fmt.Sprintf("%d_hosts_%d_accounts", size.hosts, size.accounts), func(b *testing.B) {
			ids := make([]string, size.hosts)
			for i := range ids {
				ids[i] = fmt.Sprint("h", i)
			}
			l := newTestGranter(Tolerance{5 * time.Second, 0.1, 20}, ids...)
			q := account.Quota{Rate: 100, Burst: 100}
			now := t0.Add(time.Second)
			in := Request{Token: 5, Accounts: make([]AccountRequest, 1)}
			n := 0
			b.ReportAllocs()
			for b.Loop() {
				n++
				id := ids[n%len(ids)]
				in.ID = uint64(n)
				in.Accounts[0] = AccountRequest{Account: fmt.Sprint("a", n%size.accounts), Quota: q, Demand: 2, Waiting: 1}
				l.HandleRequest(id, id+".1", in, now)
			}
		})
	}
}

// One operation that finds its token with its host.
func BenchmarkBegin(b *testing.B) {
	for _, accounts := range []int{100, 10_000} {
		b.Run(fmt.Sprintf("%d_accounts", accounts), func(b *testing.B) {
			s := NewShard()
			s.Follow(5)
			names := make([]string, accounts)
			q := account.Quota{Rate: 1e7, Burst: 1e7}
			for i := range names {
				names[i] = fmt.Sprint("a", i)
				s.Begin(names[i], q, t0)
			}
			in, _ := s.NextRequest(t0)
			grants := make([]Grant, len(in.Accounts))
			for i, each := range in.Accounts {
				grants[i] = Grant{Account: each.Account, Serial: 1, Rate: 1e9, Cap: 1e9, TTL: PortionTTL}
			}
			s.HandleResponse(in.ID, 5, Response{Grants: grants}, t0)
			n := 0
			b.ReportAllocs()
			for b.Loop() {
				n++
				s.Begin(names[n%accounts], q, t0)
			}
		})
	}
}
