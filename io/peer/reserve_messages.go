package peer

import (
	"pearlatch/core/quota/reserve"
	"pearlatch/internal/quotas"
)

// reserveDemandMessage is a reserve.Demand on the wire.
type reserveDemandMessage reserve.Demand

func (m *reserveDemandMessage) fields(w *fieldWriter) {
	w.str("account", m.Account)
	w.uint("waiting", uint64(m.Waiting))
}

func (m *reserveDemandMessage) field(name string, r *fieldReader) bool {
	switch name {
	case "account":
		return r.str(&m.Account)
	case "waiting":
		return readUint(r, &m.Waiting)
	}
	return false
}

// reserveRequest is a quotas.ReserveRequest on the wire.
type reserveRequest quotas.ReserveRequest

func (m *reserveRequest) fields(w *fieldWriter) {
	w.str("shard", m.Shard)
	w.str("host", m.Host)
	w.str("process", m.Process)
	w.uint("id", m.Request.ID)
	list := make([]reserveDemandMessage, len(m.Request.Accounts))
	for i, d := range m.Request.Accounts {
		list[i] = reserveDemandMessage(d)
	}
	writeList(w, "accounts", list)
}

func (m *reserveRequest) field(name string, r *fieldReader) bool {
	switch name {
	case "shard":
		return r.str(&m.Shard)
	case "host":
		return r.str(&m.Host)
	case "process":
		return r.str(&m.Process)
	case "id":
		return r.uint(&m.Request.ID)
	case "accounts":
		var list []reserveDemandMessage
		readList(r, &list)
		for _, d := range list {
			m.Request.Accounts = append(m.Request.Accounts, reserve.Demand(d))
		}
		return true
	}
	return false
}

// reserveGrantMessage is a reserve.Grant on the wire.
type reserveGrantMessage reserve.Grant

func (m *reserveGrantMessage) fields(w *fieldWriter) {
	w.str("account", m.Account)
	w.uint("tokens", uint64(m.Tokens))
	w.duration("after_us", m.RetryAfter)
	w.duration("every_us", m.Interval)
}

func (m *reserveGrantMessage) field(name string, r *fieldReader) bool {
	switch name {
	case "account":
		return r.str(&m.Account)
	case "tokens":
		return readUint(r, &m.Tokens)
	case "after_us":
		return r.duration(&m.RetryAfter)
	case "every_us":
		return r.duration(&m.Interval)
	}
	return false
}

// reserveReply is a reserve.Reply on the wire.
type reserveReply reserve.Reply

func (m *reserveReply) fields(w *fieldWriter) {
	w.bool("declined", m.Declined)
	list := make([]reserveGrantMessage, len(m.Grants))
	for i, g := range m.Grants {
		list[i] = reserveGrantMessage(g)
	}
	writeList(w, "accounts", list)
}

func (m *reserveReply) field(name string, r *fieldReader) bool {
	switch name {
	case "declined":
		return r.bool(&m.Declined)
	case "accounts":
		var list []reserveGrantMessage
		readList(r, &list)
		for _, g := range list {
			m.Grants = append(m.Grants, reserve.Grant(g))
		}
		return true
	}
	return false
}
