package load

import (
	"testing"
	"time"
)

// A refusal must be true: only if all servers have reported queues that can't be served within the wait bound, whatever has
// happened since, and never because of less important statements or another account's queue.
func TestRefusalOnlyIfEveryServerWouldRefuse(t *testing.T) {
	const wait = 350 * time.Millisecond
	long, short := queueOf(600*time.Millisecond), queueOf(300*time.Millisecond)
	long.Kind, short.Kind = Kind{1, true}, Kind{1, true}
	lowRank, read := long, long
	lowRank.Kind.Rank, read.Kind.NeedsPrimary = 2, false
	for _, c := range []struct {
		name    string
		reports [3]Report
		account string
		after   time.Duration
		refused bool
	}{
		{"all queues are long", [3]Report{long, long, long}, "", 100 * time.Millisecond, true},
		{"the queues may have been served since", [3]Report{long, long, long}, "", 260 * time.Millisecond, false},
		{"old reports", [3]Report{queueOf(time.Minute), queueOf(time.Minute), queueOf(time.Minute)}, "", reportTTL + 1, false},
		{"one short queue", [3]Report{long, short, long}, "", 0, false},
		{"one server without a rate", [3]Report{long, long, {Waiting: 500, Kind: long.Kind}}, "", 0, false},
		{"one queue of less important statements", [3]Report{long, lowRank, long}, "", 0, false},
		{"one queue of reads", [3]Report{long, long, read}, "", 0, false},
		{"statement of an account", [3]Report{long, long, long}, "a", 0, false},
	} {
		var table Table
		servers := testServers(3)
		for i, r := range c.reports {
			table.Record(servers[i].ID, "p", 1, r, start)
		}
		comeBack, refused := table.Refusal(Choice{Group: "g", Account: c.account, Servers: servers}, long.Kind, wait, start.Add(c.after))
		if refused != c.refused {
			t.Errorf("%s: refused %t", c.name, refused)
		}
		if want := long.Delay - c.after - wait/2; refused && comeBack != want {
			t.Errorf("%s: come back after %s, want %s", c.name, comeBack, want)
		}
		table = Table{}
		table.Record("h0", "p", 1, long, start)
		if _, refused := table.Refusal(Choice{Servers: servers}, long.Kind, wait, start); refused {
			t.Error("refused although two servers have sent no report")
		}
	}
}
