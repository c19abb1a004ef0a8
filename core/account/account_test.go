package account

import (
	"fmt"
	"math"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
)

func TestDirectoryFindsAccountByKey(t *testing.T) {
	d, err := NewDirectory([]Account{
		{Name: "bakery", KeyFingerprints: []Fingerprint{FingerprintOf("k1"), FingerprintOf("k2")}, Quota: Quota{Rate: 5, Burst: 5}},
		{Name: "canteen", KeyFingerprints: []Fingerprint{FingerprintOf("k3")}},
		{Name: "closed"},
	})
	if err != nil {
		t.Fatal(err)
	}
	for key, want := range map[string]string{"k1": "bakery", "k2": "bakery", "k3": "canteen", "k4": "", "": ""} {
		got := ""
		if a := d.AccountForKey(FingerprintOf(key)); a != nil {
			got = a.Name
		}
		if got != want {
			t.Errorf("key %q belongs to %q, want %q", key, got, want)
		}
	}
	if d.Account("closed") == nil || d.Account("nobody") != nil || d.Len() != 3 {
		t.Errorf("%d accounts: %v", d.Len(), d.Names())
	}
}

// Keys whose fingerprints share the first bytes are distinguished by the rest.
func TestDirectoryComparesWholeFingerprints(t *testing.T) {
	a, b := FingerprintOf("k"), FingerprintOf("k")
	b[len(b)-1] ^= 1
	d, err := NewDirectory([]Account{{Name: "a", KeyFingerprints: []Fingerprint{a}}})
	if err != nil {
		t.Fatal(err)
	}
	if d.AccountForKey(b) != nil || d.AccountForKey(a) == nil {
		t.Error("the account was not found by the whole fingerprint")
	}
}

func TestAllFieldErrorsAreReported(t *testing.T) {
	same := FingerprintOf("same")
	_, err := NewDirectory([]Account{
		{Name: "", Quota: Quota{Rate: -1, Burst: 1}},
		{Name: "a b", Quota: Quota{Rate: math.Inf(1), Burst: 1}},
		{Name: "twice", KeyFingerprints: []Fingerprint{same, same}, Quota: Quota{Rate: 5}},
		{Name: "twice", KeyFingerprints: []Fingerprint{same}, Quota: Quota{Burst: 3}},
		{Name: strings.Repeat("n", maxNameLen+1), Priority: -1, Quota: Quota{Rate: 1, Burst: 2 * maxRate}},
		{Name: "fine", KeyFingerprints: []Fingerprint{FingerprintOf("other")}, Priority: 1, Quota: Quota{Rate: 1, Burst: 1}},
	})
	if err == nil {
		t.Fatal("no error")
	}
	goldie.New(t).Assert(t, "mistakes", []byte(err.Error()+"\n"))
}

func TestFingerprintHex(t *testing.T) {
	f := FingerprintOf("k")
	if got, err := ParseFingerprint(f.Hex()); err != nil || got != f {
		t.Errorf("%v, %v", got, err)
	}
	for _, text := range []string{"", "secret", strings.Repeat("g", 64)} {
		_, err := ParseFingerprint(text)
		if err == nil || text != "" && strings.Contains(err.Error(), text) {
			t.Errorf("%q: %v", text, err)
		}
	}
	if text := fmt.Sprint(f, []Fingerprint{f}); strings.Contains(text, f.Hex()[:8]) {
		t.Errorf("printed as %s", text)
	}
}

func BenchmarkAccountForKey(b *testing.B) {
	for _, n := range []int{100, 10_000} {
		accounts := make([]Account, n)
		for i := range accounts {
			accounts[i] = Account{Name: fmt.Sprint("a", i), KeyFingerprints: []Fingerprint{FingerprintOf(fmt.Sprint("k", i))}}
		}
		d, err := NewDirectory(accounts)
		if err != nil {
			b.Fatal(err)
		}
		key := FingerprintOf("k7")
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				d.AccountForKey(key)
			}
		})
	}
}
