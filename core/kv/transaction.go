package kv

// Transaction is a set of changes that a store carries out together, or not at all.
type Transaction struct {
	// Preconditions names the revisions that keys must have, by their numbers.
	Preconditions []Precondition
	Writes        []Write
	Deletes       []string
}

// Precondition is the revision that a key must have. Zero means that it does not exist.
type Precondition struct {
	Key      string
	Revision Revision
}

// Write gives a key a value, which goes with its lease (0: stays).
type Write struct {
	Key   string
	Value []byte
	Lease int64
}

// Replace writes a key if the number of its revision is still that of the given one.
func Replace(key string, revision Revision, value []byte, lease int64) Transaction {
	return Transaction{Preconditions: []Precondition{{key, revision}}, Writes: []Write{{key, value, lease}}}
}

// Remove removes a key if the number of its revision is still that of the given one.
func Remove(key string, revision Revision) Transaction {
	return Transaction{Preconditions: []Precondition{{key, revision}}, Deletes: []string{key}}
}

// Merge returns both transactions as one.
func (t Transaction) Merge(o Transaction) Transaction {
	return Transaction{
		Preconditions: append(t.Preconditions[:len(t.Preconditions):len(t.Preconditions)], o.Preconditions...),
		Writes:        append(t.Writes[:len(t.Writes):len(t.Writes)], o.Writes...),
		Deletes:       append(t.Deletes[:len(t.Deletes):len(t.Deletes)], o.Deletes...),
	}
}
