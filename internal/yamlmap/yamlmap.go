// Package yamlmap reads YAML mappings by hand: it hands out one field after
// another, collects every mistake with its line and path, and reports fields
// that nobody asked for.
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

// Mistake is one thing wrong with a document.
type Mistake struct {
	// Line is where it stands, from 1, or 0 when it stands nowhere.
	Line int
	// Field is the path of the field, such as "groups[0].slots".
	Field string
	// Reason says what is wrong.
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

// Mistakes is a list of mistakes as an error.
type Mistakes []Mistake

// Error implements error, with a line for each mistake.
func (m Mistakes) Error() string {
	lines := make([]string, len(m))
	for i, each := range m {
		lines[i] = each.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns the mistakes in order of their lines, each once, or nil for an
// empty list.
func (m Mistakes) Err() error {
	if len(m) == 0 {
		return nil
	}
	sorted := slices.Clone(m)
	slices.SortStableFunc(sorted, func(a, b Mistake) int { return a.Line - b.Line })
	return slices.Compact(sorted)
}

// Map is a mapping that is being read. Its methods record mistakes and go on.
type Map struct {
	path     string
	line     int
	fields   map[string]*yaml.Node
	names    []string
	seen     map[string]bool
	mistakes *Mistakes
	// invalid is true when there is no mapping to read, which was recorded.
	invalid bool
}

// maxDepth bounds the nesting of a document. Ours nest four deep.
const maxDepth = 32

// Parse reads the top of a document. Mistakes are added to out.
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

// hasAlias reports whether the node holds an alias, which could make a small
// document stand for a huge one, or nests too deep.
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

// Line returns the line of a field of m, or that of m itself.
func (m *Map) Line(field string) int {
	if n := m.fields[field]; n != nil {
		return n.Line
	}
	return m.line
}

// AddMistake records a mistake at a field.
func (m *Map) AddMistake(field, format string, args ...any) {
	m.add(m.Line(field), field, fmt.Sprintf(format, args...))
}

// Has reports whether the field is set.
func (m *Map) Has(field string) bool { return m.fields[field] != nil }

// RejectUnknown records every field that was not asked for.
func (m *Map) RejectUnknown() {
	for _, name := range m.names {
		if !m.seen[name] {
			m.AddMistake(name, "is not a known field")
		}
	}
}

// scalar returns the text of a field.
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

// String returns a field, or the empty string. A required field must be set.
func (m *Map) String(field string, required bool) string {
	v, ok := m.scalar(field)
	if required && !m.invalid && v == "" && (ok || !m.Has(field)) {
		m.AddMistake(field, "is required")
	}
	return v
}

// Int returns a field, or missing when it is not set.
func (m *Map) Int(field string, missing int) int {
	v, ok := m.scalar(field)
	if !ok {
		return missing
	}
	n, err := strconv.Atoi(v)
	if err != nil {
		m.AddMistake(field, "%q is not a whole number", v)
		return missing
	}
	return n
}

// Float returns a field between 0 and the most allowed, or zero.
func (m *Map) Float(field string, most float64) float64 {
	v, ok := m.scalar(field)
	if !ok {
		return 0
	}
	x, err := strconv.ParseFloat(v, 64)
	if err != nil || !(x >= 0 && x <= most) {
		m.AddMistake(field, "%q is not a number between 0 and %v", v, most)
		return 0
	}
	return x
}

// Bool returns a field, or false.
func (m *Map) Bool(field string) bool {
	v, ok := m.scalar(field)
	if !ok {
		return false
	}
	b, err := strconv.ParseBool(v)
	if err != nil {
		m.AddMistake(field, "%q is neither true nor false", v)
	}
	return b
}

// Duration returns a field, or missing when it is not set. Durations must be
// positive.
func (m *Map) Duration(field string, missing time.Duration) time.Duration {
	v, ok := m.scalar(field)
	if !ok {
		return missing
	}
	d, err := time.ParseDuration(v)
	if err != nil {
		m.AddMistake(field, "%q is not a duration such as 500ms or 2s", v)
		return missing
	}
	if d <= 0 {
		m.AddMistake(field, "must be positive")
		return missing
	}
	return d
}

// AddrPort returns a required field of the form IP:PORT.
func (m *Map) AddrPort(field string) netip.AddrPort {
	return m.parseAddrPort(field, m.String(field, true))
}

// OptionalAddrPort returns a field of the form IP:PORT, or the zero value when it is
// not set or empty.
func (m *Map) OptionalAddrPort(field string) netip.AddrPort {
	return m.parseAddrPort(field, m.String(field, false))
}

// AddrPorts returns a field that is a list of addresses of the form IP:PORT.
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
		m.AddMistake(field, "%q is not of the form IP:PORT", v)
	}
	return addr
}

// Enum returns the value whose name the field holds, or missing when it is not
// set.
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
	m.AddMistake(field, "%q is none of %s", v, strings.Join(names, ", "))
	return missing
}

// Map returns a field that is a mapping, empty when it is not set.
func (m *Map) Map(field string) *Map {
	m.seen[field] = true
	return newMap(m.join(field), m.fields[field], m.mistakes)
}

// List returns a field that is a list of mappings.
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

// Strings returns a field that is a list of single values.
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

// Names returns the names of the fields of m, in order, and marks them as
// asked for.
func (m *Map) Names() []string {
	for _, name := range m.names {
		m.seen[name] = true
	}
	return m.names
}
