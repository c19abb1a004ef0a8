package operator

import (
	"fmt"
	"sync"

	"github.com/rcrowley/go-metrics"

	"pearlatch/internal/gateway"
	"pearlatch/internal/usage"
)

// otherAccounts stands for all accounts that are not listed by name, in labels and tables. Names of accounts may hold
// parentheses, but the sum of several accounts has no name.
const otherAccounts = "(others)"

// gauges publishes the state of a host as gauges. It removes the gauges of groups, members and accounts that are no longer
// in the state, so that their number stays bounded.
type gauges struct {
	registry metrics.Registry

	mu        sync.Mutex
	published map[string]bool
}

// update sets the gauges to the given state.
func (g *gauges) update(s gateway.HostState) {
	g.mu.Lock()
	defer g.mu.Unlock()
	current := map[string]bool{}
	set := func(v int64, name string, labels ...any) {
		name = fmt.Sprintf(name, labels...)
		metrics.GetOrRegisterGauge(name, g.registry).Update(v)
		current[name] = true
	}
	set(s.Sessions, "sessions")
	set(s.ConfigVersion, "config_version")
	for _, d := range s.Groups {
		set(int64(d.Waiting), "waiting{group=%q}", d.Name)
		set(d.ExpectedWait.Milliseconds(), "expected_wait_milliseconds{group=%q}", d.Name)
		set(int64(d.DrainRate), "drain_per_second{group=%q}", d.Name)
		set(d.SampleAge.Milliseconds(), "sample_age_milliseconds{group=%q}", d.Name)
		for c, n := range d.Refused {
			set(n, "refused_total{group=%q,cause=%q}", d.Name, usage.Cause(c))
		}
		for _, m := range d.Members {
			set(int64(m.Connections), "connections{group=%q,member=%q}", d.Name, m.ID)
			set(int64(d.Share), "connection_share{group=%q,member=%q}", d.Name, m.ID)
			set(int64(m.Window), "window{group=%q,member=%q}", d.Name, m.ID)
		}
	}
	for _, a := range listedAccounts(s) {
		set(int64(a.Waiting), "account_waiting{account=%q}", a.Name)
		for c, n := range a.Refused {
			set(n, "account_refused_total{account=%q,cause=%q}", a.Name, usage.Cause(c))
		}
	}
	for name := range g.published {
		if !current[name] {
			g.registry.Unregister(name)
		}
	}
	g.published = current
}

// listedAccounts returns the accounts that are listed by name, and all others as one.
func listedAccounts(s gateway.HostState) []usage.AccountUsage {
	others := s.OtherAccounts
	others.Name = otherAccounts
	return append(s.Accounts[:len(s.Accounts):len(s.Accounts)], others)
}
