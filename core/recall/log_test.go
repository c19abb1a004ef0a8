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
		t.Error("a request is admitted once")
	}
	if o, _ := l.Resolve(k, at(2)); o != Running {
		t.Errorf("%v, want Running", o)
	}
	l.Complete(k, "yes")
	if o, reply := l.Resolve(k, at(3)); o != Answered || reply != "yes" {
		t.Errorf("%v, %q, want the answer", o, reply)
	}
	if !l.Admit(Key{"h1", 8}, at(Retention)) || len(l.entries) != 1 {
		t.Errorf("%d requests are kept after their time", len(l.entries))
	}
}

// A sender asks about a request that is still under way to the host, and is told that it has not run. If it ran when it
// arrives, what the sender does next would do it twice.
func TestResolvedRequestIsNotAdmitted(t *testing.T) {
	var l Log[int]
	k, now := Key{"h1", 7}, time.Unix(0, 0)
	for range 2 {
		if o, _ := l.Resolve(k, now); o != NotReceived {
			t.Errorf("%v, want Unknown", o)
		}
	}
	if l.Admit(k, now) {
		t.Error("it may run though its sender was told that it has not")
	}
	l.Complete(Key{"h2", 1}, 1) // nobody sent it: nothing happens
}
