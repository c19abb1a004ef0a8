package peer

import (
	"pearlatch/core/freshness"
	"pearlatch/core/group"
	"pearlatch/internal/gateway"
)

// Names of the drpc calls between gateways.
const (
	linkCall    = "/pearlatch.Gateway/Link"
	recallCall  = "/pearlatch.Gateway/Recall"
	feedCall    = "/pearlatch.Gateway/Feed"
	memberCall  = "/pearlatch.Gateway/ProbeMember"
	reserveCall = "/pearlatch.Gateway/QuotaReserve"
)

// peerRequestVersion is the version of a forwarded request. Up to version 1, requests named no client account. A host that does
// not know accounts would run a request under the host's own name, so it must refuse newer versions.
const peerRequestVersion = 2

// positionMessage is a log position on the wire.
type positionMessage group.Position

func (m *positionMessage) fields(w *fieldWriter) {
	w.uint("term", uint64(m.Term))
	w.uint("lsn", uint64(m.LSN))
}

func (m *positionMessage) field(name string, r *fieldReader) bool {
	switch name {
	case "term":
		return readUint(r, &m.Term)
	case "lsn":
		return readUint(r, &m.LSN)
	}
	return false
}

// preparedStatementMessage is a gateway.PreparedStatement on the wire.
type preparedStatementMessage gateway.PreparedStatement

func (m *preparedStatementMessage) fields(w *fieldWriter) {
	w.bool("writes", m.Writes)
	w.str("text", m.Text)
}

func (m *preparedStatementMessage) field(name string, r *fieldReader) bool {
	switch name {
	case "writes":
		return r.bool(&m.Writes)
	case "text":
		return r.str(&m.Text)
	}
	return false
}

// beginMessage is a gateway.Begin on the wire.
type beginMessage gateway.Begin

func (m *beginMessage) fields(w *fieldWriter) { w.bool("read_only", m.ReadOnly) }

func (m *beginMessage) field(name string, r *fieldReader) bool {
	return name == "read_only" && r.bool(&m.ReadOnly)
}

// sessionValueMessage is a session value and its name on the wire.
type sessionValueMessage struct{ name, value string }

func (m *sessionValueMessage) fields(w *fieldWriter) {
	w.str("name", m.name)
	w.str("value", m.value)
}

func (m *sessionValueMessage) field(name string, r *fieldReader) bool {
	switch name {
	case "name":
		return r.str(&m.name)
	case "value":
		return r.str(&m.value)
	}
	return false
}

// The kinds of forwarded statements on the wire.
const (
	kindRead = iota + 1
	kindWrite
	kindExecute
	kindCommit
	kindRollback
)

// statementMessage is a gateway.Statement on the wire.
type statementMessage struct {
	kind            uint64
	name, arguments string
}

// toStatementMessage returns the message for the statement. Its kind is zero for any other statement than those of the kinds
// above.
func toStatementMessage(s gateway.Statement) statementMessage {
	switch s := s.(type) {
	case gateway.Read:
		return statementMessage{kind: kindRead}
	case gateway.Write:
		return statementMessage{kind: kindWrite}
	case gateway.Execute:
		return statementMessage{kind: kindExecute, name: s.Name, arguments: s.Arguments}
	case gateway.Commit:
		return statementMessage{kind: kindCommit}
	case gateway.Rollback:
		return statementMessage{kind: kindRollback}
	}
	return statementMessage{}
}

// statement returns the statement, or gateway.Unknown if the kind is not known.
func (m *statementMessage) statement() gateway.Statement {
	switch m.kind {
	case kindRead:
		return gateway.Read{}
	case kindWrite:
		return gateway.Write{}
	case kindExecute:
		return gateway.Execute{Name: m.name, Arguments: m.arguments}
	case kindCommit:
		return gateway.Commit{}
	case kindRollback:
		return gateway.Rollback{}
	}
	return gateway.Unknown{}
}

func (m *statementMessage) fields(w *fieldWriter) {
	w.uint("kind", m.kind)
	w.str("name", m.name)
	w.str("arguments", m.arguments)
}

func (m *statementMessage) field(name string, r *fieldReader) bool {
	switch name {
	case "kind":
		return r.uint(&m.kind)
	case "name":
		return r.str(&m.name)
	case "arguments":
		return r.str(&m.arguments)
	}
	return false
}

// routeMessage is the route of a forwarded statement on the wire.
type routeMessage struct {
	gateway.Route
	// class is the freshness class as text.
	class string
}

func (m *routeMessage) fields(w *fieldWriter) {
	w.str("name", m.Name)
	w.str("class", m.Class.String())
	w.duration("timeout_us", m.Timeout)
	w.duration("target_us", m.LatencyTarget)
	w.uint("priority", uint64(m.Priority))
	w.bool("public", m.Public)
}

func (m *routeMessage) field(name string, r *fieldReader) bool {
	switch name {
	case "name":
		return r.str(&m.Name)
	case "class":
		r.str(&m.class)
		class, err := freshness.ParseClass(m.class)
		r.setErr(err)
		m.Class = class
		return true
	case "timeout_us":
		return r.duration(&m.Timeout)
	case "target_us":
		return r.duration(&m.LatencyTarget)
	case "priority":
		return readUint(r, &m.Priority)
	case "public":
		return r.bool(&m.Public)
	}
	return false
}

// peerRequestMessage is a gateway.PeerRequest on the wire.
type peerRequestMessage struct {
	version uint64
	gateway.PeerRequest
}

