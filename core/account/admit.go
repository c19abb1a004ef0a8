package account

// Caller is what a caller shows of itself.
type Caller struct {
	// Key is the fingerprint of the key that it came with.
	Key Fingerprint
}

// Authorize decides whether a caller may use a route, and for which account it then acts. A nil directory asks
// for none, nor does a public route: a caller who shows a key acts for its holder there all the same, so
// that its statements count against its own quota.
func Authorize(d *Directory, public bool, c Caller) (*Account, bool) {
	if d == nil {
		return &anonymous, true
	}
	if a := d.AccountForKey(c.Key); a != nil {
		return a, true
	}
	if public {
		return &anonymous, true
	}
	return nil, false
}

// anonymous is the account of callers who need none.
var anonymous Account
