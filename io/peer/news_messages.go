package peer

import (
	"net/netip"

	"pearlatch/core/kv"
	"pearlatch/internal/follow"
)

// feedRequest asks for a feed.
type feedRequest struct {
	after kv.Revision
	// packs is true if the asker reads lists that are compressed as a whole.
	packs bool
}

func (m *feedRequest) fields(w *fieldWriter) {
	w.uint("after", uint64(m.after))
	w.bool("packs", m.packs)
}

func (m *feedRequest) field(name string, r *fieldReader) bool {
	switch name {
	case "after":
		return readNumber(r, &m.after)
	case "packs":
		return r.bool(&m.packs)
	}
	return false
}

// newsMessage is follow.News on the wire.
type newsMessage struct {
	follow.StoreUpdate
	// packer compresses large values, and if packs is true whole lists.
	packer *packer
	packs  bool
}

func (m *newsMessage) fields(w *fieldWriter) {
	w.uint("revision", uint64(m.Revision))
	w.bool("whole", m.Full)
	w.duration("age_us", m.Age)
	elsewhere := make([]addrMessage, len(m.Referrals))
	for i, a := range m.Referrals {
		elsewhere[i] = addrMessage{a}
	}
	writeList(w, "elsewhere", elsewhere)
	if m.packs && m.Full {
		packed, err := m.packer.packList(m.Snapshot)
		w.keep(err)
		w.bytes("packed_items", packed)
		return
	}
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
		return r.bool(&m.Full)
	case "age_us":
		return r.duration(&m.Age)
	case "items":
		m.Items = readItems(r)
		return true
	case "packed_items":
		var packed []byte
		r.bytes(&packed)
		items, err := unpackList(packed)
		r.keep(err)
		m.Items = items
		return true
	case "elsewhere":
		var list []addrMessage
		readList(r, &list)
		for _, a := range list {
			m.Referrals = append(m.Referrals, a.AddrPort)
		}
		return true
	}
	return false
}

func readItems(r *fieldReader) []kv.Item {
	var list []itemMessage
	readList(r, &list)
	out := make([]kv.Item, len(list))
	for i, each := range list {
		out[i] = each.Item
	}
	return out
}

// listMessage is a list of keys of the store, to be compressed as a whole.
type listMessage struct{ items []kv.Item }

func (m *listMessage) fields(w *fieldWriter) {
	items := make([]itemMessage, len(m.items))
	for i, each := range m.items {
		items[i] = itemMessage{Item: each}
	}
	writeList(w, "items", items)
}

func (m *listMessage) field(name string, r *fieldReader) bool {
	if name != "items" {
		return false
	}
	m.items = readItems(r)
	return true
}

// addrMessage is a host's address for other hosts.
type addrMessage struct{ netip.AddrPort }

func (m *addrMessage) fields(w *fieldWriter) { w.str("addr", m.String()) }

func (m *addrMessage) field(name string, r *fieldReader) bool {
	return name == "addr" && readAddr(r, &m.AddrPort)
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
