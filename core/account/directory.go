package account

import (
	"encoding/binary"
	"maps"
	"slices"
)

// Directory holds the accounts of a configuration. Use NewDirectory. It does not change, so that many
// goroutines may use it.
type Directory struct {
	accounts map[string]*Account
	// keys holds, by the first bytes of a fingerprint, who may hold it. What a caller shows is compared
	// with the whole fingerprint in constant time.
	keys map[uint64][]holder
}

// holder is an account's key.
type holder struct {
	key     Fingerprint
	account *Account
}

// NewDirectory returns a directory of the accounts. The error is a Mistakes with every mistake found.
func NewDirectory(accounts []Account) (*Directory, error) {
	if err := check(accounts); err != nil {
		return nil, err
	}
	d := &Directory{accounts: make(map[string]*Account, len(accounts)), keys: map[uint64][]holder{}}
	for i := range accounts {
		a := &accounts[i]
		d.accounts[a.Name] = a
		for _, k := range a.Keys {
			d.keys[k.prefix()] = append(d.keys[k.prefix()], holder{k, a})
		}
	}
	return d, nil
}

func (f Fingerprint) prefix() uint64 { return binary.BigEndian.Uint64(f[:]) }

// Holder returns the account that has the key, or nil.
func (d *Directory) Holder(key Fingerprint) *Account {
	for _, h := range d.keys[key.prefix()] {
		if h.key.Equal(key) {
			return h.account
		}
	}
	return nil
}

// Account returns the account of the name, or nil.
func (d *Directory) Account(name string) *Account { return d.accounts[name] }

// Len returns how many accounts there are. A nil directory has none.
func (d *Directory) Len() int {
	if d == nil {
		return 0
	}
	return len(d.accounts)
}

// Names returns the names of all accounts, in order.
func (d *Directory) Names() []string { return slices.Sorted(maps.Keys(d.accounts)) }
