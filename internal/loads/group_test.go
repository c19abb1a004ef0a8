package loads

import (
	"testing"
	"time"

	"github.com/go-kit/log"

	"pearlatch/core/membership"
	"pearlatch/core/serving"
	"pearlatch/internal/fleet"
)

// The list of hosts changes before the plan that follows from it. A statement between the two must not make the group keep
// the servers of the former plan.
func TestServersFollowThePlan(t *testing.T) {
	hosts := fleet.New(membership.Host{ID: "self", Zone: "z"})
	g := New("g", hosts, time.Now, log.NewNopLogger(), nil)
	ranked := []membership.Host{{ID: "a", Zone: "z"}, {ID: "b", Zone: "z"}}
	for i, want := range []string{"a", "b"} {
		hosts.RecordEntry(want, []byte("z 10.0.0.1:1"), false, time.Unix(1000, 0))
		hosts.UpdateList(time.Unix(1000+int64(i), 0))
		g.Servers()
		g.SetPlan(serving.Plan{DedicatedServers: 1, ServedByOthers: true, Ranked: ranked[i:]})
		if s := g.Servers(); len(s.Hosts) != 1 || s.Hosts[0].ID != want {
			t.Errorf("servers %v, want %s", s.Hosts, want)
		}
	}
}
