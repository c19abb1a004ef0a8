package operator

import "time"

// State is the dump of a process. Its JSON form is stable: fields are added,
// not renamed.
type State struct {
	Host           string         `json:"host"`
	Zone           string         `json:"availability_zone"`
	UptimeSeconds  int64          `json:"uptime_seconds"`
	Ready          bool           `json:"ready"`
	NotReady       string         `json:"not_ready_reason,omitempty"`
	Draining       bool           `json:"draining"`
	StoreReader    bool           `json:"reader"`
	Config         ConfigState    `json:"configuration"`
	Platform       PlatformState  `json:"platform"`
	CallersByRoute map[string]int `json:"callers_by_route"`
	Hosts          []HostState    `json:"hosts"`
	Groups         []GroupState   `json:"owned_groups"`
	Goroutines     int            `json:"goroutines"`
	HeapBytes      uint64         `json:"heap_bytes"`
}

// ConfigState is the revision in force.
type ConfigState struct {
	Revision uint64    `json:"revision"`
	Author   string    `json:"author,omitempty"`
	Applied  time.Time `json:"applied_at"`
}

// PlatformState is what is known of the platform's service.
type PlatformState struct {
	Calls int64 `json:"calls"`
}

// HostState is what is believed of another host.
type HostState struct {
	Host        string `json:"host"`
	Zone        string `json:"availability_zone"`
	Peer        string `json:"peer_address"`
	State       string `json:"state"`
	Leaving     bool   `json:"leaving"`
	Incarnation uint64 `json:"incarnation"`
}

// GroupState is what the owner of a group knows.
type GroupState struct {
	Group            string        `json:"group"`
	Phase            string        `json:"phase"`
	Primary          string        `json:"primary"`
	Term             uint64        `json:"term"`
	Floor            string        `json:"floor"`
	LeaseLeftMS      int64         `json:"lease_left_ms"`
	ConfirmedAgeMS   int64         `json:"confirmed_ms_ago"`
	SessionMarks     int           `json:"session_marks"`
	RequestsWaiting  int           `json:"requests_waiting"`
	WritesWaiting    int           `json:"writes_waiting_for_confirmation"`
	ConnectionsOpen  int           `json:"connections_open"`
	ConnectionLimit  int           `json:"connections_room"`
	ConnectionBudget int           `json:"connection_budget"`
	ConnectionHeldMS float64       `json:"connection_held_ms"`
	Members          []MemberState `json:"members"`
}

// MemberState is what the owner knows of a member.
type MemberState struct {
	Member          string `json:"member"`
	Address         string `json:"address"`
	Zone            string `json:"availability_zone"`
	Role            string `json:"role"`
	Present         bool   `json:"present"`
	Leaving         bool   `json:"leaving"`
	FollowsPrimary  bool   `json:"follows_primary"`
	Received        string `json:"received"`
	Replayed        string `json:"replayed"`
	MaxAgeMS        int64  `json:"age_at_most_ms"`
	ConnectionsIdle int    `json:"connections_idle"`
	ConnectionsBusy int    `json:"connections_busy"`
}
