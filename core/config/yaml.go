package config

import (
	"fmt"
	"strings"
	"time"

	"pearlatch/core/freshness"
	"pearlatch/internal/yamlmap"
)

// Parse parses and validates a document. The error is a yamlmap.Mistakes with all
// mistakes found.
func Parse(text []byte) (*Document, error) {
	var mistakes yamlmap.Mistakes
	root := yamlmap.Parse(text, &mistakes)
	doc := &Document{}
	if v := root.Int("version", 0); len(mistakes) == 0 && v != SchemaVersion {
		root.AddMistake("version", "must be %d", SchemaVersion)
	}
	sections := sections{}
	for _, m := range root.List("groups") {
		sections.groups = append(sections.groups, m)
		doc.Groups = append(doc.Groups, parseGroup(m))
	}
	for _, m := range root.List("routes") {
		sections.routes = append(sections.routes, m)
		doc.Routes = append(doc.Routes, parseRoute(m))
	}
	root.RejectUnknown()
	if len(mistakes) == 0 || !sections.empty() {
		validate(doc, sections)
	}
	if err := mistakes.Err(); err != nil {
		return nil, err
	}
	return doc, nil
}

// sections holds the YAML mappings of the groups and routes of a document, so that validate
// can report mistakes at their lines.
type sections struct{ groups, routes []*yamlmap.Map }

func (s sections) empty() bool { return len(s.groups) == 0 && len(s.routes) == 0 }

func parseGroup(m *yamlmap.Map) Group {
	g := Group{
		Name:        m.String("name", true),
		Slots:       m.Int("slots", 1),
		Connections: m.Int("connections", 0),
		Database:    m.String("database", true),
		Credential:  m.String("credential", true),
		Timing:      parseTiming(m.Map("timing")),
	}
	for _, member := range m.List("members") {
		g.Members = append(g.Members, parseMember(member))
	}
	m.RejectUnknown()
	return g
}

func parseMember(m *yamlmap.Map) Member {
	defer m.RejectUnknown()
	return Member{
		Name:    m.String("name", true),
		Addr:    m.AddrPort("address"),
		Zone:    m.String("availability_zone", true),
		Leaving: m.Bool("leaving"),
	}
}

func parseTiming(m *yamlmap.Map) Timing {
	defer m.RejectUnknown()
	d := DefaultTiming()
	return Timing{
		ProbeInterval:  m.Duration("probe_interval", d.ProbeInterval),
		Silence:        m.Duration("silence", d.Silence),
		Lease:          m.Duration("lease", d.Lease),
		SwitchoverHold: m.Duration("switchover_hold", d.SwitchoverHold),
	}
}

func parseRoute(m *yamlmap.Map) Route {
	defer m.RejectUnknown()
	r := Route{
		Name:              m.String("name", true),
		Group:             m.String("group", true),
		Credential:        m.String("credential", true),
		Reads:             freshness.OwnWrites{},
		Deadline:          m.Duration("deadline", DefaultDeadline),
		Patience:          m.Duration("patience", DefaultPatience),
		Priority:          yamlmap.Enum(m, "priority", Normal, High, Normal, Low),
		MaxCallers:        m.Int("max_callers", DefaultMaxCallers),
		IdleInTransaction: m.Duration("idle_in_transaction", DefaultIdleInTransaction),
		Idempotent:        m.Bool("idempotent"),
	}
	if text := m.String("reads", false); text != "" {
		class, err := freshness.ParseClass(text)
		if err != nil {
			m.AddMistake("reads", "%v", err)
		} else {
			r.Reads = class
		}
	}
	return r
}

// Encode returns a document as YAML, including default values. Parse returns an equal
// document for it.
func Encode(d *Document) []byte { return EncodeEdited(d, Edit{}) }

// Edit replaces one section of a document with unvalidated values, so that Parse can
// report the mistakes in them. The zero value replaces nothing.
type Edit struct {
	// Group and Route name the section to replace. At most one of them is set. A name that
	// is not in the document adds a section.
	Group, Route string
	// Fields holds the section's fields as entered.
	Fields []Field
}

// Field is a field of an edited section. It holds a value or, if Lists is not nil, a list of
// sections.
type Field struct {
	Name     string
	Value    string
	Sections [][]Field
}

