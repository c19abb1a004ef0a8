package account

// Account is a client account. The zero Account stands for callers who need none: it has no quota.
type Account struct {
	// Name is unique. Members are told it, and never a key.
	Name string
	// Keys are those that its callers may show. An account may have none: nobody can use it then.
	Keys []Fingerprint
	// Priority is 0 for the most important.
	Priority int
	Quota    Quota
}

// Quota is how many operations an account may begin: a token bucket over all hosts together. The zero
// Quota sets no bound.
type Quota struct {
	// Rate is in operations per second.
	Rate float64
	// Burst is how many operations may begin at once after a rest.
	Burst float64
}

// Unlimited reports whether the quota sets no bound.
func (q Quota) Unlimited() bool { return q.Rate == 0 }
