package usage

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// maxAccounts is the number of accounts that are counted apart: three times those of a deployment with 80 accounts.
	// At 10,000 accounts it bounds the table to about 40 KB.
	maxAccounts = 256
	// listedAccounts is how many accounts are listed by name. More don't fit on a screen, and each costs a host four time
	// series.
	listedAccounts = 10
	// evictionSample is how many accounts, in random order, are compared to find a small one. With 10,000 accounts that ask
	// in turn, to compare all takes 8.6 µs an operation. The ten largest are removed only if operations of all other accounts
	// in the sample wait.
	evictionSample = 16
	// sizePeriod is the period for which operations are counted to compare the sizes of accounts. The current and the
	// previous period count, so that an account that stops asking is no longer listed after two minutes.
	sizePeriod = time.Minute
)

// Table counts waiting and refused operations. The zero value is ready for use. Its methods may be called from several
// goroutines.
type Table struct {
	mu       sync.Mutex
	accounts map[string]*Account
	// others counts the accounts that were removed from accounts, or found no room there.
	others Account
	// groups holds the refusals of each group. The configuration bounds their number.
	groups map[string]*Refusals
	// periodEnd is when the current period for the sizes of accounts ends.
	periodEnd time.Time
}

// Account counts the operations of an account. Table.mu guards it.
type Account struct {
	name    string
	waiting int
	refused Refusals
	// current and previous are the numbers of operations of the current and the previous period. lastAsked is when the
	// last one began.
	current, previous int
	lastAsked         time.Time
}

// size compares accounts: the number of recent operations.
func (a *Account) size() int { return a.current + a.previous }

// Begun records that an operation of an account begins. Callers without an account are not counted.
func (t *Table) Begun(account string, now time.Time) {
	if account == "" {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.startPeriod(now)
	a := t.account(account)
	a.current++
	a.lastAsked = now
}

// startPeriod starts a new period if the current one is over. t.mu must be held.
func (t *Table) startPeriod(now time.Time) {
	if now.Before(t.periodEnd) {
		return
	}
	idle := !now.Before(t.periodEnd.Add(sizePeriod))
	for _, a := range t.accounts {
		a.previous, a.current = a.current, 0
		if idle {
			a.previous = 0
		}
	}
	t.periodEnd = now.Add(sizePeriod)
}

// Wait records that an operation of an account begins to wait for a connection. The result is to be given to Done.
func (t *Table) Wait(account string) *Account {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.account(account)
	a.waiting++
	return a
}

// Done records that an operation no longer waits.
func (t *Table) Done(a *Account) {
	t.mu.Lock()
	defer t.mu.Unlock()
	a.waiting--
}

// Refused records that an operation was refused.
func (t *Table) Refused(group, account string, c Cause) {
	t.mu.Lock()
	defer t.mu.Unlock()
	g := t.groups[group]
	if g == nil {
		g = &Refusals{}
		if t.groups == nil {
			t.groups = map[string]*Refusals{}
		}
		t.groups[group] = g
	}
	g[c]++
	t.account(account).refused[c]++
}

// account returns the counts of an account. If there are maxAccounts, it makes room for a new one: a small account is
// counted among the others from then on. t.mu must be held.
func (t *Table) account(name string) *Account {
	a := t.accounts[name]
	if a != nil {
		return a
	}
	if name == "" || len(t.accounts) >= maxAccounts && !t.removeSmall() {
		return &t.others
	}
	if t.accounts == nil {
		t.accounts = map[string]*Account{}
	}
	a = &Account{name: name}
	t.accounts[name] = a
	return a
}

// removeSmall removes the smallest account, and among equals the one that was idle for longest, of a sample of accounts of
// which nothing waits. It returns false if there is none. t.mu must be held.
func (t *Table) removeSmall() bool {
	var smallest *Account
	compared := 0
	for _, a := range t.accounts {
		if compared++; compared > evictionSample {
			break
		}
		if a.waiting > 0 {
			continue
		}
		if smallest == nil || a.size() < smallest.size() || a.size() == smallest.size() && a.lastAsked.Before(smallest.lastAsked) {
			smallest = a
		}
	}
	if smallest == nil {
		return false
	}
	t.others.refused.add(smallest.refused)
	delete(t.accounts, smallest.name)
	return true
}

// GroupRefusals returns the refusals of a group.
func (t *Table) GroupRefusals(group string) Refusals {
	t.mu.Lock()
	defer t.mu.Unlock()
	if g := t.groups[group]; g != nil {
		return *g
	}
	return Refusals{}
}

// AccountUsage is what waits and what was refused of one account, or of several.
type AccountUsage struct {
	// Name is empty for the sum of several accounts.
	Name    string
	Waiting int
	Refused Refusals
}

// Accounts returns the usage of the largest accounts, the largest first, and that of all others together. The others
// include callers without an account.
func (t *Table) Accounts(now time.Time) (largest []AccountUsage, others AccountUsage) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.startPeriod(now)
	sorted := slices.SortedFunc(maps.Values(t.accounts), func(a, b *Account) int {
		return cmp.Or(cmp.Compare(b.size(), a.size()), strings.Compare(a.name, b.name))
	})
	others = AccountUsage{Waiting: t.others.waiting, Refused: t.others.refused}
	for i, a := range sorted {
		if i < listedAccounts {
			largest = append(largest, AccountUsage{a.name, a.waiting, a.refused})
			continue
		}
		others.Waiting += a.waiting
		others.Refused.add(a.refused)
	}
	return largest, others
}
