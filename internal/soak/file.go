package soak

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"
	"unicode"

	"github.com/pkg/errors"

	"pearlatch/internal/yamlmap"
)

// Plan is the content of a site file: a site with its load, and the faults to inject.
type Plan struct {
	Options Options
	Seed    uint64
	Faults  []Fault
}

// kindName is a Kind whose String method returns the name used in site files.
type kindName Kind

// String returns the name of the kind in snake case.
func (k kindName) String() string {
	var b strings.Builder
	for i, r := range Kind(k).String() {
		if unicode.IsUpper(r) && i > 0 {
			b.WriteByte('_')
		}
		b.WriteRune(unicode.ToLower(r))
	}
	return b.String()
}

func kindNames() []kindName {
	out := make([]kindName, kinds)
	for i := range out {
		out[i] = kindName(i)
	}
	return out
}

// ParsePlan parses the text of a site file. Fields that are not set have their values from DefaultOptions.
// The error is a yamlmap.Mistakes with all mistakes found.
func ParsePlan(text []byte) (*Plan, error) {
	var mistakes yamlmap.Mistakes
	m := yamlmap.Parse(text, &mistakes)
	p := &Plan{Options: DefaultOptions(), Seed: parseSeed(m, 1)}
	o := &p.Options
	o.Callers = intAtLeast(m, "callers", o.Callers, 1)
	o.Faults = m.Duration("faults_within", o.Faults)
	s := &o.Site
	s.Hosts = intInRange(m, "hosts", s.Hosts, maxHosts)
	s.Zones = intInRange(m, "availability_zones", s.Zones, maxHosts)
	s.Groups = intInRange(m, "groups", s.Groups, maxGroups)
	s.Slots = intAtLeast(m, "slots", s.Slots, 1)
	s.Queue = intAtLeast(m, "queue", s.Queue, 0)
	s.Connections = intAtLeast(m, "connections", s.Connections, minConnections)
	s.Work = m.Duration("work", s.Work)
	s.OpenTime = m.Duration("open_time", s.OpenTime)
	s.PromoteTime = m.Duration("promote_time", s.PromoteTime)
	if m.Has("repeated_answers") {
		s.RepeatedAnswers = m.Float("repeated_answers", 1)
	}
	if m.Has("unusual_texts") {
		o.UnusualTexts = m.Float("unusual_texts", 1)
	}
	if m.Has("checks_tokens") {
		s.ChecksTokens = m.Bool("checks_tokens")
	}
	for _, fault := range m.List("faults") {
		p.Faults = append(p.Faults, parseFault(fault))
	}
	m.RejectUnknown()
	return p, mistakes.Err()
}

const (
	// maxHosts and maxGroups are the most for which the site has loopback addresses.
	maxHosts, maxGroups = 250, 80
	// minConnections leaves two connections for the coordinator of a group and one for callers.
	minConnections = 3
)

// parseSeed reads the field "seed", an unsigned 64-bit number.
func parseSeed(m *yamlmap.Map, defaultValue uint64) uint64 {
	if !m.Has("seed") {
		return defaultValue
	}
	text := m.String("seed", true)
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		m.AddMistake("seed", "%q is not a whole number from 0 to 2^64-1", text)
	}
	return n
}

// intAtLeast reads an integer that is at least minimum.
func intAtLeast(m *yamlmap.Map, field string, defaultValue, minimum int) int {
	n := m.Int(field, defaultValue)
	if n < minimum {
		m.AddMistake(field, "%d, must be at least %d", n, minimum)
	}
	return n
}

// intInRange reads an integer from 1 to maximum.
func intInRange(m *yamlmap.Map, field string, defaultValue, maximum int) int {
	n := intAtLeast(m, field, defaultValue, 1)
	if n > maximum {
		m.AddMistake(field, "%d, must be at most %d", n, maximum)
	}
	return n
}

func parseFault(m *yamlmap.Map) Fault {
	f := Fault{Kind: Kind(yamlmap.Enum(m, "kind", kindName(kinds), kindNames()...))}
	if !m.Has("kind") {
		m.AddMistake("kind", "is missing")
	}
	if m.Has("at") && m.String("at", false) != "0s" {
		f.At = m.Duration("at", 0)
	}
	f.For = m.Duration("for", time.Second)
	f.Seed = parseSeed(m, 0)
	m.RejectUnknown()
	return f
}

// LoadPlan reads and parses the site file at path.
func LoadPlan(path string) (*Plan, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read site file")
	}
	p, err := ParsePlan(text)
	return p, errors.Wrapf(err, "site file %s", path)
}

// Format returns the text of a site file with the plan's seed, site and faults. It leaves out how hosts are run
// and where their files are.
func (p *Plan) Format() string {
	s := p.Options.Site
	var b strings.Builder
	fmt.Fprintf(&b, "seed: %d\nhosts: %d\navailability_zones: %d\ngroups: %d\nconnections: %d\nslots: %d\nchecks_tokens: %v\ncallers: %d\n",
		p.Seed, s.Hosts, s.Zones, s.Groups, s.Connections, s.Slots, s.ChecksTokens, p.Options.Callers)
	fmt.Fprintf(&b, "repeated_answers: %g\nunusual_texts: %g\n", s.RepeatedAnswers, p.Options.UnusualTexts)
	if len(p.Faults) > 0 {
		b.WriteString("faults:\n")
	}
	for _, f := range p.Faults {
		fmt.Fprintf(&b, "  - {kind: %s, at: %s, for: %s, seed: %d}\n", kindName(f.Kind), f.At, f.For, f.Seed)
	}
	return b.String()
}

// Save writes the schedule that was run to site.yaml in the folder, with the findings as comments. The file can be
// loaded with LoadPlan to repeat the run.
func (r *Report) Save(folder string, o Options) error {
	p := Plan{Options: o, Seed: r.Seed, Faults: r.Faults}
	text := p.Format()
	for _, f := range r.Findings {
		text += "# finding: " + strings.ReplaceAll(f, "\n", " ") + "\n"
	}
	return errors.Wrap(os.WriteFile(filepath.Join(folder, "site.yaml"), []byte(text), 0o600), "save report")
}
