package gateway

import (
	"testing"
	"time"

	"pearlatch/core/freshness"
)

// holder returns the host that holds the group's coordinator role, or nil. Hosts in except don't count.
func (f *fakeFleet) holder(except map[*Host]bool) *Host {
	for _, h := range f.all() {
		if d := h.coordinatorOf(testGroup); !except[h] && d != nil && d.isHeld() {
			return h
		}
	}
	return nil
}

// Guards against probes in progress that overwrite the record of a role that was handed back. With a silent member, the next
// coordinator would promote the primary again.
func TestStoppedCoordinatorsHandTheirRolesBack(t *testing.T) {
	withFleet(t, 8, 20, freshness.Latest{}, func(s *fakeSite, f *fakeFleet) {
		s.updateMember("b", func(m *fakeMember) { m.silent = true })
		stopped := map[*Host]bool{}
		for range 4 {
			time.Sleep(5 * time.Second)
			h := f.holder(stopped)
			if h == nil {
				t.Fatal("no host holds the role")
			}
			stopped[h] = true
			h.Stop()
			time.Sleep(2 * time.Second)
			f.stops[h.settings.Host]()
		}
		time.Sleep(5 * time.Second)
		if requests := s.promotionRequests(); len(requests) > 0 {
			t.Errorf("promotions %v were requested", requests)
		}
	})
}
