package peer

import (
	"pearlatch/core/kv"
	"pearlatch/internal/gateway"
)

// feedRequest asks for a feed.
type feedRequest struct{ after kv.Revision }

func (m *feedRequest) fields(w *fieldWriter) { w.uint("after", uint64(m.after)) }

func (m *feedRequest) field(name string, r *fieldReader) bool {
	return name == "after" && readNumber(r, &m.after)
}

// newsMessage is gateway.News on the wire.
type newsMessage struct {
	gateway.News
	// packer compresses large values.
	packer *packer
}

func (m *newsMessage) fields(w *fieldWriter) {
	w.uint("revision", uint64(m.Revision))
	w.bool("whole", m.Whole)
	w.duration("age_us", m.Age)
	items := make([]itemMessage, len(m.Items))
	for i, each := range m.Items {
		packed, err := m.packer.pack(each)
		w.keep(err)
		items[i] = itemMessage{each, packed}
	}
	writeList(w, "items", items)
}

func (m *newsMessage) field(name string, r *fieldReader) bool {
	switch name {
	case "revision":
		return readNumber(r, &m.Revision)
	case "whole":
		return r.bool(&m.Whole)
	case "age_us":
		return r.duration(&m.Age)
	case "items":
		var list []itemMessage
		readList(r, &list)
		for _, i := range list {
			m.Items = append(m.Items, i.Item)
		}
		return true
	}
	return false
}

// itemMessage is a key of the store on the wire. If packed is not empty it stands for
// the value.
type itemMessage struct {
	kv.Item
	packed []byte
}

func (m *itemMessage) fields(w *fieldWriter) {
	w.str("key", m.Key)
	if m.packed == nil {
		w.bytes("value", m.Value)
	}
	w.bytes("packed", m.packed)
	w.uint("revision", uint64(m.Revision))
	w.uint("created", uint64(m.Created))
	w.bool("removed", m.Removed)
}

func (m *itemMessage) field(name string, r *fieldReader) bool {
	switch name {
	case "key":
		return r.str(&m.Key)
	case "value":
		return r.bytes(&m.Value)
	case "packed":
		r.bytes(&m.packed)
		value, err := inflate(m.packed)
		r.keep(err)
		m.Value = value
		return true
	case "revision":
		return readNumber(r, &m.Revision)
	case "created":
		return readNumber(r, &m.Created)
	case "removed":
		return r.bool(&m.Removed)
	}
	return false
}
