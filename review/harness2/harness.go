//go:build review

// Package harness holds what the scripts of the second review share: a record, hosts as processes of the deploy file's
// command, and a small database group whose members log what they run.
package harness

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"pearlatch/platform"
)

// Exit codes of a script.
const (
	Held, Broken, NotRun = 0, 1, 2
)

// Trouble reports whether the disruption is to be made.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Record is the file that says what was sent, answered and run, with the seconds since the start.
type Record struct {
	mu      sync.Mutex
	out     *bufio.Writer
	file    *os.File
	started time.Time
}

// NewRecord creates the file named by RECORD.
func NewRecord() *Record {
	f, err := os.Create(os.Getenv("RECORD"))
	if err != nil {
		fmt.Fprintln(os.Stderr, "record:", err)
		os.Exit(NotRun)
	}
	return &Record{out: bufio.NewWriter(f), file: f, started: time.Now()}
}

// Logf writes a line.
func (r *Record) Logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// Close writes the rest of the record.
func (r *Record) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}

// Host is a host's process.
type Host struct {
	Name           string
	Callers, Ready netip.AddrPort
	Cmd            *exec.Cmd
	Ended          chan struct{}
}

// StartHost starts "target/pearlatch gateway", as the deploy file does, with the settings in a temporary folder.
func StartHost(folder, name, settings string, callers, ready netip.AddrPort) (*Host, error) {
	path := filepath.Join(folder, name+".yaml")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(folder, name+".log"))
	if err != nil {
		return nil, err
	}
	h := &Host{Name: name, Callers: callers, Ready: ready, Cmd: exec.Command("target/pearlatch", "gateway"), Ended: make(chan struct{})}
	h.Cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "GOGC=50", "PEARLATCH_SETTINGS=" + path}
	h.Cmd.Stdout, h.Cmd.Stderr = log, log
	h.Cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := h.Cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		_ = h.Cmd.Wait()
		_ = log.Close()
		close(h.Ended)
	}()
	return h, nil
}

// Signal sends a signal to the process.
func (h *Host) Signal(s syscall.Signal) { _ = h.Cmd.Process.Signal(s) }

// Kill ends the process and waits for its end.
func (h *Host) Kill() {
	h.Signal(syscall.SIGCONT)
	h.Signal(syscall.SIGKILL)
	<-h.Ended
}

// AwaitReady waits until the host answers the readiness check with 200.
func (h *Host) AwaitReady(limit time.Duration) bool {
	client := http.Client{Timeout: time.Second}
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		res, err := client.Get("http://" + h.Ready.String() + platform.ReadyPath)
		if err != nil {
			continue
		}
		_ = res.Body.Close()
		if res.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

// Listen opens a listener on a free loopback port.
func Listen() (net.Listener, netip.AddrPort) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "listen:", err)
		os.Exit(NotRun)
	}
	return lis, netip.MustParseAddrPort(lis.Addr().String())
}

// FreeAddr returns a loopback address with a port that was free just now. The port lies below those that are given to
// outgoing connections, so that none takes it before the host does.
func FreeAddr() netip.AddrPort {
	for range 100 {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(20000+rand.N(12000)))
		lis, err := net.Listen("tcp", addr.String())
		if err == nil {
			_ = lis.Close()
			return addr
		}
	}
	fmt.Fprintln(os.Stderr, "no port is free")
	os.Exit(NotRun)
	return netip.AddrPort{}
}
