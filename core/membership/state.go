package membership

//go:generate go tool stringer -type=State -linecomment -output=state_string.go

// State is the state of a host as seen by another host.
type State int

// The states, in the order of severity.
const (
	// Alive means that the host answered, or that no failure was observed.
	Alive State = iota // alive
	// Suspect means that a probe failed and the host may still refute the suspicion.
	Suspect // suspect
	// Dead means that the suspicion was not refuted in time, or that the host's process
	// is known to be gone.
	Dead // dead
)

// Status is a host with its state, as gossiped between hosts.
type Status struct {
	Host  Host
	State State
}

// overrides reports whether s replaces o, a status of the same host. The higher
// incarnation wins, then the more severe state, then a leaving host.
func (s Status) overrides(o Status) bool {
	if s.Host.Incarnation != o.Host.Incarnation {
		return s.Host.Incarnation > o.Host.Incarnation
	}
	if s.State != o.State {
		return s.State > o.State
	}
	return s.Host.Leaving && !o.Host.Leaving
}