func (m *peerRequestMessage) fields(w *fieldWriter) {
	q := &m.PeerRequest
	w.uint("version", m.version)
	w.str("from", q.From)
	w.uint("serial", q.Serial)
	w.str("to", q.To)
	w.str("group", q.Group)
	w.str("database", q.Database)
	w.message("route", &routeMessage{Route: q.Route})
	w.str("account", q.Account)
	w.duration("age_us", q.Age)
	w.duration("begin_age_us", q.BeginAge)
	w.message("mark", (*positionMessage)(&q.LastWrite))
	values := make([]sessionValueMessage, 0, len(q.Values))
	for name, value := range q.Values {
		values = append(values, sessionValueMessage{name, value})
	}
	writeList(w, "values", values)
	if q.Prepared != nil {
		w.message("shape", (*preparedStatementMessage)(q.Prepared))
	}
	if q.Begin != nil {
		w.message("begin", (*beginMessage)(q.Begin))
	}
	w.bool("insist", q.WaitForPrimary)
	w.bool("continues", q.Continues)
	w.str("id", q.Request.ID)
	w.str("text", q.Request.Text)
	statement := toStatementMessage(q.Request.Statement)
	w.message("statement", &statement)
}

func (m *peerRequestMessage) field(name string, r *fieldReader) bool {
	q := &m.PeerRequest
	switch name {
	case "version":
		return r.uint(&m.version)
	case "from":
		return r.str(&q.From)
	case "serial":
		return r.uint(&q.Serial)
	case "to":
		return r.str(&q.To)
	case "group":
		return r.str(&q.Group)
	case "database":
		return r.str(&q.Database)
	case "account":
		return r.str(&q.Account)
	case "age_us":
		return r.duration(&q.Age)
	case "begin_age_us":
		return r.duration(&q.BeginAge)
	case "insist":
		return r.bool(&q.WaitForPrimary)
	case "continues":
		return r.bool(&q.Continues)
	case "id":
		return r.str(&q.Request.ID)
	case "text":
		return r.str(&q.Request.Text)
	}
	return m.messageField(name, r)
}

// messageField reads the fields that are nested messages or lists of them.
func (m *peerRequestMessage) messageField(name string, r *fieldReader) bool {
	q := &m.PeerRequest
	switch name {
	case "route":
		var in routeMessage
		r.message(&in)
		q.Route = in.Route
	case "mark":
		r.message((*positionMessage)(&q.LastWrite))
	case "values":
		var list []sessionValueMessage
		readList(r, &list)
		q.Values = make(map[string]string, len(list))
		for _, v := range list {
			q.Values[v.name] = v.value
		}
	case "shape":
		q.Prepared = &gateway.PreparedStatement{}
		r.message((*preparedStatementMessage)(q.Prepared))
	case "begin":
		q.Begin = &gateway.Begin{}
		r.message((*beginMessage)(q.Begin))
	case "statement":
		var in statementMessage
		r.message(&in)
		q.Request.Statement = in.statement()
	default:
		return false
	}
	return true
}

// recallRequest asks for the outcome of a request. from and serial are the request's gateway.PeerRequest.From and Serial.
type recallRequest struct {
	from   string
	serial uint64
}

func (m *recallRequest) fields(w *fieldWriter) {
	w.str("from", m.from)
	w.uint("serial", m.serial)
}

func (m *recallRequest) field(name string, r *fieldReader) bool {
	switch name {
	case "from":
		return r.str(&m.from)
	case "serial":
		return r.uint(&m.serial)
	}
	return false
}

// recallReply is a gateway.RequestOutcome on the wire. It stands for OutcomeRunning if running is true, for OutcomeDone if
// reply is not nil, and otherwise for OutcomeUnknown with the process.
type recallReply struct {
	running bool
	process string
	reply   *peerReplyMessage
}

func (m *recallReply) fields(w *fieldWriter) {
	w.bool("running", m.running)
	w.str("process", m.process)
	if m.reply != nil {
		w.message("reply", m.reply)
	}
}

func (m *recallReply) field(name string, r *fieldReader) bool {
	switch name {
	case "running":
		return r.bool(&m.running)
	case "process":
		return r.str(&m.process)
	case "reply":
		m.reply = &peerReplyMessage{}
		r.message(m.reply)
		return true
	}
	return false
}

// memberRequest asks a host to probe a member for its status.
type memberRequest struct{ group, member string }

func (m *memberRequest) fields(w *fieldWriter) {
	w.str("group", m.group)
	w.str("member", m.member)
}

func (m *memberRequest) field(name string, r *fieldReader) bool {
	switch name {
	case "group":
		return r.str(&m.group)
	case "member":
		return r.str(&m.member)
	}
	return false
}

// memberReply is a member's gateway.Status on the wire.
type memberReply gateway.Status

func (m *memberReply) fields(w *fieldWriter) {
	w.bool("leads", m.IsPrimary)
	w.message("received", (*positionMessage)(&m.Received))
	w.uint("term", uint64(m.Term))
	w.uint("fenced", uint64(m.Fenced))
	w.duration("lag_us", m.Lag)
	w.uint("running", uint64(m.Running))
	w.uint("connections", uint64(m.Connections))
}

func (m *memberReply) field(name string, r *fieldReader) bool {
	switch name {
	case "leads":
		return r.bool(&m.IsPrimary)
	case "received":
		r.message((*positionMessage)(&m.Received))
		return true
	case "term":
		return readUint(r, &m.Term)
	case "fenced":
		return readUint(r, &m.Fenced)
	case "lag_us":
		return r.duration(&m.Lag)
	case "running":
		return readUint(r, &m.Running)
	case "connections":
		return readUint(r, &m.Connections)
	}
	return false
}
