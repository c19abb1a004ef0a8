package quota

import (
	"fmt"
	"testing"
	"time"

	"pearlatch/core/account"
	"pearlatch/core/quota/reserve"
)

// Measures a granter's response to a request for one account. Before the pool kept sums over the portions, each
// response iterated over all hosts that hold one.
func BenchmarkHandleRequest(b *testing.B) {
	for _, size := range []struct{ hosts, accounts int }{{10, 100}, {75, 100}, {75, 10_000}, {1100, 100}, {1100, 10_000}} {
		b.Run(fmt.Sprintf("%d_hosts_%d_accounts", size.hosts, size.accounts), func(b *testing.B) {
			ids := make([]string, size.hosts)
			for i := range ids {
				ids[i] = fmt.Sprint("h", i)
			}
			g := newTestGranter(Tolerance{Window: 5 * time.Second, Share: 0.1, Operations: 20}, ids...)
			q := account.Quota{Rate: 100, Burst: 100}
			now := t0.Add(time.Second)
			req := Request{FencingToken: 5, Accounts: make([]AccountRequest, 1)}
			n := 0
			b.ReportAllocs()
			for b.Loop() {
				n++
				id := ids[n%len(ids)]
				req.ID = uint64(n)
				req.Accounts[0] = AccountRequest{Account: fmt.Sprint("a", n%size.accounts), Quota: q, Demand: 2, Waiting: 1}
				g.HandleRequest(id, id+".1", req, now)
			}
		})
	}
}

// Measures a reserve holder's reply to a request for one token of one account, and its own requests to the granter, which
// each new request looks for.
func BenchmarkReserveHolder(b *testing.B) {
	for _, accounts := range []int{10, 128} {
		s := NewShard()
		s.Follow(5)
		q := account.Quota{Rate: 1e7, Burst: 1e7}
		for i := range accounts {
			s.SetReserve(fmt.Sprint("a", i), q, ReserveFraction(3), t0)
		}
		req, _ := s.NextRequest(t0)
		grants := make([]Grant, len(req.Accounts))
		for i, each := range req.Accounts {
			grants[i] = Grant{Account: each.Account, Serial: 1, Rate: 1e9, Cap: 1e9, TTL: PortionTTL, Prefetched: 1e9}
		}
		s.HandleResponse(req.ID, 5, Response{Grants: grants}, t0)
		b.Run(fmt.Sprintf("give_%d_accounts", accounts), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				s.Give(reserve.Request{Accounts: []reserve.Demand{{Account: "a1", Waiting: 1}}}, func(string) (account.Quota, bool) { return q, true }, t0)
			}
		})
		b.Run(fmt.Sprintf("request_%d_accounts", accounts), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				s.NextRequest(t0)
			}
		})
	}
}

// Measures the admission of an operation with a token that its host already holds.
func BenchmarkBegin(b *testing.B) {
	for _, accounts := range []int{100, 10_000} {
		b.Run(fmt.Sprintf("%d_accounts", accounts), func(b *testing.B) {
			s := NewShard()
			s.Follow(5)
			names := make([]string, accounts)
			q := account.Quota{Rate: 1e7, Burst: 1e7}
			for i := range names {
				names[i] = fmt.Sprint("a", i)
				s.Begin(names[i], q, t0, t0)
			}
			req, _ := s.NextRequest(t0)
			grants := make([]Grant, len(req.Accounts))
			for i, each := range req.Accounts {
				grants[i] = Grant{Account: each.Account, Serial: 1, Rate: 1e9, Cap: 1e9, TTL: PortionTTL}
			}
			s.HandleResponse(req.ID, 5, Response{Grants: grants}, t0)
			n := 0
			b.ReportAllocs()
			for b.Loop() {
				n++
				s.Begin(names[n%accounts], q, t0, t0)
			}
		})
	}
}
