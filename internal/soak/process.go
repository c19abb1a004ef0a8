package soak

import (
	"fmt"
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
	// incarnation counts the started processes. exited is closed when the current one ends.
	incarnation int
	exited      chan struct{}
	// endRequested is true once the current process was asked to end or killed. termAt is when it was sent SIGTERM,
	// or zero.
	endRequested bool
	termAt       time.Time
	// downtime is the delay from the end of the current process to the next start. finished ends the supervision.
	downtime time.Duration
	finished bool
	// failures describes the processes that ended unasked or could not be started.
	failures []string
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
	p.environment = append(append(os.Environ(), o.Environment...), SettingsVariable+"="+p.settings)
	if err := p.writeSettings(settings); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(o.Folder, fmt.Sprintf("host-%d.log", index)))
	if err != nil {
		return nil, errors.Wrap(err, "create host log file")
	}
	p.log = log
	return p, nil
}

func (p *hostProcess) writeSettings(text string) error {
	return errors.Wrap(os.WriteFile(p.settings, []byte(text), 0o600), "write host settings file")
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
		if !p.endRequested {
			p.failures = append(p.failures, fmt.Sprintf("host %d ended by itself: %v", p.index, err))
		}
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
	if err := p.command.Start(); err != nil {
		p.failures = append(p.failures, fmt.Sprintf("host %d does not start: %v", p.index, err))
		return false
	}
	p.incarnation++
	p.endRequested, p.termAt, p.downtime, p.exited = false, time.Time{}, restartDelay, make(chan struct{})
	return true
}

// restartDelay is the least delay between the end of a process and the next start.
const restartDelay = 100 * time.Millisecond

// signal sends a signal to the current process. After SIGTERM and SIGKILL the host stays down for downtime, at least
// for restartDelay. Once a failure is recorded, signal does nothing.
func (p *hostProcess) signal(s syscall.Signal, downtime time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil || p.command.Process == nil || p.failures != nil {
		return
	}
	switch s {
	case syscall.SIGTERM:
		p.endRequested, p.downtime = true, max(restartDelay, downtime)
		p.termAt = time.Now()
	case syscall.SIGKILL:
		p.endRequested, p.downtime = true, max(restartDelay, downtime)
	}
	_ = p.command.Process.Signal(s) // it may have ended just now
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

// finish kills the host, waits for the end of supervise, and returns the recorded failures.
func (p *hostProcess) finish() []string {
	p.mu.Lock()
	p.finished, p.endRequested = true, true
	if p.command != nil && p.command.Process != nil {
		_ = p.command.Process.Signal(syscall.SIGCONT)
		_ = p.command.Process.Kill()
	}
	p.mu.Unlock()
	<-p.done
	_ = p.log.Close()
	return p.failures
}
