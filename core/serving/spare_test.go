package serving

import (
	"math/rand/v2"
	"testing"
)

// The hosts near the root of the feeds are lost, and all below turn to further sources. No more of them than the store
// carries may watch it, and all of a small fleet may.
func TestStoreReadersAreBounded(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 6))
	for _, n := range []int{8, 32, 200, 986, 2000} {
		asking := 0
		for range n {
			if ShouldReadStore(n, random.Float64()) {
				asking++
			}
		}
		if want := min(n, 2*TargetStoreReaders); asking > want || n <= TargetStoreReaders && asking != n {
			t.Errorf("%d of %d hosts turn to the store", asking, n)
		}
	}
}
