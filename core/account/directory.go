package account

import (
	"encoding/binary"
	"maps"
	"slices"
)

// Directory holds the accounts of a configuration. Use NewDirectory. It is immutable and safe for concurrent use.
type Directory struct {
	byName map[string]*Account
	// byKeyPrefix holds the fingerprints of the keys by their first eight bytes. A lookup then compares whole
	// fingerprints in constant time.
	byKeyPrefix map[uint64][]keyEntry
}

// keyEntry is the fingerprint of a key, and the account of the key.
type keyEntry struct {
	fingerprint Fingerprint
	account     *Account
}

// NewDirectory returns a directory of the accounts. An error is of type FieldErrors and lists every invalid field. The
// directory refers to the elements of accounts, which must not change.
func NewDirectory(accounts []Account) (*Directory, error) {
	if err := validate(accounts); err != nil {
		return nil, err
	}
	d := &Directory{byName: make(map[string]*Account, len(accounts)), byKeyPrefix: map[uint64][]keyEntry{}}
	for i := range accounts {
		a := &accounts[i]
		d.byName[a.Name] = a
		for _, f := range a.KeyFingerprints {
			d.byKeyPrefix[f.prefix()] = append(d.byKeyPrefix[f.prefix()], keyEntry{f, a})
		}
	}
	return d, nil
}

func (f Fingerprint) prefix() uint64 { return binary.BigEndian.Uint64(f[:]) }

// AccountForKey returns the account of the key with the given fingerprint, or nil.
func (d *Directory) AccountForKey(fingerprint Fingerprint) *Account {
	for _, e := range d.byKeyPrefix[fingerprint.prefix()] {
		if e.fingerprint.Equal(fingerprint) {
			return e.account
		}
	}
	return nil
}

// Account returns the account with the given name, or nil.
func (d *Directory) Account(name string) *Account { return d.byName[name] }

// Len returns the number of accounts. A nil directory has none.
func (d *Directory) Len() int {
	if d == nil {
		return 0
	}
	return len(d.byName)
}

// Names returns the names of all accounts, sorted.
func (d *Directory) Names() []string { return slices.Sorted(maps.Keys(d.byName)) }
