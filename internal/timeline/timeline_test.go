package timeline

import (
	"os"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
)

// The lines are out of order between hosts, one host starts again without having stopped, and some lines are no log lines.
func TestSummary(t *testing.T) {
	f, err := os.Open("testdata/hosts.log")
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	var lines []Line
	skipped, err := Read(f, func(l Line) { lines = append(lines, l) })
	if err != nil {
		t.Fatal(err)
	}
	if skipped != 4 {
		t.Errorf("%d lines skipped, want 4", skipped)
	}
	goldie.New(t).Assert(t, "summary", []byte(Format(Summarize(lines, time.Second))))
}
