package process

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"pearlatch/core/freshness"
	"pearlatch/internal/gateway"
	"pearlatch/internal/site"
	"pearlatch/platform"
)

// settingsVariable names the settings of the host that TestMain runs in place of the tests.
const settingsVariable = "PEARLATCH_TEST_SETTINGS"

func TestMain(m *testing.M) {
	path := os.Getenv(settingsVariable)
	if path == "" {
		os.Exit(m.Run())
	}
	if err := Run(path, os.Stdout); err != nil {
		_, _ = os.Stderr.WriteString(err.Error() + "\n")
		os.Exit(1)
	}
}

const (
	oddMembersDatabase = "booking"
	// serveTimeout bounds the wait for a served statement, also while the primary is replaced.
	serveTimeout = 30 * time.Second
	// oddRounds is how often the odd entries come or go beside statements, and oddRoundTime the time between two changes.
	oddRounds    = 20
	oddRoundTime = 100 * time.Millisecond
	// maxLineSize bounds a log line, and maxLogSize what a host logs in this test, in bytes. maxShownLog is how much of it a
	// failure shows.
	maxLineSize = 2 << 10
	maxLogSize  = 1 << 20
	maxShownLog = 16 << 10
)

// oddEntries returns the entries of another writer by key. Those that replace the entry of a member are under its key.
func oddEntries(t *testing.T, group string, members []*site.Member) map[string][]byte {
	t.Helper()
	entry := func(field string, value any) []byte {
		fields := map[string]any{
			"service": group, "address": "127.0.0.9:9", "zone": "zone-0", "slots": 3, "state": "ready", "db_role": "replica", "born": 7, "sequence": 1,
		}
		fields[field] = value
		out, err := json.Marshal(fields)
		if err != nil {
			t.Fatal(err)
		}
		return out
	}
	values := map[string][]byte{
		"nested": entry("version", json.RawMessage(nested(1_000))), "nested-deep": []byte(nested(9_000)), "nested-too-deep": []byte(nested(100_000)),
		"large-slots": entry("slots", json.Number("9223372036854775807")), "huge-slots": entry("slots", json.Number("1e400")),
		"long-number": entry("slots", json.Number("1"+strings.Repeat("0", 1<<19))), "far-future": entry("born", json.Number("9223372036854775807")),
		"sequence": entry("sequence", json.Number("9223372036854775807")), "port": entry("address", "127.0.0.9:99999"), "port-0": entry("address", "127.0.0.9:0"),
		"unspecified": entry("address", "0.0.0.0:9"), "multicast": entry("address", "224.0.0.1:9"), "interface": entry("address", "[fe80::1%lo]:9"),
		"line-end": entry("service", group+"\r\nQUERY 1 WRITE a b"), "blank\r\nQUERY 1 WRITE a b": entry("", nil), "": entry("", nil),
		"long-zone": entry("zone", strings.Repeat("z", 1<<10)), "large": entry("zone", strings.Repeat("z", 1<<19)), "null": []byte("null"), "list": []byte("[]"), "empty": {}, "bytes": {0xff, 0xfe},
		"nobody": entry("", nil), "nobody-leads": entry("db_role", "primary"),
	}
	out := map[string][]byte{}
	for name, value := range values {
		out[platform.Keys.MembersPrefix+name] = value
	}
	for i, name := range []string{"line-end", "far-future", "nobody-leads"} {
		out[platform.Keys.MembersPrefix+members[i].ID()] = values[name]
	}
	return out
}

func nested(n int) string { return strings.Repeat(`{"a":`, n) + "1" + strings.Repeat("}", n) }

// hostProcess is a host that runs as a process.
type hostProcess struct {
	command *exec.Cmd
	mu      sync.Mutex
	log     bytes.Buffer
	ended   chan struct{}
}

// Write implements io.Writer for the output of the process.
func (p *hostProcess) Write(text []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.Write(text)
}

func (p *hostProcess) output() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.String()
}

