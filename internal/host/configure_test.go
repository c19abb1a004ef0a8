package host

import (
	"testing"
	"time"

	"pearlatch/core/config"
)

// Guards against a host that sends an empty delta, which no host can decode, after it failed to encode one.
func TestFailedDeltaIsNotKept(t *testing.T) {
	var c configuration
	c.receive(config.Revision{Number: 1, Text: []byte("a")})
	c.receive(config.Revision{Number: 2, Text: []byte("b"), At: time.Date(10000, 1, 1, 0, 0, 0, 0, time.UTC)}) // JSON has years of four digits
	for range 2 {
		if got := c.pullResponse(1); got.Revision != 0 {
			t.Errorf("a host with revision 1 gets revision %d with %d bytes", got.Revision, len(got.Delta))
		}
	}
}
