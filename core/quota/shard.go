package quota

import "time"

// Shard is what a host holds, and as a granter gives, of the accounts that have the same granter. Use NewShard.
// It is not safe for concurrent use.
type Shard struct {
	*Wallet
	// ledger is what the host gives, or nil while it is not the granter.
	ledger *Ledger
}

// NewShard returns what a host holds that has just started.
func NewShard() *Shard { return &Shard{Wallet: NewWallet()} }

// Ledger returns the host's ledger, or nil while it is not the granter.
func (s *Shard) Ledger() *Ledger { return s.ledger }

// Grant makes the host the granter.
func (s *Shard) Grant(l *Ledger) { s.ledger = l }

// Tell returns what the host holds, and follows the granter that asks. If this host has been one before, its time
// is over: whoever has told a granter takes part in no other one. It returns false if the host knows of a later
// granter.
func (s *Shard) Tell(token int64, now time.Time) ([]Holding, bool) {
	if s.ledger != nil && s.ledger.Token() < token {
		s.ledger = nil
	}
	return s.Wallet.Tell(token, now)
}
