package quota

import "time"

// Shard is what a host holds, and as a granter gives, of the accounts that have the same granter. Use NewShard.
// It is not safe for concurrent use.
type Shard struct {
	*Limiter
	// granter is what the host gives, or nil while it is not the granter.
	granter *Granter
}

// NewShard returns what a host holds that has just started.
func NewShard() *Shard { return &Shard{Limiter: NewLimiter()} }

// Granter returns the host's ledger, or nil while it is not the granter.
func (s *Shard) Granter() *Granter { return s.granter }

// SetGranter makes the host the granter.
func (s *Shard) SetGranter(l *Granter) { s.granter = l }

// Report returns what the host holds, and follows the granter that asks. If this host has been one before, its time
// is over: whoever has told a granter takes part in no other one. It returns false if the host knows of a later
// granter.
func (s *Shard) Report(token int64, now time.Time) ([]Holding, bool) {
	if s.granter != nil && s.granter.Token() < token {
		s.granter = nil
	}
	return s.Limiter.Report(token, now)
}
