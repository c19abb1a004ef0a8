package account

import (
	"encoding/binary"
	"maps"
	"slices"
)

// Directory holds the accounts of a configuration. Use NewDirectory. It is immutable and safe for concurrent use.
type Directory struct {
	byName map[string]*Account
	// byKeyPrefix holds the keys by the first eight bytes of their fingerprint. Callers' keys are then compared by the
	// whole fingerprint in constant time.
	byKeyPrefix map[uint64][]keyEntry
}

// keyEntry is a key and its account.
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
		for _, k := range a.KeyFingerprints {
			d.byKeyPrefix[k.prefix()] = append(d.byKeyPrefix[k.prefix()], keyEntry{k, a})
		}
	}
	return d, nil
}

func (f Fingerprint) prefix() uint64 { return binary.BigEndian.Uint64(f[:]) }

// AccountForKey returns the account that the key belongs to, or nil.
func (d *Directory) AccountForKey(key Fingerprint) *Account {
	for _, h := range d.byKeyPrefix[key.prefix()] {
		if h.fingerprint.Equal(key) {
			return h.account
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
