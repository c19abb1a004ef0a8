package usage

import (
	"fmt"
	"time"

	"github.com/rcrowley/go-metrics"
)

// otherAccounts is the label of all accounts that are not listed by name. Names of accounts contain no parentheses.
const otherAccounts = "(others)"

// Publish sets the metrics of groups and accounts. It removes those of accounts that are no longer listed, so that the
// number of metrics stays bounded.
func (t *Table) Publish(r metrics.Registry, now time.Time) {
	if r == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	current := map[string]bool{}
	set := func(v int64, format string, labels ...any) {
		name := fmt.Sprintf(format, labels...)
		metrics.GetOrRegisterGauge(name, r).Update(v)
		current[name] = true
	}
	for name, g := range t.groups {
		for c, n := range g {
			set(n, "refused_total{group=%q,cause=%q}", name, Cause(c))
		}
	}
	largest, others := t.usage(now)
	others.Name = otherAccounts
	for _, a := range append(largest, others) {
		set(int64(a.Waiting), "account_waiting{account=%q}", a.Name)
		for c, n := range a.Refused {
			set(n, "account_refused_total{account=%q,cause=%q}", a.Name, Cause(c))
		}
	}
	for name := range t.published {
		if !current[name] {
			r.Unregister(name)
		}
	}
	t.published = current
}
