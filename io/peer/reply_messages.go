package peer

import "pearlatch/internal/gateway"

// peerReplyMessage is a gateway.PeerReply on the wire.
type peerReplyMessage gateway.PeerReply

func (m *peerReplyMessage) fields(w *fieldWriter) {
	w.str("process", m.Process)
	w.uint("declined", uint64(m.Declined))
	rows := make([]rowMessage, len(m.Reply.Rows))
	for i, row := range m.Reply.Rows {
		rows[i] = rowMessage{row}
	}
	writeList(w, "rows", rows)
	w.str("signature", m.Reply.Signature)
	if f := m.Reply.Failure; f != nil {
		w.message("failure", (*failureMessage)(f))
	}
	w.uint("state", uint64(m.Reply.State))
	w.message("mark", (*positionMessage)(&m.LastWrite))
	w.uint("load_sequence", m.LoadSequence)
	w.uint("load_waiting", uint64(m.Load.Waiting))
	w.fraction("load_rate_u", m.Load.Rate)
	w.duration("load_delay_us", m.Load.Delay)
}

func (m *peerReplyMessage) field(name string, r *fieldReader) bool {
	switch name {
	case "process":
		return r.str(&m.Process)
	case "declined":
		return readUint(r, &m.Declined)
	case "rows":
		var list []rowMessage
		readList(r, &list)
		for _, row := range list {
			m.Reply.Rows = append(m.Reply.Rows, row.text)
		}
		return true
	case "signature":
		return r.str(&m.Reply.Signature)
	case "failure":
		m.Reply.Failure = &gateway.Failure{}
		r.message((*failureMessage)(m.Reply.Failure))
		return true
	case "state":
		return readUint(r, &m.Reply.State)
	case "mark":
		r.message((*positionMessage)(&m.LastWrite))
		return true
	case "load_sequence":
		return r.uint(&m.LoadSequence)
	case "load_waiting":
		return readUint(r, &m.Load.Waiting)
	case "load_rate_u":
		return r.fraction(&m.Load.Rate)
	case "load_delay_us":
		return r.duration(&m.Load.Delay)
	}
	return false
}

// rowMessage is a row of a reply on the wire.
type rowMessage struct{ text string }

func (m *rowMessage) fields(w *fieldWriter) { w.str("text", m.text) }

func (m *rowMessage) field(name string, r *fieldReader) bool {
	return name == "text" && r.str(&m.text)
}

// failureMessage is a gateway.Failure on the wire.
type failureMessage gateway.Failure

func (m *failureMessage) fields(w *fieldWriter) {
	w.uint("code", uint64(m.Code))
	w.str("detail", m.Detail)
}

func (m *failureMessage) field(name string, r *fieldReader) bool {
	switch name {
	case "code":
		return readUint(r, &m.Code)
	case "detail":
		return r.str(&m.Detail)
	}
	return false
}
