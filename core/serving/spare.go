package serving

// TargetStoreReaders is how many hosts of a fleet turn to the store at a time, on average, where others have what it holds: as
// they start, and when their feeds fail. Hundreds would ask for more than its calls and its link carry.
const TargetStoreReaders = 32

// ShouldReadStore reports whether a host of a fleet of n turns to the store itself. Of a few hosts all do, since it is the nearest
// source. draw is a random number from 0 up to 1.
func ShouldReadStore(n int, draw float64) bool {
	return n <= TargetStoreReaders || draw < TargetStoreReaders/float64(n)
}
