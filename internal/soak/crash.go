package soak

import (
	"bytes"
	"fmt"
	"os/exec"
	"regexp"
	"strings"
	"syscall"

	"github.com/pkg/errors"
)

// crashLine matches the first line of a report of the race detector, a panic, or a fatal error of the runtime. Panics
// that net/http recovers from are included.
var crashLine = regexp.MustCompile(`^(WARNING: DATA RACE|panic: |fatal error: |unexpected fault address |SIG[A-Z]+: |.*ThreadSanitizer|.*http: panic serving )`)

const (
	// maxReportLines bounds the lines of a report in a finding.
	maxReportLines = 40
	// reportEnd is the last line of a report of the race detector.
	reportEnd = "=================="
)

// findCrashes returns the first report of a crash or a data race in the output of a process, without the log lines that
// may be mixed into it, and the number of reports.
func findCrashes(output []byte) (first string, count int) {
	var report []string
	inReport := false
	for line := range bytes.Lines(output) {
		text := strings.TrimRight(string(line), "\n")
		if strings.HasPrefix(text, "{") {
			continue
		}
		if crashLine.MatchString(text) {
			count++
			inReport = count == 1
		}
		inReport = inReport && text != reportEnd && len(report) < maxReportLines
		if inReport {
			report = append(report, text)
		}
	}
	return strings.Join(report, "\n"), count
}

// endSignal returns the signal that ended a process, or zero if it exited.
func endSignal(err error) syscall.Signal {
	var exit *exec.ExitError
	if !errors.As(err, &exit) {
		return 0
	}
	status, ok := exit.Sys().(syscall.WaitStatus)
	if !ok || !status.Signaled() {
		return 0
	}
	return status.Signal()
}

// recordEnd checks the output and the exit of the current process, which ended with err. p.mu must be held.
func (p *hostProcess) recordEnd(err error) {
	output, readErr := p.readOutput(maxLogBytes)
	if readErr != nil {
		p.recordFailure("SOAK", "read the log of host %d: %v", p.index, readErr)
	}
	if report, n := findCrashes(output); n > 0 {
		p.recordFailure("CRASH", "host %d reported %d crashes or data races, the first one:\n%s", p.index, n, report)
	}
	refused := p.sawInvalidSettings && refusedSettings(output, p.settings, err)
	switch signal := endSignal(err); {
	case signal == syscall.SIGKILL && p.killed, signal == syscall.SIGTERM && !p.termAt.IsZero():
	case signal != 0 && signal != syscall.SIGHUP:
		p.recordFailure("CRASH", "host %d was ended by a signal that it was not sent: %v", p.index, signal)
	case !p.endRequested && !refused:
		p.recordFailure("EXIT", "host %d ended by itself: %v", p.index, err)
	case err != nil && !refused:
		p.recordFailure("EXIT", "host %d was asked to end, and ended with an error: %v", p.index, err)
	}
}

// recordFailure adds a failure. kind is the kind of its finding. p.mu must be held.
func (p *hostProcess) recordFailure(kind, format string, args ...any) {
	p.failed = true
	p.failures = append(p.failures, kind+": "+fmt.Sprintf(format, args...))
}

// takeFailures returns the failures since its last call. Each begins with the kind of the finding.
func (p *hostProcess) takeFailures() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := p.failures
	p.failures = nil
	return out
}
