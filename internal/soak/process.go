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

// hostProcess is a host that runs as a process, and is started again whenever it ends.
type hostProcess struct {
	index    int
	program  []string
	settings string
	// environment tells the program where the settings lie.
	environment []string
	log         *os.File

	mu      sync.Mutex
	command *exec.Cmd
	// incarnation counts the processes, and ends is closed with the present one.
	incarnation int
	exited      chan struct{}
	// endRequested is true once this process was endRequested to end, and termAt when it got SIGTERM.
	endRequested bool
	termAt       time.Time
	// downtime is how long the host stays away after its end; over ends the supervision.
	downtime time.Duration
	finished bool
	// failures notes processes that failures by themselves.
	failures []string
	done     chan struct{}
}

// SettingsVariable tells a host where its settings lie.
const SettingsVariable = "PEARLATCH_SETTINGS"

// newHostProcess prepares a host whose settings and log lie in the folder.
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
		return nil, errors.Wrap(err, "log of a host")
	}
	p.log = log
	return p, nil
}

func (p *hostProcess) writeSettings(text string) error {
	return errors.Wrap(os.WriteFile(p.settings, []byte(text), 0o600), "settings of a host")
}

// supervise starts the host, and again after each end, until finish is called.
func (p *hostProcess) supervise() {
	defer close(p.done)
	// The signal at the parent's death goes by the thread that started the process.
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
		down, over := p.downtime, p.finished
		p.mu.Unlock()
		if over {
			return
		}
		time.Sleep(down)
	}
}

// launch starts a process. It returns false if none can be started, or none is to be.
func (p *hostProcess) launch() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.finished {
		return false
	}
	p.command = exec.Command(p.program[0], p.program[1:]...)
	p.command.Stdout, p.command.Stderr = p.log, p.log
	p.command.Env = p.environment
	// The host must not outlive a soak that is killed.
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.command.Start(); err != nil {
		p.failures = append(p.failures, fmt.Sprintf("host %d does not start: %v", p.index, err))
		return false
	}
	p.incarnation++
	p.endRequested, p.termAt, p.downtime, p.exited = false, time.Time{}, restartDelay, make(chan struct{})
	return true
}

// restartDelay is the pause before a process that ended is started again.
const restartDelay = 100 * time.Millisecond

// signal sends a signal to the present process. One that ends it makes the host stay away for down.
func (p *hostProcess) signal(s syscall.Signal, down time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil || p.command.Process == nil || p.failures != nil {
		return
	}
	switch s {
	case syscall.SIGTERM:
		p.endRequested, p.downtime = true, max(restartDelay, down)
		p.termAt = time.Now()
	case syscall.SIGKILL:
		p.endRequested, p.downtime = true, max(restartDelay, down)
	}
	_ = p.command.Process.Signal(s) // it may have ended just now
}

// current returns which process of the host runs, and whether it was told to stop.
func (p *hostProcess) current() (life int, stopping bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.incarnation, !p.termAt.IsZero()
}

// openDescriptors returns how many descriptors the present process has open.
func (p *hostProcess) openDescriptors() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil || p.command.Process == nil {
		return 0
	}
	list, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.command.Process.Pid))
	if err != nil {
		return 0
	}
	return len(list)
}

// finish ends the host for good and returns what was wrong with its processes.
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
