package serving

// spareReaders is how many hosts of a fleet turn to the store at a time, on average, when their feeds fail. The others wait
// for hosts that have the news: after the loss of a few hosts near the root, hundreds would watch the store.
const spareReaders = 32

// AsksStore reports whether a host of a fleet of n turns to the store itself now that its feeds have failed. draw is a
// random number from 0 up to 1.
func AsksStore(n int, draw float64) bool { return n <= spareReaders || draw < spareReaders/float64(n) }