func startHostProcess(t *testing.T, settings string) *hostProcess {
	t.Helper()
	path := filepath.Join(t.TempDir(), "host.yaml")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	p := &hostProcess{command: exec.Command(os.Args[0]), ended: make(chan struct{})}
	p.command.Env = append(os.Environ(), settingsVariable+"="+path)
	p.command.Stdout, p.command.Stderr = p, p
	if err := p.command.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		defer close(p.ended)
		_ = p.command.Wait()
	}()
	t.Cleanup(func() {
		_ = p.command.Process.Signal(syscall.SIGTERM)
		<-p.ended
		if log := p.output(); t.Failed() {
			t.Logf("end of the log of %s:\n%s", path, log[max(0, len(log)-maxShownLog):])
		}
	})
	return p
}

// mustServe runs a statement on the host until it succeeds.
func mustServe(t *testing.T, s *site.Site, host int, id, text string) {
	t.Helper()
	var err error
	for until, n := time.Now().Add(serveTimeout), 0; time.Now().Before(until); n++ {
		if err = serveOnce(s, host, fmt.Sprint(id, ".", n), text); err == nil {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatalf("host %d does not serve %q: %v", host, text, err)
}

func serveOnce(s *site.Site, host int, id, text string) error {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	c, err := platform.DialCaller(ctx, s.Callers(host), oddMembersDatabase, "u1")
	if err != nil {
		return err
	}
	defer c.Close()
	s.History().Issue(id)
	reply, err := c.Do(2*time.Second, id, text)
	if err == nil && reply.Failure != nil {
		err = reply.Failure
	}
	return err
}

// Guards against hosts that end, or stop following the members, because of entries that another writer left among those of
// the members, from the start or in turn, and against logs that grow with such entries.
func TestHostsServeBesideOddEntries(t *testing.T) {
	o := site.DefaultOptions()
	o.Hosts, o.Groups = 2, 1
	s, err := site.Start(o)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	group := s.Groups()[0]
	s.Configure(gateway.Config{
		Groups: map[string]gateway.GroupConfig{group.Name(): {Connections: o.Connections, SyncReplicas: 1}},
		Routes: map[string]gateway.Route{oddMembersDatabase: {
			Name: "r", Group: group.Name(), Class: freshness.Latest{}, Timeout: 800 * time.Millisecond, LatencyTarget: 200 * time.Millisecond,
		}},
	})
	odd := oddEntries(t, group.Name(), group.Members())
	writeAll := func(remove bool) {
		for key, value := range odd {
			if remove {
				value = nil
			}
			s.Store().Write(key, value)
		}
	}
	writeAll(false)
	var hosts []*hostProcess
	for i := range o.Hosts {
		hosts = append(hosts, startHostProcess(t, s.Settings(i)))
	}
	work := func(step string) {
		for i := range hosts {
			mustServe(t, s, i, fmt.Sprintf("%s-w%d", step, i), "WRITE k v")
			mustServe(t, s, i, fmt.Sprintf("%s-r%d", step, i), "READ k")
		}
	}
	work("start")
	for round := range oddRounds {
		writeAll(round%2 == 0)
		work(fmt.Sprint("round-", round))
		time.Sleep(oddRoundTime)
	}
	before := group.Leader()
	group.Primary().Leave(2 * time.Second)
	for round, until := 0, time.Now().Add(serveTimeout); group.Leader() == before; round++ {
		if time.Now().After(until) {
			t.Fatal("the leaving primary is not replaced")
		}
		writeAll(round%2 == 0)
		time.Sleep(oddRoundTime)
	}
	work("next")
	for i, p := range hosts {
		checkLog(t, i, p)
	}
	for _, finding := range s.History().Findings() {
		t.Error(finding)
	}
}

// checkLog checks that the host still runs, that its log is bounded and that it names odd entries and their fields.
func checkLog(t *testing.T, host int, p *hostProcess) {
	t.Helper()
	select {
	case <-p.ended:
		t.Errorf("host %d has ended", host)
	default:
	}
	log := p.output()
	if len(log) > maxLogSize {
		t.Errorf("host %d logged %d bytes", host, len(log))
	}
	for line := range strings.Lines(log) {
		if len(line) > maxLineSize {
			t.Errorf("host %d logged a line of %d bytes: %.200s", host, len(line), line)
		}
	}
	for _, want := range []string{"servers/large-slots: slots:", "servers/port: address:", "servers/long-zone: zone:", "servers/large: value:"} {
		if !strings.Contains(log, want) {
			t.Errorf("host %d does not log %q", host, want)
		}
	}
}
