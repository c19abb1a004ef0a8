package soak

import (
	"bytes"
	"context"
	"errors"
	"flag"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"pearlatch/internal/gateway"
	"pearlatch/internal/process"
)

// exitCode makes the test binary end with this exit code at once.
var exitCode = flag.Int("exit", 0, "end with this exit code")

// TestMain runs a host instead of the tests if SettingsVariable is set: a soak runs this test binary for each of its
// hosts.
func TestMain(m *testing.M) {
	path := os.Getenv(SettingsVariable)
	if path == "" {
		flag.Parse()
		if *exitCode > 0 {
			os.Exit(*exitCode)
		}
		os.Exit(m.Run())
	}
	addFlaw := func(*gateway.Ports) {}
	if flaw := flaws[os.Getenv(flawVariable)]; flaw != nil {
		addFlaw = flaw
	}
	if err := process.RunWithPorts(path, os.Stdout, addFlaw); err != nil {
		_, _ = os.Stderr.WriteString(err.Error() + "\n")
		os.Exit(1)
	}
}

// runSchedule runs a soak with the faults and fails the test for each finding. The environment variable
// PEARLATCH_SOAK_FOLDER names a folder in which to keep the settings and logs of the hosts.
func runSchedule(t *testing.T, seed uint64, faults []Fault) *Report {
	t.Helper()
	return runOptions(t, testOptions(t), seed, faults)
}

// testOptions returns options for hosts that run in this test binary.
func testOptions(t *testing.T) Options {
	o := DefaultOptions()
	o.Program, o.Folder = []string{os.Args[0]}, t.TempDir()
	return o
}

// runOptions is runSchedule with other options.
func runOptions(t *testing.T, o Options, seed uint64, faults []Fault) *Report {
	t.Helper()
	if folder := os.Getenv("PEARLATCH_SOAK_FOLDER"); folder != "" {
		o.Folder = folder
	}
	report, err := Run(context.Background(), o, seed, faults)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("seed %d: %d served, %d refused, %d unknown, %d promotions", seed, report.Served, report.Refused, report.Unknown, report.Promotions)
	for _, f := range report.Findings {
		t.Error(f)
	}
	return report
}

// Without faults, no request may be refused and no guarantee violated.
func TestSiteWithoutFaults(t *testing.T) {
	if r := runSchedule(t, 1, nil); r.Served == 0 {
		t.Error("nothing was served")
	}
}

// Repeats seeds of earlier soaks, each with the situation that it produces.
func TestSeeds(t *testing.T) {
	for _, seed := range []uint64{
		4, // an unreachable member that loses answers, then a frozen host and late promotions
		7, // hosts that are shut down and killed while one member is down and another is cut off
		// A leaving primary completed its switchover while the coordinator could not reach the new primary
		// for a moment. The coordinator took the old primary for lost, and the group had no primary any more.
		109,
		// A host was restarted while its settings file was truncated. It refused the file correctly, and was started
		// again, which the soak took for an unexpected end.
		200,
	} {
		runSchedule(t, seed, scheduleWithoutRestores(seed, DefaultOptions().Faults))
	}
}

// Repeats seeds of complete schedules, each with the situation that it produces.
func TestSeedsWithStoreRestores(t *testing.T) {
	for _, seed := range []uint64{
		2, // two restores of the store
		// Hosts that were stopped exited while statements of transactions ran.
		30102, 30103,
	} {
		runSchedule(t, seed, Schedule(seed, DefaultOptions().Faults))
	}
}

// Guards against an answer that a member repeats and a host takes for the answer to another request, and against messages that
// a host ends at a line feed.
func TestPeerFaults(t *testing.T) {
	for _, c := range []struct {
		name    string
		repeats float64
		texts   float64
		faults  []Fault
	}{
		{"repeated answers", 0, 0, []Fault{{Kind: RepeatAnswers, For: 5 * time.Second, Seed: 4}, {Kind: LoseAnswers, At: 2 * time.Second, For: 2 * time.Second, Seed: 1}}},
		{"answers repeated by all", 0.05, 0, []Fault{{Kind: StopHost, At: time.Second, For: time.Second}}},
		{"unusual texts", 0, 0.2, []Fault{{Kind: ResetHost, At: 3 * time.Second}, {Kind: StopHost, At: time.Second, For: time.Second}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			o := testOptions(t)
			o.Site.Hosts, o.Site.Groups, o.Site.RepeatedAnswers, o.UnusualTexts = 3, 1, c.repeats, c.texts
			runOptions(t, o, 73, c.faults)
		})
	}
}

// Guards against a host that stops and exits while requests of open transactions are in progress. Their callers got no
// answer, also to a COMMIT that took effect.
func TestStoppingHostAnswersEachRequest(t *testing.T) {
	o := testOptions(t)
	o.Site.Hosts, o.Site.Groups, o.Site.Slots, o.Site.Work = 3, 1, 16, 30*time.Millisecond
	var faults []Fault
	for i := range uint64(4) {
		faults = append(faults, Fault{Kind: StopHost, At: time.Duration(i) * time.Second, For: time.Second, Seed: i})
	}
	report, err := Run(context.Background(), o, 1, faults)
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range report.Findings {
		t.Error(f)
	}
}

