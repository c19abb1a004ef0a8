package peer

import "pearlatch/internal/gateway"

// leaseRequest is a gateway.LeaseRequest on the wire.
type leaseRequest gateway.LeaseRequest

func (m *leaseRequest) fields(w *fieldWriter) {
	w.str("group", m.Group)
	w.str("host", m.Host)
	w.bool("calm", m.Healthy)
	w.bool("suspects", m.SuspectsPrimary)
	w.str("answered", m.Answered)
	w.duration("answer_age_us", m.AnswerAge)
	w.bool("sample_only", m.SampleOnly)
}

func (m *leaseRequest) field(name string, r *fieldReader) bool {
	switch name {
	case "group":
		return r.str(&m.Group)
	case "host":
		return r.str(&m.Host)
	case "calm":
		return r.bool(&m.Healthy)
	case "suspects":
		return r.bool(&m.SuspectsPrimary)
	case "answered":
		return r.str(&m.Answered)
	case "answer_age_us":
		return r.duration(&m.AnswerAge)
	case "sample_only":
		return r.bool(&m.SampleOnly)
	}
	return false
}

// leaseReply is a gateway.LeaseReply on the wire.
type leaseReply gateway.LeaseReply

func (m *leaseReply) fields(w *fieldWriter) {
	w.duration("granted_us", m.Granted)
	w.bool("writes_only", m.Restricted)
	w.str("target", m.Target)
	w.str("member", m.Member)
	w.uint("term", uint64(m.Term))
	w.message("position", (*positionMessage)(&m.Position))
	w.duration("age_us", m.Age)
}

func (m *leaseReply) field(name string, r *fieldReader) bool {
	switch name {
	case "granted_us":
		return r.duration(&m.Granted)
	case "writes_only":
		return r.bool(&m.Restricted)
	case "target":
		return r.str(&m.Target)
	case "member":
		return r.str(&m.Member)
	case "term":
		return readUint(r, &m.Term)
	case "position":
		r.message((*positionMessage)(&m.Position))
		return true
	case "age_us":
		return r.duration(&m.Age)
	}
	return false
}

// revokeLeaseRequest is a gateway.Revocation on the wire.
type revokeLeaseRequest gateway.Revocation

func (m *revokeLeaseRequest) fields(w *fieldWriter) {
	w.str("group", m.Group)
	w.str("member", m.Member)
	w.bool("planned", m.Planned)
	w.str("target", m.Target)
}

func (m *revokeLeaseRequest) field(name string, r *fieldReader) bool {
	switch name {
	case "group":
		return r.str(&m.Group)
	case "member":
		return r.str(&m.Member)
	case "planned":
		return r.bool(&m.Planned)
	case "target":
		return r.str(&m.Target)
	}
	return false
}
