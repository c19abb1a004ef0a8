package peer

import (
	"math"

	"pearlatch/core/quota"
	"pearlatch/internal/quotas"
)

// microsPerUnit is the factor by which numbers of operations and rates are multiplied on the wire.
const microsPerUnit = 1e6

// fraction writes a number in millionths, and a negative one as zero.
func (w *fieldWriter) fraction(name string, v float64) {
	w.uint(name, uint64(math.Round(max(0, v)*microsPerUnit)))
}

// fraction reads a number that fieldWriter.fraction wrote.
func (r *fieldReader) fraction(v *float64) bool {
	var n uint64
	r.uint(&n)
	*v = float64(n) / microsPerUnit
	return true
}

// accountRequestMessage is a quota.AccountRequest on the wire. It omits the quota, which the granter takes from its own
// configuration.
type accountRequestMessage quota.AccountRequest

func (m *accountRequestMessage) fields(w *fieldWriter) {
	w.str("account", m.Account)
	w.uint("holding", m.HeldSerial)
	w.fraction("tokens_u", m.Tokens)
	w.uint("back", uint64(m.Returned))
	w.fraction("demand_u", m.Demand)
	w.uint("waiting", uint64(m.Waiting))
	w.fraction("room_u", m.Prefetch)
	w.fraction("reserve_u", m.Reserve)
}

func (m *accountRequestMessage) field(name string, r *fieldReader) bool {
	switch name {
	case "account":
		return r.str(&m.Account)
	case "holding":
		return r.uint(&m.HeldSerial)
	case "tokens_u":
		return r.fraction(&m.Tokens)
	case "back":
		return readUint(r, &m.Returned)
	case "demand_u":
		return r.fraction(&m.Demand)
	case "waiting":
		return readUint(r, &m.Waiting)
	case "room_u":
		return r.fraction(&m.Prefetch)
	case "reserve_u":
		return r.fraction(&m.Reserve)
	}
	return false
}

// quotaRequest is a quotas.Request on the wire.
type quotaRequest quotas.Request

func (m *quotaRequest) fields(w *fieldWriter) {
	w.str("shard", m.Shard)
	w.str("host", m.Host)
	w.str("process", m.Process)
	w.uint("id", m.Request.ID)
	w.uint("heard", m.Request.LastAnswered)
	w.uint("token", uint64(m.Request.FencingToken))
	w.duration("keepalive_us", m.Request.KeepaliveInterval)
	list := make([]accountRequestMessage, len(m.Request.Accounts))
	for i, q := range m.Request.Accounts {
		list[i] = accountRequestMessage(q)
	}
	writeList(w, "questions", list)
}

func (m *quotaRequest) field(name string, r *fieldReader) bool {
	switch name {
	case "shard":
		return r.str(&m.Shard)
	case "host":
		return r.str(&m.Host)
	case "process":
		return r.str(&m.Process)
	case "id":
		return r.uint(&m.Request.ID)
	case "heard":
		return r.uint(&m.Request.LastAnswered)
	case "token":
		return readUint(r, &m.Request.FencingToken)
	case "keepalive_us":
		return r.duration(&m.Request.KeepaliveInterval)
	case "questions":
		var list []accountRequestMessage
		readList(r, &list)
		for _, q := range list {
			m.Request.Accounts = append(m.Request.Accounts, quota.AccountRequest(q))
		}
		return true
	}
	return false
}

// grantMessage is a quota.Grant on the wire.
type grantMessage quota.Grant

func (m *grantMessage) fields(w *fieldWriter) {
	w.str("account", m.Account)
	w.uint("serial", m.Serial)
	w.fraction("rate_u", m.Rate)
	w.fraction("cap_u", m.Cap)
	w.duration("lasts_us", m.TTL)
	w.uint("tokens", uint64(m.Tokens))
	w.fraction("ahead_u", m.Prefetched)
	w.duration("after_us", m.RetryAfter)
	w.duration("every_us", m.Interval)
}

