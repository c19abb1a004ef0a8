package recall

import (
	"testing"
	"time"
)

func TestLog(t *testing.T) {
	var l Log[string]
	at := func(d time.Duration) time.Time { return time.Unix(0, 0).Add(d) }
	k := Key{"h1", 7}
	if !l.Admit(k, at(0)) || l.Admit(k, at(1)) {
		t.Error("a request must be admitted exactly once")
	}
	if o, _ := l.Resolve(k, at(2)); o != Running {
		t.Errorf("%v, want Running", o)
	}
	l.Complete(k, "yes")
	if o, reply := l.Resolve(k, at(3)); o != Answered || reply != "yes" {
		t.Errorf("%v, %q, want the reply", o, reply)
	}
	if !l.Admit(Key{"h1", 8}, at(Retention)) || len(l.entries) != 1 {
		t.Errorf("%d entries after Retention, want 1", len(l.entries))
	}
}

// A sender asks for the outcome of a request that is still in transit, and is told that it has not run. If it
// ran on arrival, the retry of the sender would execute it twice.
func TestResolvedRequestIsNotAdmitted(t *testing.T) {
	var l Log[int]
	k, now := Key{"h1", 7}, time.Unix(0, 0)
	for range 2 {
		if o, _ := l.Resolve(k, now); o != NotReceived {
			t.Errorf("%v, want NotReceived", o)
		}
	}
	if l.Admit(k, now) {
		t.Error("a request was admitted after its sender was told that it has not run")
	}
	l.Complete(Key{"h2", 1}, 1) // not in the log: no effect
}

// Guards against a request that runs although its sender was told that it has not: it was held up on a connection that was
// cut off, for longer than received requests are kept.
func TestRejectedRequestIsNotAdmittedLate(t *testing.T) {
	var l Log[int]
	k, now := Key{"h1", 7}, time.Unix(0, 0)
	l.Resolve(k, now)
	for serial := range uint64(100) {
		l.Admit(Key{"h2", serial}, now.Add(Retention))
	}
	if l.Admit(k, now.Add(2*Retention)) {
		t.Error("a request was admitted after its sender was told that it has not run")
	}
}

// Guards against a write that runs twice: the log has dropped a request that is still running, and its sender takes the
// answer for a proof that it has not run.
func TestDroppedRequestIsNotTakenForUnsent(t *testing.T) {
	var l Log[int]
	k, sent := Key{"h1", 7}, time.Unix(0, 0)
	arrived := sent.Add(time.Millisecond)
	l.Admit(k, arrived)
	for at := arrived; at.Before(arrived.Add(3 * Retention)); at = at.Add(Retention / 16) {
		l.Admit(Key{"h2", uint64(at.UnixNano())}, at)
		o, _ := l.Resolve(k, at)
		if o == NotReceived && ProvesNotRun(sent, at.Add(time.Millisecond)) {
			t.Fatalf("%s after it was sent, a request that is running counts as not run", at.Sub(sent))
		}
	}
}

// Rejected requests must not take up memory without bound.
func TestRejectedRequestsAreBounded(t *testing.T) {
	var l Log[int]
	for serial := range uint64(2 * maxRejected) {
		l.Resolve(Key{"h1", serial}, time.Unix(0, 0))
	}
	if n := len(l.entries); n != maxRejected {
		t.Errorf("%d rejected requests are kept, want %d", n, maxRejected)
	}
}
