package account

// Caller is what a caller shows of itself.
type Caller struct {
	// Key is the fingerprint of the key that it came with.
	Key Fingerprint
}

// Admit decides whether a caller may use a route, and for which account it then acts. A nil directory asks
// for none, nor does a public route: a caller who shows a key acts for its holder there all the same, so
// that its statements count against its own quota.
func Admit(d *Directory, public bool, c Caller) (*Account, bool) {
	if d == nil {
		return &nobody, true
	}
	if a := d.Holder(c.Key); a != nil {
		return a, true
	}
	if public {
		return &nobody, true
	}
	return nil, false
}

// nobody is the account of callers who need none.
var nobody Account