// A host that ends while its settings are invalid must have refused exactly these: a crash, another exit code, or an
// error that doesn't name the file must remain a finding.
func TestOtherEndsAreNotRefusedSettings(t *testing.T) {
	exit := func(code string) error { return exec.Command(os.Args[0], "-test.run=^$", "-exit="+code).Run() }
	one, three := exit("1"), exit("3")
	for _, c := range []struct {
		output string
		err    error
		want   bool
	}{
		{"lab: settings /f/h.yaml: line 7: unexpected end\nhost is required\n", one, true},
		{"lab: settings /f/h.yaml: line 7: unexpected end\n", three, false},
		{"lab: settings /f/h.yaml: line 7: unexpected end\n", nil, false},
		{"lab: settings /f/h.yaml: \n", one, false},
		{"lab: settings /f/other.yaml: line 7: unexpected end\n", one, false},
		{`{"event":"start"}` + "\nlab: settings /f/h.yaml: line 7: unexpected end\n", one, false},
		{`{"event":"starting"}` + "\nlab: settings /f/h.yaml: line 7: unexpected end\n", one, true},
		{`{"event":"starting"}` + "\n" + `{"event":"start"}` + "\nlab: settings /f/h.yaml: line 7: unexpected end\n", one, false},
		{"panic: runtime error\n", one, false},
		{"", one, false},
	} {
		if got := refusedSettings([]byte(c.output), "/f/h.yaml", c.err); got != c.want {
			t.Errorf("output %q, %v: refused settings is %t", c.output, c.err, got)
		}
	}
}

// Guards against a host that is ended by a reload while it starts, before it has read its settings.
func TestReloadDoesNotEndStartingHost(t *testing.T) {
	settings := filepath.Join(t.TempDir(), "host.yaml")
	if err := syscall.Mkfifo(settings, 0o600); err != nil {
		t.Fatal(err)
	}
	host := exec.Command(os.Args[0])
	host.Env = append(os.Environ(), SettingsVariable+"="+settings)
	var output bytes.Buffer
	host.Stdout, host.Stderr = &output, &output
	if err := host.Start(); err != nil {
		t.Fatal(err)
	}
	pipe, err := os.OpenFile(settings, os.O_WRONLY, 0) // waits until the host reads its settings
	if err != nil {
		t.Fatal(err)
	}
	for range 3 {
		if err := host.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := pipe.WriteString("host: [\n"); err != nil {
		t.Fatal(err)
	}
	_ = pipe.Close() // the host has what it needs
	err = host.Wait()
	if exit := (*exec.ExitError)(nil); !errors.As(err, &exit) || exit.ExitCode() != 1 {
		t.Errorf("the host ended with %v, want exit code 1 for its invalid settings", err)
	}
	if crash, n := findCrashes(output.Bytes()); n > 0 {
		t.Error(crash)
	}
}

// Guards against progress reports that omit hosts which have ended.
func TestServeReportsFailures(t *testing.T) {
	t.Parallel()
	p := &Plan{Options: testOptions(t), Seed: 1}
	p.Options.Site.Hosts, p.Options.Site.Groups = 3, 1
	p.Options.Environment = []string{flawVariable + "=the process ends"}
	ctx, stop := context.WithTimeout(context.Background(), time.Minute)
	defer stop()
	reported := false
	err := Serve(ctx, p, func(now Progress) {
		for _, f := range now.Findings {
			if strings.HasPrefix(f, "EXIT") {
				reported = true
				stop()
			}
		}
	})
	if err != nil || !reported {
		t.Errorf("no host that ended is reported, error %v", err)
	}
}

// Shrink removes the faults that a failure doesn't depend on, and keeps the others in order.
func TestShrink(t *testing.T) {
	faults := []Fault{{Kind: KillHost}, {Kind: StoreAway}, {Kind: CutMember}, {Kind: LagMember}}
	left := Shrink(faults, func(faults []Fault) bool {
		cut, away := false, false
		for _, f := range faults {
			cut, away = cut || f.Kind == CutMember, away || f.Kind == StoreAway
		}
		return cut && away
	})
	if len(left) != 2 || left[0].Kind != StoreAway || left[1].Kind != CutMember {
		t.Errorf("%v is left", left)
	}
}

// The same seed must always give the same schedule, so that a failed run can be repeated.
func TestScheduleRepeats(t *testing.T) {
	for seed := range uint64(50) {
		a, b := Schedule(seed, 6e9), Schedule(seed, 6e9)
		if len(a) < minFaults || len(a) > maxFaults+maxRestores+maxRepeats {
			t.Fatalf("seed %d: %d faults", seed, len(a))
		}
		for i := range a {
			if a[i] != b[i] {
				t.Fatalf("seed %d: %v and %v", seed, a[i], b[i])
			}
		}
	}
}
