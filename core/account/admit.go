package account

// Credentials holds the credentials that a caller presents.
type Credentials struct {
	// KeyFingerprint is the fingerprint of the presented key.
	KeyFingerprint Fingerprint
}

// Authorize reports whether a caller may use a route, and returns the account it then acts for. A nil directory and a
// public route require no account. A caller with a known key acts for the key's account on a public route too, so that
// its statements count against that account's quota.
func Authorize(d *Directory, public bool, c Credentials) (*Account, bool) {
	if d == nil {
		return &anonymous, true
	}
	if a := d.AccountForKey(c.KeyFingerprint); a != nil {
		return a, true
	}
	if public {
		return &anonymous, true
	}
	return nil, false
}

// anonymous is the account of callers that need no account.
var anonymous Account
