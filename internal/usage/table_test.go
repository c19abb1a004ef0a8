package usage

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

// Ten thousand accounts, three of them large, use the table in turn. The large ones must be listed first, all counts must
// add up, and the table must stay bounded.
func TestManyAccountsStayBounded(t *testing.T) {
	var table Table
	const accounts = 10_000
	for i := range accounts {
		now := start.Add(time.Duration(i) * time.Millisecond)
		for _, name := range []string{fmt.Sprint("small", i), fmt.Sprint("large", i%3)} {
			table.Begun(name, now)
			table.Refused("g", name, Quota)
		}
	}
	largest, others := table.Accounts(start.Add(accounts * time.Millisecond))
	if len(largest) != listedAccounts || len(table.accounts) > maxAccounts {
		t.Fatalf("%d accounts listed, %d counted", len(largest), len(table.accounts))
	}
	sum := others.Refused[Quota]
	for i, a := range largest {
		sum += a.Refused[Quota]
		if large := strings.HasPrefix(a.Name, "large"); large != (i < 3) || large && a.Refused[Quota] < accounts/3 {
			t.Errorf("place %d: %s with %d refusals", i, a.Name, a.Refused[Quota])
		}
	}
	if got := table.GroupRefusals("g"); sum != 2*accounts || got != (Refusals{Quota: 2 * accounts}) {
		t.Errorf("%d refusals of accounts, group %v", sum, got)
	}
}

// An account that was large and has stopped must give its place to those that ask now.
func TestSizeIsThatOfTheLastTwoPeriods(t *testing.T) {
	var table Table
	for range 1000 {
		table.Begun("yesterday", start)
	}
	for i := range listedAccounts {
		table.Begun(fmt.Sprint("today", i), start.Add(2*sizePeriod))
	}
	largest, _ := table.Accounts(start.Add(2 * sizePeriod))
	for _, a := range largest {
		if a.Name == "yesterday" {
			t.Errorf("listed: %v", largest)
		}
	}
}

// An operation that waits must be counted until it no longer does, even if its account finds no place, has none, or is the
// smallest while others arrive.
func TestWaitingOperationsAreNotLost(t *testing.T) {
	var table Table
	var waiting []*Account
	for i := range maxAccounts + 5 {
		waiting = append(waiting, table.Wait(fmt.Sprint("a", i)))
	}
	waiting = append(waiting, table.Wait(""))
	total := func() int {
		largest, others := table.Accounts(start)
		n := others.Waiting
		for _, a := range largest {
			n += a.Waiting
		}
		return n
	}
	if got := total(); got != len(waiting) {
		t.Errorf("%d wait, want %d", got, len(waiting))
	}
	for _, a := range waiting {
		table.Done(a)
	}
	if got := total(); got != 0 {
		t.Errorf("%d still wait", got)
	}
}

func BenchmarkRefused(b *testing.B) {
	for _, accounts := range []int{1, 80, 10_000} {
		names := make([]string, accounts)
		for i := range names {
			names[i] = fmt.Sprint("account", i)
		}
		b.Run(fmt.Sprint(accounts), func(b *testing.B) {
			var table Table
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				name := names[i%accounts]
				table.Begun(name, start)
				table.Done(table.Wait(name))
				table.Refused("g", name, Load)
			}
		})
	}
}
