package soak

import (
	"flag"
	"os"
	"path/filepath"
	"reflect"
	"testing"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// A saved plan must parse to the same plan, so that a run can be repeated from its file.
func TestPlanRoundTrip(t *testing.T) {
	o := DefaultOptions()
	o.Site.Hosts, o.Site.ChecksTokens, o.Site.RepeatedAnswers, o.Callers, o.UnusualTexts = 9, false, 0.25, 3, 0
	p := &Plan{Options: o, Seed: 7, Faults: Schedule(7, o.Faults)}
	got, err := ParsePlan([]byte(p.Format()))
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(got, p) {
		t.Errorf("%+v, want %+v", got, p)
	}
}

// Parsing reports all mistakes of a site file at once, each with its line, field and reason.
func TestMistakesInSiteFiles(t *testing.T) {
	files, err := filepath.Glob("testdata/*.yaml")
	if err != nil || len(files) == 0 {
		t.Fatalf("%d files, %v", len(files), err)
	}
	for _, file := range files {
		_, err := LoadPlan(file)
		got := "none\n"
		if err != nil {
			got = err.Error() + "\n"
		}
		golden := file[:len(file)-len(".yaml")] + ".golden"
		if *update {
			if err := os.WriteFile(golden, []byte(got), 0o600); err != nil {
				t.Fatal(err)
			}
		}
		want, err := os.ReadFile(golden)
		if err != nil || got != string(want) {
			t.Errorf("%s:\n%swant\n%s", file, got, want)
		}
	}
}
