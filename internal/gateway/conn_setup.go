package gateway

import (
	"maps"
	"strconv"
)

// maxPreparedPerConn bounds the prepared statements that a connection keeps.
const maxPreparedPerConn = 64

// preparedName is a connection's name of its n-th prepared statement.
func preparedName(n int) string { return "p" + strconv.Itoa(n) }

// setupCommands returns the commands that bring the connection to the session's values
// and a prepared shape, and the connection's name of that shape.
func (p *pooledConn) setupCommands(values map[string]string, shape *PreparedStatement) (out []Command, name string) {
	reset := len(p.prepared) >= maxPreparedPerConn
	for k := range p.values {
		if _, ok := values[k]; !ok {
			reset = true
		}
	}
	if reset {
		out = append(out, Reset{})
		clear(p.values)
		clear(p.prepared)
	}
	for k, v := range values {
		if old, ok := p.values[k]; !ok || old != v {
			out = append(out, Assign{k, v})
		}
	}
	maps.Copy(p.values, values)
	if shape == nil {
		return out, ""
	}
	name, ok := p.prepared[*shape]
	if !ok {
		name = preparedName(len(p.prepared))
		p.prepared[*shape] = name
		out = append(out, Define{name, *shape})
	}
	return out, name
}
