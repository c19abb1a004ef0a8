package serving

import (
	"math/rand/v2"
	"testing"
)

// When the hosts near the root of the update tree are lost, all hosts below them change to other sources. No more of them
// than the store can handle may read from it, and in a small fleet all may.
func TestStoreReadersAreBounded(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 6))
	for _, n := range []int{8, 32, 200, 986, 2000} {
		reading := 0
		for range n {
			if ShouldReadStore(n, random.Float64()) {
				reading++
			}
		}
		if want := min(n, 2*TargetStoreReaders); reading > want || n <= TargetStoreReaders && reading != n {
			t.Errorf("%d of %d hosts read from the store", reading, n)
		}
	}
}
