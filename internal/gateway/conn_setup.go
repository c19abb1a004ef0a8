package gateway

import (
	"maps"
	"strconv"
)

// maxPreparedPerConn bounds the number of prepared statements on a connection.
const maxPreparedPerConn = 64

// preparedName returns the name of a connection's n-th prepared statement.
func preparedName(n int) string { return "p" + strconv.Itoa(n) }

// setupCommands returns the commands that set the session's values on the connection and define a
// prepared statement, each only if necessary, and the name of the statement on the connection. It
// updates values and prepared as if the commands had been carried out. The first command is a reset
// if the connection holds a value that the session does not set, or maxPreparedPerConn prepared
// statements.
func (p *pooledConn) setupCommands(values map[string]string, statement *PreparedStatement) (out []Command, name string) {
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
	if statement == nil {
		return out, ""
	}
	name, ok := p.prepared[*statement]
	if !ok {
		name = preparedName(len(p.prepared))
		p.prepared[*statement] = name
		out = append(out, Define{name, *statement})
	}
	return out, name
}
