package fleet

import (
	"context"
	"net/netip"
	"time"

	"pearlatch/core/serving"
	"pearlatch/internal/pause"
)

// AskProcess asks the host at an address which process it runs. It returns false if the host does not answer.
type AskProcess func(ctx context.Context, addr netip.AddrPort) (process string, ok bool)

// ProbeSuspect asks a suspect host until it answers, is no longer listed or suspect, or ctx ends, so that no caller's
// request has to find out whether it is back. Each question may take up to timeout. It returns true if the host answered.
func (f *Hosts) ProbeSuspect(ctx context.Context, id string, timeout time.Duration, ask AskProcess) (process string, answered bool) {
	for next := serving.PeerRetryDelay(0, 1); pause.For(ctx, next); next = serving.PeerRetryDelay(next, f.SuspectCount()) {
		addr, suspect := f.SuspectAddress(id)
		if !suspect {
			return "", false
		}
		callCtx, cancel := context.WithTimeout(ctx, timeout)
		process, ok := ask(callCtx, addr)
		cancel()
		if ok {
			return process, true
		}
	}
	return "", false
}
