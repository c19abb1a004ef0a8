package soak

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// hostProcess runs a host as a process and restarts it whenever it ends. The methods signal, current,
// openDescriptors and finish may be called while supervise runs.
type hostProcess struct {
	index    int
	program  []string
	settings string
	// environment includes SettingsVariable with the path of the settings.
	environment []string
	log         *os.File

	mu      sync.Mutex
	command *exec.Cmd
	// invalidSettings is true while the settings file holds invalid text, and sawInvalidSettings if it did at any time
	// since the current process was started. outputAt is where the output of that process begins in log.
	invalidSettings, sawInvalidSettings bool
	outputAt                            int64
	// incarnation counts the started processes. exited is closed when the current one ends.
	incarnation int
	exited      chan struct{}
	// endRequested is true once the current process was sent SIGTERM or SIGKILL, and killed once it was sent SIGKILL.
	// termAt is when it was sent SIGTERM, or zero.
	endRequested, killed bool
	termAt               time.Time
	// downtime is the delay from the end of the current process to the next start. finished ends the supervision.
	downtime time.Duration
	finished bool
	// failures holds the findings that takeFailures has not returned yet. failed is true once there was any.
	failures []string
	failed   bool
	done     chan struct{}
}

// SettingsVariable is the environment variable with the path of a host's settings file.
const SettingsVariable = "PEARLATCH_SETTINGS"

// newHostProcess writes the settings file and creates the log file of a host in Options.Folder. supervise starts the
// host.
func newHostProcess(index int, o Options, settings string) (*hostProcess, error) {
	p := &hostProcess{
		index: index, program: o.Program, settings: filepath.Join(o.Folder, fmt.Sprintf("host-%d.yaml", index)), done: make(chan struct{}),
	}
	// Reports of the race detector must be written to the host's log, whatever GORACE the soak was started with.
	p.environment = append(append(os.Environ(), o.Environment...), SettingsVariable+"="+p.settings, "GORACE=log_path=stderr")
	if err := p.writeSettings(settings, false); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(o.Folder, fmt.Sprintf("host-%d.log", index)))
	if err != nil {
		return nil, errors.Wrap(err, "create host log file")
	}
	p.log = log
	return p, nil
}

// writeSettings replaces the settings file. The rename is atomic, as an operator's tools do it: a host that starts
// meanwhile never reads a part of the text. The argument invalid tells that a host can't start with the text.
func (p *hostProcess) writeSettings(text string, invalid bool) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	next := p.settings + ".next"
	if err := os.WriteFile(next, []byte(text), 0o600); err != nil {
		return errors.Wrap(err, "write host settings file")
	}
	if err := os.Rename(next, p.settings); err != nil {
		return errors.Wrap(err, "replace host settings file")
	}
	p.invalidSettings = invalid
	p.sawInvalidSettings = p.sawInvalidSettings || invalid
	return nil
}

// supervise starts the host, and restarts it after each end, until finish is called or a start fails.
func (p *hostProcess) supervise() {
	defer close(p.done)
	// Pdeathsig is sent when the thread that started the process ends, so that thread must stay.
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	for {
		if !p.launch() {
			return
		}
		err := p.command.Wait()
		p.mu.Lock()
		close(p.exited)
		p.recordEnd(err)
		downtime, finished := p.downtime, p.finished
		p.mu.Unlock()
		if finished {
			return
		}
		time.Sleep(downtime)
	}
}

// launch starts a process. It returns false if that fails, or if the host is finished.
func (p *hostProcess) launch() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.finished {
		return false
	}
	p.command = exec.Command(p.program[0], p.program[1:]...)
	p.command.Stdout, p.command.Stderr = p.log, p.log
	p.command.Env = p.environment
	// Ends the host when the soak is killed.
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	p.sawInvalidSettings = p.invalidSettings
	at, err := p.log.Seek(0, io.SeekEnd)
	if err == nil {
		p.outputAt, err = at, p.command.Start()
	}
	if err != nil {
		p.recordFailure("EXIT", "host %d does not start: %v", p.index, err)
		return false
	}
	p.incarnation++
	p.endRequested, p.killed, p.termAt, p.downtime, p.exited = false, false, time.Time{}, restartDelay, make(chan struct{})
	return true
}

