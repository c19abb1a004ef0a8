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

var removals = flag.Bool("removals", false, "remove each safeguard from the package in turn and check that a test fails")

// Removes each safeguard that keeps accounts within their quotas from the package's source. The simulations or a unit
// test must then fail, or the safeguard is untested or not needed.
func TestRemovalsAreDetected(t *testing.T) {
	if !*removals {
		t.Skip("takes minutes: go test ./core/quota -run Removals -removals")
	}
	for _, c := range []struct{ name, file, from, to string }{
		{"requests to earlier and later granters are rejected", "granter.go", "req.FencingToken < g.firstFencingToken || req.FencingToken > g.fencingToken ||", ""},
		{"only the last response is accepted", "limiter.go", "!l.pending || id != l.lastRequest || fencingToken != l.fencingToken", "false"},
		{"late responses are rejected", "limiter.go", "|| now.Sub(l.requestedAt) > ResponseTimeout {", "{"},
		{"late requests are rejected", "granter.go", "req.ID <= h.lastRequest ||", ""},
		{"unreported holdings count", "granter.go", "return !now.Before(g.holdingsKnownAt())", "return true"},
		{"a host that reports to a later granter stops granting", "shard.go", "s.granter = nil", "_ = 0"},
		{"portions are not moved while holdings are unknown", "token_pool.go", "if !known {\n\t\treturn p.held", "if false {\n\t\treturn p.held"},
		{"portions expire before the granter stops answering", "granter.go", "ttl := min(PortionTTL, g.endsAt.Sub(now))", "ttl := PortionTTL"},
		{"portions expire at the host", "bucket.go", "if !now.Before(b.expiresAt) {", "if false {"},
		{"a portion counts until the host is known to hold a smaller one", "token_pool.go", "return max(p.held.Rate, p.offered.Rate)", "return p.offered.Rate"},
		{"tokens that hosts may store are not in the pool", "token_pool.go", "maxTokens -= t.totals.stored", ""},
		{"a granter starts with few tokens", "granter.go", "initial := g.tolerance.InitialTokens()", "initial := q.Burst"},
		{"a new portion starts empty", "bucket.go", "b.tokens = min(g.Cap, b.tokens+g.Prefetched)", "b.tokens = g.Cap"},
		{"a process that has not reported gets nothing", "granter.go", "h.unreported || h.process != process ||", ""},
		{"portions of unreachable hosts still count", "token_pool.go", "if !now.Before(p.expiresAt) {", "if p != nil {"},
		{"a reported portion keeps its expiry", "granter.go", "if known || p.expiresAt.IsZero() {", "if true {"},
		{"only one granter at a time distributes new tokens", "token_pool.go", "if scope == scopeFollowers {\n\t\treturn max(0, t.totals.rate", "if false {\n\t\treturn max(0, t.totals.rate"},
		{"a host stores no more tokens than its portion allows", "bucket.go", "b.tokens = min(b.portion.Cap, b.tokens)\n\tb.updatedAt", "b.updatedAt"},
		{"a suspended portion yields no tokens", "bucket.go", "now.Sub(later(b.updatedAt, activeAt))", "now.Sub(b.updatedAt)"},
		{"a portion counts as suspended only once the host has confirmed it", "granter.go", "if req.LastAnswered == h.lastRequest && h.suspendSent {", "if h.suspendSent {"},
		{"a suspension ends no later than the host assumes", "granter.go", "h.suspendSentAt.Add(h.suspension)", "now.Add(h.suspension)"},
		{"tokens that a host with an active portion may store are not in the pool", "token_pool.go", "s.stored += sign * p.cap()", "s.stored += sign * p.tokens"},
		{"a holder gives only tokens that it takes from its bucket", "reserve.go", "g.Tokens < d.Waiting && a.bucket.take(now, l.activeAt)", "g.Tokens < d.Waiting"},
		{"a holder's reply is accepted once and in time", "reserve.go", "now, ResponseTimeout)\n\tif !ok {", "now, ResponseTimeout)\n\tif ok = true; !ok {"},
		{"reserves and other portions together are bounded", "token_pool.go", "t.share.Fraction()*t.quota.Rate-(t.totals.rate-p.rate())", "t.quota.Rate"},
		{"a reserve counts as active before it may yield tokens", "granter.go", "out.ActivateAfter, h.suspension = suspension(req.KeepaliveInterval)", "out.ActivateAfter, _ = suspension(req.KeepaliveInterval)\n\th.suspension = assumeActiveAfter"},
		{"active portions count", "token_pool.go", "t.quota.Rate-t.totals.activeRate-t.unreportedMax", "t.quota.Rate-t.unreportedMax"},
		{"unreported hosts may hold portions of the largest setting", "token_pool.go", "share.MaxPortions.Fraction(), share.OtherRate", "t.share.Fraction(), share.OtherRate"},
		{"a host that is not recorded gets no reserve", "granter.go", "req.Reserve = g.reserves.Request(id, req.Reserve, known, now)", ""},
		{"portions of hosts that are not recorded are limited", "token_pool.go", "if t.othersLimited {", "if false {"},
		{"holders are named once larger portions have expired", "holder/registry.go", "!now.Before(r.limitedSince.Add(r.ttl))", "true"},
		{"a host that is left out of the record gets no reserve", "holder/registry.go", "return !names[id]", "return false"},
		{"a host whose reserve may not have expired is recorded", "holder/registry.go", "if until.After(now) {", "if until.After(now) && false {"},
		{"reserves from earlier granters are recorded", "holder/registry.go", "r.allowed[id], r.until[id] = true, now.Add(ttl)", "r.allowed[id] = true"},
	} {
		t.Run(c.name, func(t *testing.T) {
			out, err := testWithReplacement(t, c.file, c.from, c.to)
			switch {
			case err == nil:
				t.Error("no test fails without it")
			case strings.Contains(out, "build failed"):
				t.Errorf("the changed package does not build: %.400s", out)
			case strings.Contains(out, "operations began within"):
				t.Log("a simulation fails without it")
			default:
				t.Log("a unit test fails without it")
			}
		})
	}
}

// testWithReplacement runs the package's tests with one fragment of a file replaced. It returns their output.
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
	if err := os.MkdirAll(filepath.Dir(changed), 0o700); err != nil {
		t.Fatal(err)
	}
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
