package load

import (
	"fmt"
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

// chosen returns how many of 1,000 statements each server is the first to be tried for, with evenly spread random numbers.
func chosen(t *Table, account string, servers []Server, now time.Time) map[string]int {
	out := map[string]int{}
	for i := range 1000 {
		c := Choice{Group: "g", Account: account, Servers: servers, Random: float64(i) / 1000}
		out[servers[t.Order(nil, c, now)[0]].ID]++
	}
	return out
}

// queueOf returns the report of a server with the given expected wait.
func queueOf(wait time.Duration) Report {
	return Report{Waiting: int(wait.Milliseconds()), Rate: 1000, Delay: wait}
}

// Reports that are missing, old, late, of an earlier process or without a rate must not change the order: the page on hard
// load promises the home server or the current order then.
func TestOrderWithoutUsableReports(t *testing.T) {
	servers := testServers(3)
	long := queueOf(300 * time.Millisecond)
	for name, record := range map[string]func(*Table){
		"none": func(*Table) {},
		"old":  func(t *Table) { t.Record("h0", "p", 1, long, start.Add(-reportTTL-1)) },
		"late": func(t *Table) {
			t.Record("h0", "p", 2, Report{}, start)
			t.Record("h0", "p", 1, long, start)
		},
		"earlier process": func(t *Table) {
			t.Record("h0", "p", 7, long, start)
			t.Record("h0", "q", 1, Report{}, start)
			t.Record("h0", "p", 8, long, start)
		},
		"nothing served": func(t *Table) { t.Record("h0", "p", 1, Report{Waiting: 90}, start) },
		"others unknown": func(t *Table) {
			t.Record("h0", "p", 1, long, start)
			t.Record("h1", "p", 1, Report{Waiting: 90}, start)
			t.Record("h2", "p", 1, Report{Waiting: 90}, start)
		},
		"less than a round trip": func(t *Table) { t.Record("h0", "p", 1, queueOf(3*time.Millisecond), start) },
	} {
		var table Table
		record(&table)
		far := []Server{servers[0], {ID: "h1", Way: 3 * time.Millisecond}, {ID: "h2", Way: 3 * time.Millisecond}}
		if got := chosen(&table, "", far, start); got["h0"] != 1000 {
			t.Errorf("%s: %v", name, got)
		}
	}
}

// A small account moves as a whole, so that it needs connections on one server only, and stays at its home while the
// difference is less than the cost of opening a connection. A large one uses two servers.
func TestAccountsUseASecondServer(t *testing.T) {
	servers := testServers(3)
	moved := 0
	for i := range 200 {
		account := fmt.Sprintf("account%d", i)
		home := affinityIDs(account, servers)[0]
		var small, near Table
		small.Record(home, "p", 1, queueOf(400*time.Millisecond), start)
		near.Record(home, "p", 1, queueOf(openCost), start)
		for n := range 3 * minNoted { // other accounts, so that this one is small
			small.Order(nil, Choice{Group: "g", Account: fmt.Sprintf("other%d", n), Servers: servers}, start)
		}
		if got := near.Order(nil, Choice{Group: "g", Account: account, Servers: servers}, start)[0]; servers[got].ID != home {
			t.Fatalf("%s left its home for less than the cost of a connection", account)
		}
		first := small.Order(nil, Choice{Group: "g", Account: account, Servers: servers}, start)[0]
		again := small.Order(nil, Choice{Group: "g", Account: account, Servers: servers, Random: 0.99}, start)[0]
		if first != again {
			t.Fatalf("%s uses two servers", account)
		}
		if servers[first].ID != home {
			moved++
		}
	}
	if moved < 50 || moved > 100 {
		t.Errorf("%d of 200 small accounts moved, want about 75", moved)
	}
	var table Table
	order := affinityIDs("large", servers)
	table.Record(order[0], "p", 1, queueOf(400*time.Millisecond), start)
	if got := chosen(&table, "large", servers, start); got[order[0]] < 550 || got[order[1]] < 300 || got[order[2]] != 0 {
		t.Errorf("statements of a large account by server in the order %v: %v", order, got)
	}
}

// An account that makes up a third of the statements is found among thousands of others, and none of these is taken for one.
func TestLargeAccountsAreFound(t *testing.T) {
	var l largeAccounts
	share := 0.0
	for i := range 6000 {
		if i%3 == 0 {
			share = l.note("large")
			continue
		}
		if got := l.note(fmt.Sprintf("small%d", i)); got > 0.1 {
			t.Fatalf("a new account has the share %.2f", got)
		}
	}
	if share < 0.25 || share > 0.34 {
		t.Errorf("the share of the large account is estimated as %.2f, want a third at most", share)
	}
}

// The order is computed for each forwarded statement and must not allocate.
func TestOrderDoesNotAllocate(t *testing.T) {
	var table Table
	servers := testServers(3)
	table.Record("h0", "p", 1, queueOf(time.Second), start)
	if n := testing.AllocsPerRun(100, func() {
		var buf [8]int
		table.Order(buf[:0], Choice{Group: "g", Account: "a", Servers: servers, Random: 0.5}, start)
		table.Order(buf[:0], Choice{Group: "g", Servers: servers, Random: 0.5}, start)
	}); n != 0 {
		t.Errorf("%.0f allocations", n)
	}
}

func BenchmarkOrder(b *testing.B) {
	servers := testServers(6)
	var table Table
	table.Record("h0", "p", 1, queueOf(time.Second), start)
	accounts := make([]string, 100)
	for i := range accounts {
		accounts[i] = fmt.Sprintf("account-%d", i)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		var buf [8]int
		table.Order(buf[:0], Choice{Group: "group-17", Account: accounts[i%100], Servers: servers, Random: 0.5}, start)
	}
}
