package share

import "testing"

// Guards against a setting with which hosts beside this one would exceed quotas.
func TestParse(t *testing.T) {
	for text, want := range map[string]Portions{"0.6": 0.6, "0.75": 0.75, "0.95": 0.95, "0": 0, "0.59": 0, "0.951": 0, "-0.6": 0, "Inf": 0, "NaN": 0, "": 0, "most": 0} {
		if p, err := Parse(text); p != want || (err == nil) != (want > 0) {
			t.Errorf("%q: %v, %v", text, p, err)
		}
	}
	if f := Portions(0).Fraction(); f != 0.6 {
		t.Errorf("the default is %v", f)
	}
}
