//go:build race

package soak

import (
	"strings"
	"testing"
	"time"

	"pearlatch/internal/gateway"
)

func init() {
	flaws["two goroutines write a variable"] = func(*gateway.Ports) { time.AfterFunc(time.Second, raceOnVariable) }
}

func raceOnVariable() {
	n := 0
	for range 2 {
		go func() { n++ }()
	}
}

// Guards against data races in hosts that go unnoticed. The finding must name the file.
func TestDataRaceIsFound(t *testing.T) {
	t.Parallel()
	for _, f := range playFlaw(t, "two goroutines write a variable", nil, 0) {
		if strings.HasPrefix(f, "CRASH") && strings.Contains(f, "flaw_race_test.go:") {
			return
		}
	}
	t.Error("the data race is not found")
}
