package config

import (
	"strings"
	"testing"
)

// Guards against a process that ends because of a document that is nested deeply, refers to itself or holds numbers that no
// integer holds.
func TestOddDocuments(t *testing.T) {
	valid := string(readTestdata(t, "valid.yaml"))
	const depth = 200_000
	for name, text := range map[string]string{
		"nested lists":     "groups: " + strings.Repeat("[", depth) + strings.Repeat("]", depth),
		"nested mappings":  "groups: " + strings.Repeat("{a: ", depth) + strings.Repeat("}", depth),
		"nested blocks":    "groups:\n" + strings.Repeat("- ", depth) + "a",
		"unended lists":    strings.Repeat("[", depth),
		"alias of itself":  "groups: &a [*a]",
		"many aliases":     "a: &a [x, x]\nb: &b [*a, *a]\nc: &c [*b, *b]\ngroups: [*c, *c]",
		"merged itself":    "groups: &a {<<: *a}",
		"large number":     strings.Replace(valid, "slots: ", "slots: 99999999999999999999", 1),
		"no finite number": strings.Replace(valid, "slots: ", "slots: 1e400 #", 1),
		"long number":      strings.Replace(valid, "slots: ", "slots: 1"+strings.Repeat("0", 1<<20), 1),
		"invalid UTF-8":    "groups: \xff\xfe",
	} {
		doc, err := Parse([]byte(text))
		if err == nil {
			t.Errorf("%s: read as %+v", name, doc)
		} else if n := len(err.Error()); n > 4<<10 {
			t.Errorf("%s: an error of %d bytes: %.200s", name, n, err)
		}
	}
}
