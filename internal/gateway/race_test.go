//go:build race

package gateway

import "runtime"

// Under the race detector the tests run on one processor. The runtime keeps a single
// detector state for all timers of a synctest bubble. If two threads process expired channel
// timers of one bubble at the same time, both use this state, and the process crashes in the
// detector (docs/incidents/detector-crash.md). Goroutines still switch at every blocking
// operation, and the happens-before order that the detector checks does not depend on the number
// of processors. CI also runs the tests without the detector, on all processors.
func init() { runtime.GOMAXPROCS(1) }
