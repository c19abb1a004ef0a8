package capacity

import (
	"encoding/json"
	"math"
	"os"
	"testing"

	"github.com/sebdah/goldie/v2"
)

func TestFit(t *testing.T) {
	for _, c := range []struct {
		points     []Point
		base, step float64
		spread     float64
	}{
		{nil, 0, 0, 0},
		{[]Point{{10, 50}}, 0, 5, 0},
		{[]Point{{1, 12}, {2, 14}, {4, 18}}, 10, 2, 0},
		{[]Point{{0, 0}, {1, 2}, {2, 1}}, 0.5, 0.5, 0.5},
	} {
		f := Series{Points: c.points}.Fit()
		if math.Abs(f.Intercept-c.base) > 1e-9 || math.Abs(f.Slope-c.step) > 1e-9 || math.Abs(f.MaxDeviation-c.spread) > 1e-9 {
			t.Errorf("Fit(%v) = %+v, want base %g, step %g, spread %g", c.points, f, c.base, c.step, c.spread)
		}
	}
}

func TestTable(t *testing.T) {
	text, err := os.ReadFile("testdata/slopes.json")
	if err != nil {
		t.Fatal(err)
	}
	var slopes []Series
	if err := json.Unmarshal(text, &slopes); err != nil {
		t.Fatal(err)
	}
	got := Markdown(Compute(PlannedFleet(), slopes), slopes)
	goldie.New(t).Assert(t, "table", []byte(got))
}
