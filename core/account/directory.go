package account

import (
	"encoding/binary"
	"maps"
	"slices"
)

// Directory holds the accounts of a configuration. Use NewDirectory. It does not change, so that many
// goroutines may use it.
type Directory struct {
	byName map[string]*Account
	// byKeyPrefix holds, by the first bytes of a fingerprint, who may hold it. What a caller shows is compared
	// with the whole fingerprint in constant time.
	byKeyPrefix map[uint64][]keyEntry
}

// keyEntry is an account's key.
type keyEntry struct {
	key     Fingerprint
	account *Account
}

// NewDirectory returns a directory of the accounts. The error is a Mistakes with every mistake found.
func NewDirectory(accounts []Account) (*Directory, error) {
	if err := validate(accounts); err != nil {
		return nil, err
	}
	d := &Directory{byName: make(map[string]*Account, len(accounts)), byKeyPrefix: map[uint64][]keyEntry{}}
	for i := range accounts {
		a := &accounts[i]
		d.byName[a.Name] = a
		for _, k := range a.Keys {
			d.byKeyPrefix[k.prefix()] = append(d.byKeyPrefix[k.prefix()], keyEntry{k, a})
		}
	}
	return d, nil
}

func (f Fingerprint) prefix() uint64 { return binary.BigEndian.Uint64(f[:]) }

// AccountForKey returns the account that has the key, or nil.
func (d *Directory) AccountForKey(key Fingerprint) *Account {
	for _, h := range d.byKeyPrefix[key.prefix()] {
		if h.key.Equal(key) {
			return h.account
		}
	}
	return nil
}

// Account returns the account of the name, or nil.
func (d *Directory) Account(name string) *Account { return d.byName[name] }

// Len returns how many accounts there are. A nil directory has none.
func (d *Directory) Len() int {
	if d == nil {
		return 0
	}
	return len(d.byName)
}

// Names returns the names of all accounts, in order.
func (d *Directory) Names() []string { return slices.Sorted(maps.Keys(d.byName)) }