// EncodeEdited returns a document as YAML with an edit applied.
func EncodeEdited(d *Document, edit Edit) []byte {
	var e encoder
	e.line(0, "version: %d", SchemaVersion)
	_, oldGroup := d.Group(edit.Group)
	_, oldRoute := d.Route(edit.Route)
	newGroup, newRoute := edit.Group != "" && !oldGroup, edit.Route != "" && !oldRoute
	e.openList("groups", len(d.Groups) > 0 || newGroup)
	for i := range d.Groups {
		if g := &d.Groups[i]; g.Name != edit.Group {
			e.group(g)
		} else {
			e.fields(1, edit.Fields)
		}
	}
	if newGroup {
		e.fields(1, edit.Fields)
	}
	e.openList("routes", len(d.Routes) > 0 || newRoute)
	for i := range d.Routes {
		if r := &d.Routes[i]; r.Name != edit.Route {
			e.route(r)
		} else {
			e.fields(1, edit.Fields)
		}
	}
	if newRoute {
		e.fields(1, edit.Fields)
	}
	return []byte(e.out.String())
}

// fields writes an edited section as an element of a list. A field named "outer.inner" is
// written into the nested mapping outer; fields of one mapping must follow each other.
func (e *encoder) fields(level int, list []Field) {
	dash := "- "
	mapping := ""
	for _, f := range list {
		name, indent := f.Name, level+1
		if outer, inner, nested := strings.Cut(f.Name, "."); nested {
			if outer != mapping {
				e.line(level+1, "%s:", outer)
				mapping = outer
			}
			name, indent = inner, level+2
		}
		if dash != "" {
			indent = level
		}
		if f.Sections == nil {
			e.line(indent, "%s%s: %q", dash, name, f.Value)
		} else {
			e.line(indent, "%s%s:", dash, name)
			for _, section := range f.Sections {
				e.fields(level+2, section)
			}
		}
		dash = ""
	}
}

// encoder writes YAML. Strings are quoted so that they are not parsed as other types.
type encoder struct{ out strings.Builder }

// indentWidth is the number of spaces per level of indentation.
const indentWidth = 2

// line writes a line at a level of indentation.
func (e *encoder) line(level int, format string, args ...any) {
	e.out.WriteString(strings.Repeat(" ", level*indentWidth))
	fmt.Fprintf(&e.out, format, args...)
	e.out.WriteByte('\n')
}

// openList writes the key of a top-level list, as an empty list unless filled.
func (e *encoder) openList(name string, filled bool) {
	if !filled {
		e.line(0, "%s: []", name)
		return
	}
	e.line(0, "%s:", name)
}

func (e *encoder) duration(level int, name string, d time.Duration) {
	e.line(level, "%s: %s", name, d)
}

func (e *encoder) group(g *Group) {
	e.line(1, "- name: %q", g.Name)
	e.line(2, "database: %q", g.Database)
	e.line(2, "credential: %q", g.Credential)
	e.line(2, "slots: %d", g.Slots)
	e.line(2, "connections: %d", g.Connections)
	e.line(2, "timing:")
	e.duration(3, "probe_interval", g.Timing.ProbeInterval)
	e.duration(3, "silence", g.Timing.Silence)
	e.duration(3, "lease", g.Timing.Lease)
	e.duration(3, "switchover_hold", g.Timing.SwitchoverHold)
	e.line(2, "members:")
	for _, m := range g.Members {
		e.line(3, "- name: %q", m.Name)
		e.line(4, "address: %q", m.Addr.String())
		e.line(4, "availability_zone: %q", m.Zone)
		if m.Leaving {
			e.line(4, "leaving: true")
		}
	}
}

func (e *encoder) route(r *Route) {
	e.line(1, "- name: %q", r.Name)
	e.line(2, "group: %q", r.Group)
	e.line(2, "credential: %q", r.Credential)
	e.line(2, "reads: %q", r.Reads.String())
	e.duration(2, "deadline", r.Deadline)
	e.duration(2, "patience", r.Patience)
	e.line(2, "priority: %s", r.Priority)
	e.line(2, "max_callers: %d", r.MaxCallers)
	e.duration(2, "idle_in_transaction", r.IdleInTransaction)
	if r.Idempotent {
		e.line(2, "idempotent: true")
	}
}
