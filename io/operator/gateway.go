package operator

import (
	"math"
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"

	"pearlatch/internal/gateway"
	"pearlatch/internal/usage"
)

// The JSON form of the state of a gateway host. Ages are in milliseconds; a
// negative age means that there was no sample or reply yet.
type (
	gatewayDump struct {
		Host          string      `json:"host"`
		Zone          string      `json:"availability_zone"`
		Ready         bool        `json:"ready"`
		Stopping      bool        `json:"stopping"`
		Sessions      int64       `json:"sessions"`
		ConfigVersion int64       `json:"config_version"`
		StoreRevision int64       `json:"store_revision"`
		StoreEpoch    int64       `json:"store_epoch"`
		Groups        []groupDump `json:"groups"`
		// Accounts are the largest accounts. Others is the sum of all others.
		Accounts []accountDump `json:"accounts"`
		Others   accountDump   `json:"other_accounts"`
	}
	accountDump struct {
		Name    string           `json:"account,omitempty"`
		Waiting int              `json:"waiting"`
		Refused map[string]int64 `json:"refused"`
	}
	groupDump struct {
		Name    string `json:"group"`
		Primary string `json:"primary"`
		Term    uint64 `json:"term"`
		Waiting int    `json:"waiting"`
		// DrainPerSecond and ExpectedWaitMS are zero if they are not known.
		DrainPerSecond float64          `json:"drain_per_second"`
		ExpectedWaitMS int64            `json:"expected_wait_ms"`
		Refused        map[string]int64 `json:"refused"`
		SampleAgeMS    int64            `json:"sample_age_ms"`
		Share          int              `json:"share"`
		Members        []memberDump     `json:"members"`
	}
	memberDump struct {
		ID             string `json:"member"`
		Zone           string `json:"availability_zone"`
		Leaving        bool   `json:"leaving"`
		Missing        bool   `json:"missing"`
		Suspect        bool   `json:"suspect"`
		Applied        string `json:"held"`
		LastReplyAgeMS int64  `json:"heard_age_ms"`
		Connections    int    `json:"connections"`
		InUse          int    `json:"in_use"`
		Running        int    `json:"running"`
		Idle           int    `json:"idle"`
		Window         int    `json:"window"`
		LatencyMS      int64  `json:"latency_ms"`
	}
)

// GatewayHandler serves the metrics of a gateway host, in the Prometheus text
// format, and its state, as JSON. It calls refresh before it writes the metrics,
// and derives the gauges from the state.
// refresh and state are called from several goroutines.
func GatewayHandler(r metrics.Registry, refresh func(), state func() gateway.HostState) http.Handler {
	mux := http.NewServeMux()
	gauges := &gauges{registry: r}
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		refresh()
		gauges.update(state())
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		if err := WritePrometheus(w, r); err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
		}
	})
	mux.HandleFunc("GET /state", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, newGatewayDump(state())) })
	return mux
}

func newGatewayDump(s gateway.HostState) gatewayDump {
	out := gatewayDump{
		Host: s.Host, Zone: s.Zone, Ready: s.Ready, Stopping: s.Stopping, Sessions: s.Sessions,
		ConfigVersion: s.ConfigVersion, StoreRevision: s.StoreRevision.Number(), StoreEpoch: int64(s.StoreRevision.Epoch()),
	}
	for _, g := range s.Groups {
		d := groupDump{
			Name: g.Name, Primary: g.Primary, Term: uint64(g.Term), Waiting: g.Waiting, DrainPerSecond: math.Round(10*g.DrainRate) / 10,
			ExpectedWaitMS: g.ExpectedWait.Milliseconds(), Refused: newRefusalsDump(g.Refused),
			SampleAgeMS: ageMS(g.SampleAge), Share: g.Share,
		}
		for _, m := range g.Members {
			d.Members = append(d.Members, memberDump{
				ID: m.ID, Zone: m.Zone, Leaving: m.Leaving, Missing: m.Missing, Suspect: m.Suspect,
				Applied: m.Applied.String(), LastReplyAgeMS: ageMS(m.LastReplyAge), Connections: m.Connections, InUse: m.InUse,
				Running: m.Running, Idle: m.Idle, Window: m.Window, LatencyMS: m.Latency.Milliseconds(),
			})
		}
		out.Groups = append(out.Groups, d)
	}
	for _, a := range s.Accounts {
		out.Accounts = append(out.Accounts, newAccountDump(a))
	}
	out.Others = newAccountDump(s.OtherAccounts)
	return out
}

func newAccountDump(a usage.AccountUsage) accountDump {
	return accountDump{a.Name, a.Waiting, newRefusalsDump(a.Refused)}
}

func newRefusalsDump(r usage.Refusals) map[string]int64 {
	out := map[string]int64{}
	for c, n := range r {
		out[usage.Cause(c).String()] = n
	}
	return out
}

// ageMS returns an age in milliseconds, or -1 if it is negative.
func ageMS(d time.Duration) int64 {
	if d < 0 {
		return -1
	}
	return d.Milliseconds()
}
