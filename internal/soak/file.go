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

// Plan is what a site file holds: a site with its load, and faults.
type Plan struct {
	Options Options
	Seed    uint64
	Faults  []Fault
}

// kindName is a Kind under the name that files use.
type kindName Kind

// String returns the name in lower case with underscores.
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

// ParsePlan reads a site file. What it does not name is as in DefaultOptions. The error is a
// yamlmap.Mistakes with every mistake found.
func ParsePlan(text []byte) (*Plan, error) {
	var wrong yamlmap.Mistakes
	m := yamlmap.Parse(text, &wrong)
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
	if m.Has("checks_tokens") {
		s.ChecksTokens = m.Bool("checks_tokens")
	}
	for _, each := range m.List("faults") {
		p.Faults = append(p.Faults, parseFault(each))
	}
	m.Done()
	return p, wrong.Err()
}

const (
	// maxHosts and maxGroups are what the site's loopback addresses have room for.
	maxHosts, maxGroups = 250, 80
	// minConnections leaves two for the holder of a group's duty and one for callers.
	minConnections = 3
)

// parseSeed reads a seed.
func parseSeed(m *yamlmap.Map, missing uint64) uint64 {
	if !m.Has("seed") {
		return missing
	}
	text := m.String("seed", true)
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		m.Wrong("seed", "%q is not a whole number from 0 to 2^64-1", text)
	}
	return n
}

// intAtLeast reads a whole number.
func intAtLeast(m *yamlmap.Map, field string, missing, least int) int {
	n := m.Int(field, missing)
	if n < least {
		m.Wrong(field, "%d, must be at least %d", n, least)
	}
	return n
}

// intInRange reads a whole number between one and a bound.
func intInRange(m *yamlmap.Map, field string, missing, most int) int {
	n := intAtLeast(m, field, missing, 1)
	if n > most {
		m.Wrong(field, "%d, must be at most %d", n, most)
	}
	return n
}

func parseFault(m *yamlmap.Map) Fault {
	f := Fault{Kind: Kind(yamlmap.Enum(m, "kind", kindName(kinds), kindNames()...))}
	if !m.Has("kind") {
		m.Wrong("kind", "is missing")
	}
	if m.Has("at") && m.String("at", false) != "0s" {
		f.At = m.Duration("at", 0)
	}
	f.For = m.Duration("for", time.Second)
	f.Seed = parseSeed(m, 0)
	m.Done()
	return f
}

// LoadPlan reads a site file.
func LoadPlan(path string) (*Plan, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read site file")
	}
	p, err := ParsePlan(text)
	return p, errors.Wrapf(err, "site file %s", path)
}

// Format returns a site file with the plan's site and faults. Its Options say nothing of programs.
func (p *Plan) Format() string {
	s := p.Options.Site
	var b strings.Builder
	fmt.Fprintf(&b, "seed: %d\nhosts: %d\navailability_zones: %d\ngroups: %d\nconnections: %d\nslots: %d\nchecks_tokens: %v\ncallers: %d\n",
		p.Seed, s.Hosts, s.Zones, s.Groups, s.Connections, s.Slots, s.ChecksTokens, p.Options.Callers)
	if len(p.Faults) > 0 {
		b.WriteString("faults:\n")
	}
	for _, f := range p.Faults {
		fmt.Fprintf(&b, "  - {kind: %s, at: %s, for: %s, seed: %d}\n", kindName(f.Kind), f.At, f.For, f.Seed)
	}
	return b.String()
}

// Save writes what was played and what it found into a folder. The file can be played again.
func (r *Report) Save(folder string, o Options) error {
	p := Plan{Options: o, Seed: r.Seed, Faults: r.Faults}
	text := p.Format()
	for _, f := range r.Findings {
		text += "# finding: " + strings.ReplaceAll(f, "\n", " ") + "\n"
	}
	return errors.Wrap(os.WriteFile(filepath.Join(folder, "site.yaml"), []byte(text), 0o600), "save the report")
}
