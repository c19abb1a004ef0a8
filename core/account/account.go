package account

// Account is a client account. The zero Account stands for callers that need no account. It has no quota.
type Account struct {
	// Name is unique. Members receive it, but never a key.
	Name string
	// KeyFingerprints are the fingerprints of the keys that callers may present. Nobody can use an account without keys.
	KeyFingerprints []Fingerprint
	// Priority is 0 for the most important accounts.
	Priority int
	Quota    Quota
}

// Quota limits how many operations an account may begin: a token bucket over all hosts together. The zero Quota is
// unlimited.
type Quota struct {
	// Rate is in operations per second.
	Rate float64
	// Burst is how many operations may begin at once after an idle period.
	Burst float64
}

// Unlimited reports whether the quota sets no limit.
func (q Quota) Unlimited() bool { return q.Rate == 0 }
