package process

import (
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"pearlatch/core/shutdown"
	"pearlatch/internal/boottime"
	"pearlatch/internal/gateway"
	"pearlatch/platform"
)

const (
	// finishTimeout bounds the wait for the host to hand back what it holds in the store.
	finishTimeout = 300 * time.Millisecond
	// drainPollInterval is the time between two checks for remaining sessions.
	drainPollInterval = 50 * time.Millisecond
)

// drain ends what a host does for callers and for other hosts, by the phases of its shutdown.
type drain struct {
	host     *gateway.Host
	callers  *platform.CallerServer
	logger   log.Logger
	schedule shutdown.Schedule
	started  time.Time
}

// newDrain returns a drain that begins now.
func newDrain(h *gateway.Host, callers *platform.CallerServer, grace time.Duration, logger log.Logger) *drain {
	return &drain{host: h, callers: callers, logger: logger, schedule: shutdown.NewSchedule(grace), started: boottime.Now()}
}

// run returns once nothing is left to be answered, at the latest when the process has to exit.
func (d *drain) run() {
	entered := shutdown.Running
	for d.remaining() > 0 {
		p := d.schedule.Phase(d.elapsed())
		if p > entered {
			entered = p
			d.host.EnterShutdown(p)
			d.logRemaining("draining", p)
		}
		if p >= shutdown.EndingSessions && d.endSessions(p) == 0 {
			break
		}
		d.sleep(p)
	}
	d.logRemaining("drained", entered)
}

// endSessions takes the actions of the phase. It returns how many sessions, requests and replies have not ended.
func (d *drain) endSessions(p shutdown.Phase) int {
	left := d.callers.Drain(p) + int(d.host.PendingReplies())
	if p < shutdown.AnsweringUnknown {
		left += int(d.host.ForwardedCount())
	}
	return left
}

// sleep waits until the next phase, or, once sessions end, until the next check for remaining sessions.
func (d *drain) sleep(p shutdown.Phase) {
	wait := d.schedule.UntilNext(d.elapsed())
	if p >= shutdown.EndingSessions {
		wait = min(wait, drainPollInterval)
	}
	time.Sleep(wait)
}

func (d *drain) elapsed() time.Duration { return boottime.Now().Sub(d.started) }

// remaining returns how long the process may still run.
func (d *drain) remaining() time.Duration { return max(0, d.schedule.Exit()-d.elapsed()) }

// logRemaining logs how many sessions are left by their activities, and how many requests and transactions of other hosts.
func (d *drain) logRemaining(event string, p shutdown.Phase) {
	fields := []any{"event", event, "phase", p, "took_ms", d.elapsed().Milliseconds()}
	counts := d.callers.Counts()
	for a := shutdown.Idle; a <= shutdown.Leaving; a++ {
		fields = append(fields, a.String(), counts[a])
	}
	_ = level.Info(d.logger).Log(append(fields, "forwarded", d.host.ForwardedCount(), "replies", d.host.PendingReplies())...)
}
