package config

import (
	"net/netip"
	"regexp"

	"pearlatch/core/freshness"
	"pearlatch/internal/yamlmap"
)

// namePattern matches the names of groups, members and routes. They are used in
// database names, metric names and paths.
var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9_-]{0,62}$`)

// MaxMembers is the maximum number of members of a group.
const MaxMembers = 9

// validate records the mistakes that involve several fields or sections, and those in
// the values of names and numbers.
func validate(d *Document, s sections) {
	names := map[string]bool{}
	addrs := map[netip.AddrPort]bool{}
	for i := range d.Groups {
		checkName(s.groups[i], names, d.Groups[i].Name)
		validateGroup(&d.Groups[i], s.groups[i], addrs)
	}
	names = map[string]bool{}
	for i := range d.Routes {
		checkName(s.routes[i], names, d.Routes[i].Name)
		validateRoute(d, &d.Routes[i], s.routes[i])
	}
}

// checkName records a mistake if name does not match namePattern or is in seen, and adds it
// to seen. An empty name is ignored, since Parse has recorded it.
func checkName(m *yamlmap.Map, seen map[string]bool, name string) {
	if name == "" {
		return
	}
	if !namePattern.MatchString(name) {
		m.AddMistake("name", "%q must be made of lower-case letters, digits, '-' and '_'", name)
	}
	if seen[name] {
		m.AddMistake("name", "%q is used twice", name)
	}
	seen[name] = true
}

func validateGroup(g *Group, m *yamlmap.Map, addrs map[netip.AddrPort]bool) {
	if n := len(g.Members); n == 0 || n%2 == 0 || n > MaxMembers {
		m.AddMistake("members", "must be an odd number of at most %d members, so that a majority is clear; there are %d", MaxMembers, n)
	}
	if g.Slots < 1 {
		m.AddMistake("slots", "must be at least 1")
	}
	if minimum := MinConnections(len(g.Members), g.Slots); g.Connections < minimum {
		m.AddMistake("connections", "must be at least %d: two control connections a member, one spare, and one for each slot; it is %d", minimum, g.Connections)
	}
	if g.Timing.Silence <= g.Timing.ProbeInterval {
		m.AddMistake("timing", "silence (%s) must exceed probe_interval (%s)", g.Timing.Silence, g.Timing.ProbeInterval)
	}
	validateMembers(g, m, addrs)
}

// MinConnections returns the least number of connections that a group may be given.
func MinConnections(members, slots int) int { return 2*members + 1 + members*max(1, slots) }

func validateMembers(g *Group, m *yamlmap.Map, addrs map[netip.AddrPort]bool) {
	names := map[string]bool{}
	staying := 0
	for i, member := range m.List("members") {
		checkName(member, names, g.Members[i].Name)
		addr := g.Members[i].Addr
		if addr.IsValid() && addrs[addr] {
			member.AddMistake("address", "%s is used twice", addr)
		}
		addrs[addr] = true
		if !g.Members[i].Leaving {
			staying++
		}
	}
	if len(g.Members) > 0 && staying == 0 {
		m.AddMistake("members", "all members are leaving: at least one must stay")
	}
}

func validateRoute(d *Document, r *Route, m *yamlmap.Map) {
	g, known := d.Group(r.Group)
	if r.Group != "" && !known {
		m.AddMistake("group", "there is no group %q", r.Group)
	}
	if r.MaxCallers < 1 {
		m.AddMistake("max_callers", "must be at least 1")
	}
	if r.Patience >= r.Deadline {
		m.AddMistake("patience", "must be below the deadline (%s)", r.Deadline)
	}
	if age, ok := r.Reads.(freshness.MaxAge); ok && known && age.Age <= g.Timing.ProbeInterval {
		m.AddMistake("reads", "the age %s is not above the probe_interval %s of group %q: no replica could ever show that it is fresh enough",
			age.Age, g.Timing.ProbeInterval, g.Name)
	}
}
