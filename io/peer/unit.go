package peer

import (
	"time"

	"pearlatch/core/freshness"
	"pearlatch/core/statement"
)

// unitMessage is a unit on its way to the owner of the group. The first unit of an exchange carries the request too.
type unitMessage struct {
	version uint64
	// serial numbers the units of a stream from 1. The parts of the answer repeat it. Owners of earlier versions skip it.
	serial uint64
	// first is true if request is set.
	first   bool
	request statement.Request
	// class is the request's freshness class as text.
	class string
	unit  statement.Unit
	// timeLeft is the time until the unit's deadline. The receiver adds it to the time by its own clock.
	timeLeft time.Duration
}

func (m *unitMessage) fields(w *fieldWriter) {
	w.uint("version", m.version)
	w.uint("serial", m.serial)
	if m.first {
		w.message("request", (*requestMessage)(m))
	}
	w.uint("kind", uint64(m.unit.Kind))
	w.bytes("data", m.unit.Data)
	w.uint("expect", uint64(m.unit.ReplyEnd))
	w.uint("replies", uint64(m.unit.Replies))
	w.bool("begins", m.unit.ControlsTransaction)
	w.bool("pins", m.unit.Pins)
	w.str("request_id", m.unit.RequestID)
	w.duration("time_left_us", m.timeLeft)
	if len(m.unit.Prepared) > 0 {
		list := make([]preparedMessage, len(m.unit.Prepared))
		for i, p := range m.unit.Prepared {
			list[i] = preparedMessage(p)
		}
		writeList(w, "prepared", list)
	}
}

func (m *unitMessage) field(name string, r *fieldReader) bool {
	switch name {
	case "version":
		return r.uint(&m.version)
	case "serial":
		return r.uint(&m.serial)
	case "request":
		m.first = true
		r.message((*requestMessage)(m))
		return true
	case "kind":
		return readUint(r, &m.unit.Kind)
	case "data":
		return r.bytes(&m.unit.Data)
	case "expect":
		return readUint(r, &m.unit.ReplyEnd)
	case "replies":
		return readUint(r, &m.unit.Replies)
	case "begins":
		return r.bool(&m.unit.ControlsTransaction)
	case "pins":
		return r.bool(&m.unit.Pins)
	case "request_id":
		return r.str(&m.unit.RequestID)
	case "time_left_us":
		return r.duration(&m.timeLeft)
	case "prepared":
		var list []preparedMessage
		readList(r, &list)
		for _, p := range list {
			m.unit.Prepared = append(m.unit.Prepared, statement.Prepared(p))
		}
		return true
	}
	return false
}

// requestMessage is the request within a unitMessage.
type requestMessage unitMessage

func (m *requestMessage) fields(w *fieldWriter) {
	q := &m.request
	w.str("route", q.Route)
	w.str("group", q.Group)
	w.str("session", q.Session)
	w.bool("clean", q.NeverWrote)
	w.str("class", q.Class.String())
	w.uint("priority", uint64(q.Priority))
	w.bool("idempotent", q.Idempotent)
	w.duration("patience_us", q.ReplicaWait)
	w.uint("process", uint64(q.CancelKey.Process))
	w.uint("secret", uint64(q.CancelKey.Secret))
}

func (m *requestMessage) field(name string, r *fieldReader) bool {
	q := &m.request
	switch name {
	case "route":
		return r.str(&q.Route)
	case "group":
		return r.str(&q.Group)
	case "session":
		return r.str(&q.Session)
	case "clean":
		return r.bool(&q.NeverWrote)
	case "class":
		r.str(&m.class)
		class, err := freshness.ParseClass(m.class)
		r.setErr(err)
		q.Class = class
		return true
	case "priority":
		return readUint(r, &q.Priority)
	case "idempotent":
		return r.bool(&q.Idempotent)
	case "patience_us":
		return r.duration(&q.ReplicaWait)
	case "process":
		return readUint(r, &q.CancelKey.Process)
	case "secret":
		return readUint(r, &q.CancelKey.Secret)
	}
	return false
}

// preparedMessage is a prepared statement that a unit refers to.
type preparedMessage statement.Prepared

func (m *preparedMessage) fields(w *fieldWriter) {
	w.str("name", m.Name)
	w.bytes("parse", m.Parse)
}

func (m *preparedMessage) field(name string, r *fieldReader) bool {
	switch name {
	case "name":
		return r.str(&m.Name)
	case "parse":
		return r.bytes(&m.Parse)
	}
	return false
}

// answerMessage is a part of the answer to a unit. The last part has end set, and the outcome or the refusal.
type answerMessage struct {
	// serial is that of the unit, or zero from an owner of an earlier version.
	serial  uint64
	data    []byte
	end     bool
	outcome statement.Outcome
	// refused is true if refusal is set.
	refused bool
	refusal statement.Refusal
}

func (m *answerMessage) fields(w *fieldWriter) {
	w.uint("serial", m.serial)
	w.bytes("data", m.data)
	w.bool("end", m.end)
	w.uint("status", uint64(m.outcome.Status))
	w.bool("copy_in", m.outcome.CopyIn)
	w.bool("wrote", m.outcome.Wrote)
	w.bool("pinned", m.outcome.Pinned)
	if m.refused {
		w.message("refusal", (*refusalMessage)(&m.refusal))
	}
}

func (m *answerMessage) field(name string, r *fieldReader) bool {
	switch name {
	case "serial":
		return r.uint(&m.serial)
	case "data":
		return r.bytes(&m.data)
	case "end":
		return r.bool(&m.end)
	case "status":
		var n uint64
		r.uint(&n)
		m.outcome.Status = byte(n)
		return true
	case "copy_in":
		return r.bool(&m.outcome.CopyIn)
	case "wrote":
		return r.bool(&m.outcome.Wrote)
	case "pinned":
		return r.bool(&m.outcome.Pinned)
	case "refusal":
		m.refused = true
		r.message((*refusalMessage)(&m.refusal))
		return true
	}
	return false
}

// refusalMessage is a statement.Refusal on the wire.
type refusalMessage statement.Refusal

func (m *refusalMessage) fields(w *fieldWriter) {
	w.str("code", m.Code)
	w.str("reason", m.Reason)
	w.bool("not_run", m.NotRun)
	w.duration("retry_after_us", m.RetryAfter)
	w.bool("elsewhere", m.RetryElsewhere)
	w.str("owner", m.Owner)
}

func (m *refusalMessage) field(name string, r *fieldReader) bool {
	switch name {
	case "code":
		return r.str(&m.Code)
	case "reason":
		return r.str(&m.Reason)
	case "not_run":
		return r.bool(&m.NotRun)
	case "retry_after_us":
		return r.duration(&m.RetryAfter)
	case "elsewhere":
		return r.bool(&m.RetryElsewhere)
	case "owner":
		return r.str(&m.Owner)
	}
	return false
}
