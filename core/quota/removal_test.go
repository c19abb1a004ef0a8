package quota

import (
	"encoding/json"
	"flag"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

var removals = flag.Bool("removals", false, "take each safeguard out of the package in turn, and look whether the worlds find it")

// Each rule that keeps accounts within their quotas is taken out of the package itself. The worlds, or a test of
// the rule, must find the loss: a rule that nothing misses is none.
func TestRemovalsAreDetected(t *testing.T) {
	if !*removals {
		t.Skip("takes minutes: go test ./core/quota -run Removals -removals")
	}
	for _, c := range []struct{ name, file, from, to string }{
		{"hosts take nothing from earlier granters", "ledger.go", "in.Token < l.first || in.Token > l.token ||", ""},
		{"only the last answer is taken", "wallet.go", "!w.waiting || id != w.asked || token != w.token", "false"},
		{"late answers are not taken", "wallet.go", "|| now.Sub(w.askedAt) > AnswerWithin {", "{"},
		{"late questions are not answered", "ledger.go", "in.ID <= h.asked ||", ""},
		{"what silent hosts hold counts", "ledger.go", "return !now.Before(l.knownAt())", "return true"},
		{"who has told a later granter gives no more", "shard.go", "s.ledger = nil", "_ = 0"},
		{"a granter that does not know what hosts hold moves nothing", "book.go", "if !v.known {\n\t\treturn p.held", "if false {\n\t\treturn p.held"},
		{"portions end with the granter's time", "ledger.go", "lasts := min(Lifetime, l.until.Sub(now))", "lasts := Lifetime"},
		{"portions end", "bucket.go", "if !now.Before(b.until) {", "if false {"},
		{"a portion counts until the host is known to have a smaller one", "book.go", "return max(p.held.Rate, p.offered.Rate)", "return p.offered.Rate"},
		{"what may gather with hosts is not in store", "book.go", "b.quota.Burst-b.sums.gathered)", "b.quota.Burst)"},
		{"a granter begins with next to nothing", "ledger.go", "supply: l.terms.beginning()", "supply: q.Burst"},
		{"a host's new portion begins empty", "bucket.go", "b.tokens = min(g.Cap, b.tokens+g.Ahead)", "b.tokens = g.Cap"},
		{"a process that has not told gets nothing", "ledger.go", "h.silent || h.process != process ||", ""},
		{"portions of hosts that are not heard of count on", "book.go", "if !now.Before(p.until) {", "if p != nil {"},
		{"what was told ends as its granter meant it to", "ledger.go", "if v.known || p.until.IsZero() {", "if true {"},
		{"one granter at a time hands out what comes meanwhile", "book.go", "case !v.known && v.certain:", "case !v.known:"},
		{"tokens do not gather beyond the portion", "bucket.go", "b.tokens = min(b.portion.Cap, b.tokens)\n\tb.at", "b.at"},
		{"a portion is counted as awake before it wakes", "bucket.go", "now.Sub(later(b.at, wakes))", "now.Sub(b.at)"},
		{"a portion sleeps only once the host is known to know", "ledger.go", "if in.Heard == h.asked && h.answered {", "if h.answered {"},
		{"a portion sleeps for as long as the host counts on, and no longer", "ledger.go", "h.answeredAt.Add(chargedAfter)", "now.Add(chargedAfter)"},
		{"what may gather with a host that is awake is not in store", "book.go", "s.gathered += sign * p.cap()", "s.gathered += sign * p.stock"},
		{"portions that wake count", "book.go", "return max(0, b.quota.Rate-b.sums.awake)", "return b.quota.Rate"},
	} {
		t.Run(c.name, func(t *testing.T) {
			out, err := testWithReplacement(t, c.file, c.from, c.to)
			switch {
			case err == nil:
				t.Error("nothing misses it")
			case strings.Contains(out, "build failed"):
				t.Errorf("it does not build: %.400s", out)
			case strings.Contains(out, "operations began within"):
				t.Log("the worlds miss it")
			default:
				t.Log("a test of its own misses it")
			}
		})
	}
}

// testWithReplacement plays the worlds with one piece of a file replaced.
func testWithReplacement(t *testing.T, file, from, to string) (string, error) {
	t.Helper()
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if strings.Count(string(text), from) != 1 {
		t.Fatalf("%s holds %q %d times", file, from, strings.Count(string(text), from))
	}
	folder := t.TempDir()
	changed := filepath.Join(folder, file)
	if err := os.WriteFile(changed, []byte(strings.Replace(string(text), from, to, 1)), 0o600); err != nil {
		t.Fatal(err)
	}
	here, err := filepath.Abs(file)
	if err != nil {
		t.Fatal(err)
	}
	overlay, err := json.Marshal(map[string]map[string]string{"Replace": {here: changed}})
	if err != nil {
		t.Fatal(err)
	}
	list := filepath.Join(folder, "overlay.json")
	if err := os.WriteFile(list, overlay, 0o600); err != nil {
		t.Fatal(err)
	}
	out, err := exec.Command("go", "test", "-overlay", list, "-seeds", "300", ".").CombinedOutput()
	return string(out), err
}
