package soak

import (
	"testing"
)

// Guards against reports of crashes that are overlooked, and log lines that are taken for such reports.
func TestFindCrashes(t *testing.T) {
	for _, c := range []struct {
		output string
		count  int
		want   string
	}{
		{`{"event":"start","err":"panic: no"}` + "\nlab: settings f: line 1: fatal error: no\n", 0, ""},
		{"==================\nWARNING: DATA RACE\nWrite at 0x1\n{\"event\":\"x\"}\n  f.go:3\n==================\nother\n", 1, "WARNING: DATA RACE\nWrite at 0x1\n  f.go:3"},
		{"panic: flaw\n\ngoroutine 1 [running]:\npanic: second\n", 2, "panic: flaw\n\ngoroutine 1 [running]:"},
		{"fatal error: concurrent map writes\n", 1, "fatal error: concurrent map writes"},
		{"SIGSEGV: segmentation violation\nPC=0x41c629\n", 1, "SIGSEGV: segmentation violation\nPC=0x41c629"},
		{"==12==ERROR: ThreadSanitizer: SEGV on unknown address\n", 1, "==12==ERROR: ThreadSanitizer: SEGV on unknown address"},
		{"2026/01/02 03:04:05 http: panic serving 127.0.0.1:80: flaw\n", 1, "2026/01/02 03:04:05 http: panic serving 127.0.0.1:80: flaw"},
		{"panic: flaw", 1, "panic: flaw"},
	} {
		first, count := findCrashes([]byte(c.output))
		if first != c.want || count != c.count {
			t.Errorf("output %q: %d reports, first %q", c.output, count, first)
		}
	}
}
