package group

import (
	"testing"
	"time"
)

func TestLSNText(t *testing.T) {
	for _, text := range []string{"0/0", "0/1000000", "16/B374D848", "FFFFFFFF/FFFFFFFF"} {
		l, err := ParseLSN(text)
		if err != nil {
			t.Fatalf("ParseLSN(%q): %v", text, err)
		}
		if got := l.String(); got != text {
			t.Errorf("ParseLSN(%q).String() = %q", text, got)
		}
	}
	for _, text := range []string{"5", "x/1", "1/", "100000000/0"} {
		if _, err := ParseLSN(text); err == nil {
			t.Errorf("ParseLSN(%q) succeeded", text)
		}
	}
}

// sample returns an answer that was asked at the given millisecond.
func sample(ms int, s Status) Sample {
	at := time.UnixMilli(int64(ms))
	return Sample{Status: s, SentAt: at, ReceivedAt: at.Add(time.Millisecond)}
}

func primaryStatus(term Term, end LSN) Status {
	return Status{Fence: Fence{Term: term}, LogTerm: term, Timeline: uint32(term + 1), Received: end, Replayed: end}
}

func replicaStatus(term Term, end LSN) Status {
	s := primaryStatus(term, end)
	s.InRecovery, s.Streaming = true, true
	return s
}

// A caller sees an acknowledged write vanish: the old primary comes back from a
// partition still out of recovery and, were it believed, would take writes that
// no replica receives. It stores an older fence, which gives it away.
func TestFindPrimaryIgnoresReplacedPrimary(t *testing.T) {
	old, promoted := sample(2, primaryStatus(3, 900)), sample(1, primaryStatus(4, 800))
	got := FindPrimary([]Sample{old, promoted, sample(1, replicaStatus(4, 800))})
	if got != (Led{Primary: 1, Term: 4}) {
		t.Errorf("Assess = %v, want member 1 in term 4", got)
	}
}

// During a planned promotion the leaving primary has accepted the new term's
// fence and is still out of recovery. It has no record of the term, so it must
// not count as the term's primary.
func TestFindPrimaryIgnoresFencedPrimary(t *testing.T) {
	leaving := primaryStatus(3, 900)
	leaving.Fence.Term = 4
	got := FindPrimary([]Sample{sample(1, leaving), sample(1, replicaStatus(4, 900))})
	if got != (Leaderless{Highest: 4}) {
		t.Errorf("Assess = %v, want none in term 4", got)
	}
}

// A caller's write is acknowledged although only the primary holds it: the
// replica's log is longer, but its tail is of an older term, which the primary
// never wrote.
func TestConfirmIgnoresTailOfOlderTerm(t *testing.T) {
	diverged := replicaStatus(3, 5000)
	diverged.Fence.Term = 4
	samples := []Sample{sample(5, primaryStatus(4, 1000)), sample(5, diverged), {}}
	if c, ok := Confirm(samples, 0, time.Time{}); ok {
		t.Errorf("Confirm = %v, want nothing confirmed", c)
	}
	samples[2] = sample(5, replicaStatus(4, 990))
	c, ok := Confirm(samples, 0, time.Time{})
	if !ok || c.LSN != 990 {
		t.Errorf("Confirm = %v, %v, want 990", c, ok)
	}
}

func TestConfirmIgnoresEarlierSamples(t *testing.T) {
	samples := []Sample{sample(10, primaryStatus(1, 100)), sample(9, replicaStatus(1, 100)), sample(4, replicaStatus(1, 100))}
	if _, ok := Confirm(samples, 0, time.UnixMilli(10)); ok {
		t.Error("confirmed by an answer to an earlier question")
	}
	c, ok := Confirm(samples, 0, time.UnixMilli(9))
	if !ok || !c.AsOf.Equal(time.UnixMilli(9)) {
		t.Errorf("Confirm = %v, %v, want the moment 9", c, ok)
	}
}

func TestFenceAccepts(t *testing.T) {
	held := Fence{Term: 5, Host: "a"}
	for _, c := range []struct {
		next Fence
		want bool
	}{
		{Fence{4, "a"}, false}, {Fence{5, "a"}, true}, {Fence{5, "b"}, false}, {Fence{6, "b"}, true},
	} {
		if got := held.Accepts(c.next); got != c.want {
			t.Errorf("Accepts(%v) = %v, want %v", c.next, got, c.want)
		}
	}
}

func TestCandidate(t *testing.T) {
	none := func(int) bool { return false }
	if _, ok := Candidate([]FenceAck{{Member: 1}}, 3, none); ok {
		t.Error("a candidate without a majority")
	}
	fenced := []FenceAck{{Member: 0, LogTerm: 2, Received: 900}, {Member: 2, LogTerm: 3, Received: 100}}
	if best, ok := Candidate(fenced, 3, none); !ok || best.Member != 2 {
		t.Errorf("Candidate = %v, want the later term's log", best)
	}
	equal := []FenceAck{{Member: 0, Received: 9}, {Member: 1, Received: 9}}
	if best, _ := Candidate(equal, 3, func(i int) bool { return i == 0 }); best.Member != 1 {
		t.Errorf("Candidate = %v, want the member that is not barred", best)
	}
	longer := []FenceAck{{Member: 0, Received: 10}, {Member: 1, Received: 9}}
	if best, _ := Candidate(longer, 3, func(i int) bool { return i == 0 }); best.Member != 0 {
		t.Errorf("Candidate = %v: a barred member with more must not be passed over", best)
	}
}
