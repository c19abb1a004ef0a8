// Package yamlmap reads YAML mappings field by field. It collects all mistakes with their lines and paths, and
// reports unknown fields.
package yamlmap

import (
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"
)

// Mistake is an error in a document.
type Mistake struct {
	// Line is its line number, starting at 1, or 0 if it has none.
	Line int
	// Field is the path of the field, such as "groups[0].slots".
	Field string
	// Reason describes the mistake.
	Reason string
}

// String returns "line N: field: reason".
func (m Mistake) String() string {
	var b strings.Builder
	if m.Line > 0 {
		fmt.Fprintf(&b, "line %d: ", m.Line)
	}
	if m.Field != "" {
		b.WriteString(m.Field + ": ")
	}
	b.WriteString(m.Reason)
	return b.String()
}

// Mistakes is a list of mistakes. It implements error.
type Mistakes []Mistake

// Error returns the mistakes, one per line.
func (m Mistakes) Error() string {
	lines := make([]string, len(m))
	for i, mistake := range m {
		lines[i] = mistake.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns the mistakes sorted by line and without adjacent duplicates, or nil if the list is empty.
func (m Mistakes) Err() error {
	if len(m) == 0 {
		return nil
	}
	sorted := slices.Clone(m)
	slices.SortStableFunc(sorted, func(a, b Mistake) int { return a.Line - b.Line })
	return slices.Compact(sorted)
}

// Map is a YAML mapping. Its methods record mistakes and continue. It is not safe for concurrent use.
type Map struct {
	path     string
	line     int
	fields   map[string]*yaml.Node
	names    []string
	seen     map[string]bool
	mistakes *Mistakes
	// invalid is true if the node is not a mapping. The mistake is already recorded.
	invalid bool
}

// maxDepth bounds the nesting of a document. The project's documents nest four levels deep.
const maxDepth = 32

// Parse parses a document whose top level is a mapping. It appends mistakes to out. The result is never nil.
func Parse(text []byte, out *Mistakes) *Map {
	var doc yaml.Node
	if err := yaml.Unmarshal(text, &doc); err != nil {
		*out = append(*out, Mistake{Reason: strings.TrimPrefix(err.Error(), "yaml: ")})
		return newMap("", nil, out)
	}
	if len(doc.Content) == 0 {
		*out = append(*out, Mistake{Line: 1, Reason: "the document is empty"})
		return newMap("", nil, out)
	}
	if hasAlias(doc.Content[0], 0) {
		*out = append(*out, Mistake{Line: 1, Reason: "aliases, and nesting deeper than 32, are not supported"})
		return newMap("", nil, out)
	}
	return newMap("", doc.Content[0], out)
}

// hasAlias reports whether the node contains an alias, which could expand a small document to a huge one, or is
// nested too deeply.
func hasAlias(n *yaml.Node, depth int) bool {
	if n.Kind == yaml.AliasNode || depth > maxDepth {
		return true
	}
	for _, c := range n.Content {
		if hasAlias(c, depth+1) {
			return true
		}
	}
	return false
}

func newMap(path string, n *yaml.Node, out *Mistakes) *Map {
	m := &Map{path: path, fields: map[string]*yaml.Node{}, seen: map[string]bool{}, mistakes: out}
	if n == nil {
		return m
	}
	m.line = n.Line
	if n.Kind != yaml.MappingNode {
		m.invalid = true
		m.add(n.Line, "", "must be a mapping of fields")
		return m
	}
	for i := 0; i+1 < len(n.Content); i += 2 {
		name := n.Content[i].Value
		if m.fields[name] != nil {
			m.add(n.Content[i].Line, name, "is set twice")
			continue
		}
		m.fields[name] = n.Content[i+1]
		m.names = append(m.names, name)
	}
	return m
}

func (m *Map) add(line int, field, reason string) {
	*m.mistakes = append(*m.mistakes, Mistake{Line: line, Field: m.join(field), Reason: reason})
}

func (m *Map) join(field string) string {
	switch {
	case m.path == "":
		return field
	case field == "":
		return m.path
	}
	return m.path + "." + field
}

// Path returns the path of a field of m.
func (m *Map) Path(field string) string { return m.join(field) }

// Line returns the line of a field of m, or the line of m if the field is not set.
func (m *Map) Line(field string) int {
	if n := m.fields[field]; n != nil {
		return n.Line
	}
	return m.line
}

// AddMistake records a mistake at a field, with a reason formatted as by fmt.Sprintf.
func (m *Map) AddMistake(field, format string, args ...any) {
	m.add(m.Line(field), field, fmt.Sprintf(format, args...))
}

// Has reports whether the field is set.
func (m *Map) Has(field string) bool { return m.fields[field] != nil }

// RejectUnknown records a mistake for each field that has not been read.
func (m *Map) RejectUnknown() {
	for _, name := range m.names {
		if !m.seen[name] {
			m.AddMistake(name, "is not a known field")
		}
	}
}

// scalar returns the text of a field, and whether it is set to a scalar. It marks the field as read.
func (m *Map) scalar(field string) (string, bool) {
	m.seen[field] = true
	n := m.fields[field]
	if n == nil {
		return "", false
	}
	if n.Kind != yaml.ScalarNode {
		m.AddMistake(field, "must be a single value")
		return "", false
	}
	return n.Value, true
}

// String returns the text of a field, or the empty string if it is not set. It records a mistake if a required field
// is empty or not set.
func (m *Map) String(field string, required bool) string {
	v, ok := m.scalar(field)
	if required && !m.invalid && v == "" && (ok || !m.Has(field)) {
		m.AddMistake(field, "is required")
	}
	return v
}

// Int returns the integer value of a field, or missing if it is not set or invalid.
func (m *Map) Int(field string, missing int) int {
	v, ok := m.scalar(field)
	if !ok {
		return missing
	}
	n, err := strconv.Atoi(v)
	if err != nil {
		m.AddMistake(field, "%.64q is not a whole number", v)
		return missing
	}
	return n
}

// Float returns the value of a field between 0 and limit, or zero if it is not set or invalid.
func (m *Map) Float(field string, limit float64) float64 {
	v, ok := m.scalar(field)
	if !ok {
		return 0
	}
	x, err := strconv.ParseFloat(v, 64)
	if err != nil || !(x >= 0 && x <= limit) {
		m.AddMistake(field, "%.64q is not a number between 0 and %v", v, limit)
		return 0
	}
	return x
}

// Bool returns the value of a field, or false if it is not set or invalid.
func (m *Map) Bool(field string) bool {
	v, ok := m.scalar(field)
	if !ok {
		return false
	}
	b, err := strconv.ParseBool(v)
	if err != nil {
		m.AddMistake(field, "%.64q is neither true nor false", v)
	}
	return b
}

// Duration returns the value of a field, or missing if it is not set or invalid. Durations must be positive.
func (m *Map) Duration(field string, missing time.Duration) time.Duration {
	v, ok := m.scalar(field)
	if !ok {
		return missing
	}
	d, err := time.ParseDuration(v)
	if err != nil {
		m.AddMistake(field, "%.64q is not a duration such as 500ms or 2s", v)
		return missing
	}
	if d <= 0 {
		m.AddMistake(field, "must be positive")
		return missing
	}
	return d
}

// AddrPort returns the value of a required field of the form IP:PORT.
func (m *Map) AddrPort(field string) netip.AddrPort {
	return m.parseAddrPort(field, m.String(field, true))
}

// OptionalAddrPort returns the value of a field of the form IP:PORT, or the zero value if it is empty or not set.
func (m *Map) OptionalAddrPort(field string) netip.AddrPort {
	return m.parseAddrPort(field, m.String(field, false))
}

// AddrPorts returns the valid addresses of a field that is a list of the form IP:PORT.
func (m *Map) AddrPorts(field string) []netip.AddrPort {
	var out []netip.AddrPort
	for _, v := range m.Strings(field) {
		if addr := m.parseAddrPort(field, v); addr.IsValid() {
			out = append(out, addr)
		}
	}
	return out
}

func (m *Map) parseAddrPort(field, v string) netip.AddrPort {
	if v == "" {
		return netip.AddrPort{}
	}
	addr, err := netip.ParseAddrPort(v)
	if err != nil {
		m.AddMistake(field, "%.64q is not of the form IP:PORT", v)
	}
	return addr
}

// Enum returns the value whose String is the text of the field, or missing if the field is not set or matches none.
func Enum[E fmt.Stringer](m *Map, field string, missing E, values ...E) E {
	v, ok := m.scalar(field)
	if !ok {
		return missing
	}
	names := make([]string, len(values))
	for i, e := range values {
		if names[i] = e.String(); names[i] == v {
			return e
		}
	}
	m.AddMistake(field, "%.64q is none of %s", v, strings.Join(names, ", "))
	return missing
}

// Map returns a field that is a mapping. The result is an empty Map if the field is not set.
func (m *Map) Map(field string) *Map {
	m.seen[field] = true
	return newMap(m.join(field), m.fields[field], m.mistakes)
}

// List returns the elements of a field that is a list of mappings.
func (m *Map) List(field string) []*Map {
	m.seen[field] = true
	n := m.fields[field]
	if n == nil {
		return nil
	}
	if n.Kind != yaml.SequenceNode {
		m.AddMistake(field, "must be a list")
		return nil
	}
	out := make([]*Map, len(n.Content))
	for i, c := range n.Content {
		out[i] = newMap(fmt.Sprintf("%s[%d]", m.join(field), i), c, m.mistakes)
	}
	return out
}

// Strings returns the elements of a field that is a list of scalars.
func (m *Map) Strings(field string) []string {
	m.seen[field] = true
	n := m.fields[field]
	if n == nil || n.Tag == "!!null" {
		return nil
	}
	if n.Kind != yaml.SequenceNode {
		m.AddMistake(field, "must be a list")
		return nil
	}
	var out []string
	for _, c := range n.Content {
		if c.Kind != yaml.ScalarNode {
			m.AddMistake(field, "must be a list of single values")
			return nil
		}
		out = append(out, c.Value)
	}
	return out
}

// Names returns the names of the fields of m in document order, and marks all fields as read.
func (m *Map) Names() []string {
	for _, name := range m.names {
		m.seen[name] = true
	}
	return m.names
}
