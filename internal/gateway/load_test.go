package gateway

import (
	"sync"
	"testing"
	"time"

	"pearlatch/core/freshness"
	"pearlatch/core/load"
)

// Many callers of one host compete for slow members. The serving hosts must tell this host their queues, and must have no
// queue left in their reports when all statements have been answered.
func TestServingHostsReportTheirQueues(t *testing.T) {
	withFleet(t, 20, 20, freshness.Latest{}, func(s *fakeSite, f *fakeFleet) {
		s.updateMember("a", func(m *fakeMember) { m.work = 40 * time.Millisecond })
		serving, others := f.serving()
		g := others[0].group(testGroup)
		var callers sync.WaitGroup
		for range 60 {
			callers.Go(func() { exec(others[0], Read{}) })
		}
		time.Sleep(100 * time.Millisecond)
		servers := others[0].serversFor(g)
		g.mu.Lock()
		g.loads.Record(servers.Hosts[1].ID, "another process", 1, load.Report{}, g.now()) // only the first one has a queue
		moves := g.loads.Moves()
		for i := range 100 {
			g.loads.Order(nil, servers.Choice(testGroup, "", float64(i)/100), g.now())
		}
		moved := g.loads.Moves() - moves
		g.mu.Unlock()
		if moved == 0 || moved > 50 {
			t.Errorf("%d of 100 statements go to the server without a queue", moved)
		}
		callers.Wait()
		for _, h := range serving {
			if r, _ := h.group(testGroup).loadReport(0); r.Waiting != 0 || r.Delay != 0 {
				t.Errorf("%s reports %+v", h.settings.Host, r)
			}
		}
	})
}
