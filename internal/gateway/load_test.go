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
		moved := 0
		for range 200 {
			if _, order := g.loads.Order(nil, ""); order[0] != 0 {
				moved++
			}
		}
		if moved == 0 || moved > 120 {
			t.Errorf("%d of 200 statements go to the servers without a queue", moved)
		}
		callers.Wait()
		for _, h := range serving {
			if r, _ := h.group(testGroup).loadReport(load.Kind{}); r.Waiting != 0 || r.Delay != 0 {
				t.Errorf("%s reports %+v", h.settings.Host, r)
			}
		}
	})
}

// All hosts that serve the group have reported queues for the primary that exceed the wait bound. A write must be refused at
// once and without running, a read must still run, and the refusals must end with the reports.
func TestEntryHostRefusesWhatAllServersWouldRefuse(t *testing.T) {
	withFleet(t, 20, 20, freshness.OwnWrites{}, func(_ *fakeSite, f *fakeFleet) {
		_, others := f.serving()
		g := others[0].group(testGroup)
		for _, server := range g.loads.Servers().Hosts {
			g.loads.Record(server.ID, "p", 1, load.Report{Waiting: 400, Rate: 200, Delay: 2 * time.Second, Kind: load.Kind{NeedsPrimary: true}})
		}
		caller := openSession(t, others[0])
		started := time.Now()
		if r := execIn(caller, Read{}); r.Failure != nil {
			t.Errorf("a read: %v", r.Failure)
		}
		for name, write := range map[string]func() Reply{
			"write":       func() Reply { return execIn(caller, Write{}) },
			"transaction": func() Reply { execIn(caller, Begin{}); return execIn(caller, Write{}) },
		} {
			r := write()
			if r.Failure == nil || !r.Failure.Code.NotRun() && r.Failure.Code != Aborted {
				t.Errorf("%s: %v", name, r.Failure)
			}
			execIn(caller, Rollback{})
		}
		if took := time.Since(started); took > 50*time.Millisecond || f.site.writes() != 0 {
			t.Errorf("the refusals took %s, %d writes ran", took, f.site.writes())
		}
		time.Sleep(1100 * time.Millisecond)
		if r := execIn(caller, Write{}); r.Failure != nil {
			t.Errorf("a write after the reports: %v", r.Failure)
		}
	})
}

// writes returns the number of writes that were acknowledged.
func (s *fakeSite) writes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.acknowledgedWrites)
}
