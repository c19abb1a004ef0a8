package kv

// Transaction is a set of changes that a store applies atomically if all preconditions hold.
type Transaction struct {
	// Preconditions are compared by the numbers of their revisions, without the epochs.
	Preconditions []Precondition
	Writes        []Write
	Deletes       []string
}

// Precondition is the revision that a key must have. Zero means that the key must not exist.
type Precondition struct {
	Key      string
	Revision Revision
}

// Write sets the value of a key. The store removes the key when its lease ends; a lease of 0 means that the key has none.
type Write struct {
	Key   string
	Value []byte
	Lease int64
}

// Replace returns a transaction that writes a key if its revision still has the number of the given one.
func Replace(key string, revision Revision, value []byte, lease int64) Transaction {
	return Transaction{Preconditions: []Precondition{{key, revision}}, Writes: []Write{{key, value, lease}}}
}

// Remove returns a transaction that removes a key if its revision still has the number of the given one.
func Remove(key string, revision Revision) Transaction {
	return Transaction{Preconditions: []Precondition{{key, revision}}, Deletes: []string{key}}
}

// Merge returns a transaction with the preconditions and changes of both. It modifies neither.
func (t Transaction) Merge(o Transaction) Transaction {
	return Transaction{
		Preconditions: append(t.Preconditions[:len(t.Preconditions):len(t.Preconditions)], o.Preconditions...),
		Writes:        append(t.Writes[:len(t.Writes):len(t.Writes)], o.Writes...),
		Deletes:       append(t.Deletes[:len(t.Deletes):len(t.Deletes)], o.Deletes...),
	}
}
