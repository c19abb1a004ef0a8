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
		first := func(delay time.Duration, random float64) string {
			var table Table
			table.Record(home, "p", 1, queueOf(delay), start)
			for n := range 3 * minNoted { // other accounts, so that this one is small
				table.Order(nil, Choice{Group: "g", Account: fmt.Sprintf("other%d", n), Servers: servers}, start)
			}
			return servers[table.Order(nil, Choice{Group: "g", Account: account, Servers: servers, Random: random}, start)[0]].ID
		}
		if first(openCost, 0) != home {
			t.Fatalf("%s left its home for less than the cost of a connection", account)
		}
		if first(400*time.Millisecond, 0) != first(400*time.Millisecond, 0.99) {
			t.Fatalf("%s uses two servers", account)
		}
		if first(400*time.Millisecond, 0) != home {
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

// orderRepeatedly returns a function that orders six servers for a statement.
func orderRepeatedly() func() {
	var table Table
	servers, accounts, i := testServers(6), [4]string{"", "account-1", "account-4711", "account-30"}, 0
	table.Record("h0", "p", 1, queueOf(time.Second), start)
	return func() {
		var buf [8]int
		i++
		table.Order(buf[:0], Choice{Group: "group-17", Account: accounts[i%4], Servers: servers, Random: 0.5}, start)
	}
}

// The order is computed for each forwarded statement and must not allocate.
func TestOrderDoesNotAllocate(t *testing.T) {
	if n := testing.AllocsPerRun(100, orderRepeatedly()); n != 0 {
		t.Errorf("%.0f allocations", n)
	}
}

func BenchmarkOrder(b *testing.B) {
	order := orderRepeatedly()
	for b.Loop() {
		order()
	}
}