func (m *grantMessage) field(name string, r *fieldReader) bool {
	switch name {
	case "account":
		return r.str(&m.Account)
	case "serial":
		return r.uint(&m.Serial)
	case "rate_u":
		return r.fraction(&m.Rate)
	case "cap_u":
		return r.fraction(&m.Cap)
	case "lasts_us":
		return r.duration(&m.TTL)
	case "tokens":
		return readUint(r, &m.Tokens)
	case "ahead_u":
		return r.fraction(&m.Prefetched)
	case "after_us":
		return r.duration(&m.RetryAfter)
	case "every_us":
		return r.duration(&m.Interval)
	}
	return false
}

// quotaReply is a quotas.Response on the wire.
type quotaReply quotas.Response

func (m *quotaReply) fields(w *fieldWriter) {
	w.bool("declined", m.Declined)
	w.bool("asleep", m.Response.Suspended)
	w.duration("active_after_us", m.Response.ActivateAfter)
	w.bool("partial", m.Response.Partial)
	list := make([]grantMessage, len(m.Response.Grants))
	for i, g := range m.Response.Grants {
		list[i] = grantMessage(g)
	}
	writeList(w, "grants", list)
}

func (m *quotaReply) field(name string, r *fieldReader) bool {
	switch name {
	case "declined":
		return r.bool(&m.Declined)
	case "asleep":
		return r.bool(&m.Response.Suspended)
	case "active_after_us":
		return r.duration(&m.Response.ActivateAfter)
	case "partial":
		return r.bool(&m.Response.Partial)
	case "grants":
		var list []grantMessage
		readList(r, &list)
		for _, g := range list {
			m.Response.Grants = append(m.Response.Grants, quota.Grant(g))
		}
		return true
	}
	return false
}

// tellRequest is a quotas.ReportRequest on the wire.
type tellRequest quotas.ReportRequest

func (m *tellRequest) fields(w *fieldWriter) {
	w.str("shard", m.Shard)
	w.str("host", m.Host)
	w.uint("token", uint64(m.Token))
}

func (m *tellRequest) field(name string, r *fieldReader) bool {
	switch name {
	case "shard":
		return r.str(&m.Shard)
	case "host":
		return r.str(&m.Host)
	case "token":
		return readUint(r, &m.Token)
	}
	return false
}

// holdingMessage is a quota.Holding on the wire.
type holdingMessage quota.Holding

func (m *holdingMessage) fields(w *fieldWriter) {
	w.str("account", m.Account)
	w.uint("serial", m.Portion.Serial)
	w.fraction("rate_u", m.Portion.Rate)
	w.fraction("cap_u", m.Portion.Cap)
	w.duration("lasts_us", m.TTL)
}

func (m *holdingMessage) field(name string, r *fieldReader) bool {
	switch name {
	case "account":
		return r.str(&m.Account)
	case "serial":
		return r.uint(&m.Portion.Serial)
	case "rate_u":
		return r.fraction(&m.Portion.Rate)
	case "cap_u":
		return r.fraction(&m.Portion.Cap)
	case "lasts_us":
		return r.duration(&m.TTL)
	}
	return false
}

// tellReply is a quotas.ReportResponse on the wire.
type tellReply quotas.ReportResponse

func (m *tellReply) fields(w *fieldWriter) {
	w.str("process", m.Process)
	w.bool("declined", m.Declined)
	list := make([]holdingMessage, len(m.Holdings))
	for i, h := range m.Holdings {
		list[i] = holdingMessage(h)
	}
	writeList(w, "holds", list)
}

func (m *tellReply) field(name string, r *fieldReader) bool {
	switch name {
	case "process":
		return r.str(&m.Process)
	case "declined":
		return r.bool(&m.Declined)
	case "holds":
		var list []holdingMessage
		readList(r, &list)
		for _, h := range list {
			m.Holdings = append(m.Holdings, quota.Holding(h))
		}
		return true
	}
	return false
}
