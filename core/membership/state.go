package membership

//go:generate go tool stringer -type=State -linecomment -output=state_string.go

// State says what is believed of a host.
type State int

// The states.
const (
	// Alive means that the host answered, or that nothing speaks against it.
	Alive State = iota // alive
	// Suspect means that a probe failed and the host may still refute that.
	Suspect // suspect
	// Dead means that the suspicion was not refuted in time.
	Dead // dead
)

// Status is a statement about a host that hosts pass on.
type Status struct {
	Host  Host
	State State
}

// overrides reports whether claim a replaces claim b about the same host: a
// higher incarnation does, and at the same one the worse state.
func (a Status) overrides(b Status) bool {
	if a.Host.Incarnation != b.Host.Incarnation {
		return a.Host.Incarnation > b.Host.Incarnation
	}
	if a.State != b.State {
		return a.State > b.State
	}
	return a.Host.Leaving && !b.Host.Leaving
}