// readOutput returns the first bytes that the current process has written, at most limit. p.mu must be held.
func (p *hostProcess) readOutput(limit int64) ([]byte, error) {
	return io.ReadAll(io.NewSectionReader(p.log, p.outputAt, limit))
}

// maxLogBytes bounds what is read of the output of a process.
const maxLogBytes = 1 << 30

// hasOutput reports whether the current process has written anything. p.mu must be held.
func (p *hostProcess) hasOutput() bool {
	first, err := p.readOutput(1)
	return err == nil && len(first) > 0
}

// refusedSettings reports whether a process that ended with the given error and output refused its settings file
// correctly: by exit code 1, with no log line but "starting", and with an error that names the file and a reason.
func refusedSettings(output []byte, path string, err error) bool {
	var exit *exec.ExitError
	if !errors.As(err, &exit) || exit.ExitCode() != 1 {
		return false
	}
	line, rest, _ := bytes.Cut(output, []byte("\n"))
	if bytes.Contains(line, []byte(`"event":"starting"`)) {
		line, _, _ = bytes.Cut(rest, []byte("\n"))
	}
	_, reason, found := bytes.Cut(line, []byte("settings "+path+": "))
	return found && len(reason) > 0
}

// restartDelay is the least delay between the end of a process and the next start.
const restartDelay = 100 * time.Millisecond

// signal sends a signal to the current process. After SIGTERM and SIGKILL the host stays down for downtime, at least
// for restartDelay. Once a failure is recorded, signal does nothing.
func (p *hostProcess) signal(s syscall.Signal, downtime time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil || p.command.Process == nil || p.failed {
		return
	}
	if s == syscall.SIGHUP && !p.hasOutput() {
		go p.hangUpOnceStarted(p.incarnation)
		return
	}
	switch s {
	case syscall.SIGTERM:
		p.endRequested, p.downtime = true, max(restartDelay, downtime)
		p.termAt = time.Now()
	case syscall.SIGKILL:
		p.endRequested, p.killed, p.downtime = true, true, max(restartDelay, downtime)
	}
	_ = p.command.Process.Signal(s) // it may have ended just now
}

// terminate sends SIGTERM as signal does. It returns the channel that is closed when the current process ends, or nil if
// there is none.
func (p *hostProcess) terminate(downtime time.Duration) <-chan struct{} {
	p.signal(syscall.SIGTERM, downtime)
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.exited
}

// signalDuringShutdown sends another signal, unless it is zero, to the process that closes ended when it ends.
func (p *hostProcess) signalDuringShutdown(s syscall.Signal, ended <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s == 0 || ended != p.exited || p.termAt.IsZero() || p.failed {
		return
	}
	select {
	case <-p.exited:
	default:
		_ = p.command.Process.Signal(s) // it may have ended just now
	}
}

// hangUpOnceStarted sends SIGHUP to a process that has just been started, as soon as it has written its first line. It
// can't handle signals before, and has not read its settings yet. It sends nothing if the process ends.
func (p *hostProcess) hangUpOnceStarted(incarnation int) {
	for {
		time.Sleep(time.Millisecond)
		p.mu.Lock()
		ended, started := p.incarnation != incarnation || p.finished, p.hasOutput()
		select {
		case <-p.exited:
			ended = true
		default:
		}
		if started && !ended {
			_ = p.command.Process.Signal(syscall.SIGHUP) // it may have ended just now
		}
		p.mu.Unlock()
		if started || ended {
			return
		}
	}
}

// current returns the incarnation of the host's process, and whether it was sent SIGTERM.
func (p *hostProcess) current() (incarnation int, stopping bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.incarnation, !p.termAt.IsZero()
}

// openDescriptors returns the number of file descriptors that the current process has open, or zero if that is not
// known.
func (p *hostProcess) openDescriptors() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil || p.command.Process == nil {
		return 0
	}
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.command.Process.Pid))
	if err != nil {
		return 0
	}
	return len(entries)
}

// finish kills the host, waits for the end of supervise, and returns the remaining failures.
func (p *hostProcess) finish() []string {
	p.mu.Lock()
	p.finished, p.endRequested, p.killed = true, true, true
	if p.command != nil && p.command.Process != nil {
		_ = p.command.Process.Signal(syscall.SIGCONT)
		_ = p.command.Process.Kill()
	}
	p.mu.Unlock()
	<-p.done
	_ = p.log.Close()
	return p.takeFailures()
}
