package serving

// TargetStoreReaders is the average number of hosts that read from the store at the same time although other hosts hold
// the same data: at startup, and when their update sources fail. Hundreds of readers would exceed the store's limit on
// calls and the capacity of its link.
const TargetStoreReaders = 32

// ShouldReadStore reports whether a host of a fleet of n hosts reads from the store itself. draw is a random number in
// [0, 1). In a fleet of up to TargetStoreReaders hosts all hosts do, since the store is the nearest source.
func ShouldReadStore(n int, draw float64) bool {
	return n <= TargetStoreReaders || draw < TargetStoreReaders/float64(n)
}
