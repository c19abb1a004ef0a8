package operator

import (
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"

	"pearlatch/internal/gateway"
)

// The dump of a gateway host. Ages are in milliseconds, and negative for never.
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
	}
	groupDump struct {
		Name        string       `json:"group"`
		Primary     string       `json:"primary"`
		Term        uint64       `json:"term"`
		Waiting     int          `json:"waiting"`
		SampleAgeMS int64        `json:"sample_age_ms"`
		Share       int          `json:"share"`
		Members     []memberDump `json:"members"`
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

// GatewayHandler shows the metrics and the beliefs of a gateway host. refresh is
// called before the metrics are written.
func GatewayHandler(r metrics.Registry, refresh func(), state func() gateway.HostState) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		refresh()
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
			Name: g.Name, Primary: g.Primary, Term: uint64(g.Term), Waiting: g.Waiting,
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
	return out
}

func ageMS(d time.Duration) int64 {
	if d < 0 {
		return -1
	}
	return d.Milliseconds()
}
