package quota

import "time"

// Shard is a host's state of a group of accounts that share a granter: its limiter and, while the host is the granter,
// the granter's state. Use NewShard. It is not safe for concurrent use.
type Shard struct {
	*Limiter
	// granter is the granter's state, or nil while the host is not the granter.
	granter *Granter
}

// NewShard returns the shard of a host that has just started.
func NewShard() *Shard { return &Shard{Limiter: NewLimiter()} }

// Granter returns the granter's state, or nil while the host is not the granter.
func (s *Shard) Granter() *Granter { return s.granter }

// SetGranter makes the host the granter. With nil the host stops being the granter.
func (s *Shard) SetGranter(g *Granter) { s.granter = g }

// Report returns what the host holds, and follows the granter that queries it. If this host is itself an earlier granter,
// it stops, since a host that has reported to a granter must take part in no earlier one. Report returns false if the
// host knows of a later granter.
func (s *Shard) Report(token int64, now time.Time) ([]Holding, bool) {
	if s.granter != nil && s.granter.FencingToken() < token {
		s.granter = nil
	}
	return s.Limiter.Report(token, now)
}
