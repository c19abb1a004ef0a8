package peer

import (
	"net/netip"

	"github.com/pkg/errors"

	"pearlatch/core/kv"
	"pearlatch/internal/follow"
)

// feedRequest is follow.FeedRequest on the wire.
type feedRequest struct {
	follow.FeedRequest
	// readsCompressedLists is true if the sender can read an item list that is compressed as a whole.
	readsCompressedLists bool
}

func (m *feedRequest) fields(w *fieldWriter) {
	w.uint("after", uint64(m.After))
	w.bool("packs", m.readsCompressedLists)
	if m.Receiver.IsValid() {
		receiver, err := packAddrs([]netip.AddrPort{m.Receiver})
		w.setErr(err)
		w.bytes("receiver", receiver)
	}
}

func (m *feedRequest) field(name string, r *fieldReader) bool {
	switch name {
	case "after":
		return readUint(r, &m.After)
	case "packs":
		return r.bool(&m.readsCompressedLists)
	case "receiver":
		var packed []byte
		r.bytes(&packed)
		addrs, err := unpackAddrs(packed)
		if err == nil && len(addrs) != 1 {
			err = errors.Errorf("the receiver of a feed has %d addresses, want one", len(addrs))
		}
		r.setErr(err)
		if err == nil {
			m.Receiver = addrs[0]
		}
		return true
	}
	return false
}

// newsMessage is follow.StoreUpdate on the wire.
type newsMessage struct {
	follow.StoreUpdate
	compressor *compressor
	// compressList is true if the items of a full update are compressed as a whole. Otherwise, and in other updates, each
	// large value is compressed.
	compressList bool
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
	path, err := packAddrs(m.Path)
	w.setErr(err)
	w.bytes("path", path)
	if m.compressList && m.Full {
		compressed, err := m.compressor.compressSnapshot(m.Snapshot)
		w.setErr(err)
		w.bytes("packed_items", compressed)
		return
	}
	items := make([]itemMessage, len(m.Items))
	for i, each := range m.Items {
		compressed, err := m.compressor.compress(each)
		w.setErr(err)
		items[i] = itemMessage{each, compressed}
	}
	writeList(w, "items", items)
}

func (m *newsMessage) field(name string, r *fieldReader) bool {
	switch name {
	case "revision":
		return readUint(r, &m.Revision)
	case "whole":
		return r.bool(&m.Full)
	case "age_us":
		return r.duration(&m.Age)
	case "items":
		m.Items = readItems(r)
		return true
	case "packed_items":
		var compressed []byte
		r.bytes(&compressed)
		items, err := decompressItems(compressed)
		r.setErr(err)
		m.Items = items
		return true
	case "path":
		var packed []byte
		r.bytes(&packed)
		path, err := unpackAddrs(packed)
		r.setErr(err)
		m.Path = path
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

// packAddrs packs addresses, each as its length in one byte and its binary form. A list of messages would take four times as
// much, and the path is sent with each update.
func packAddrs(addrs []netip.AddrPort) ([]byte, error) {
	var out []byte
	for _, a := range addrs {
		b, err := a.MarshalBinary()
		if err != nil {
			return nil, errors.Wrapf(err, "pack address %s", a)
		}
		out = append(append(out, byte(len(b))), b...)
	}
	return out, nil
}

// unpackAddrs returns the addresses that packAddrs packed.
func unpackAddrs(packed []byte) ([]netip.AddrPort, error) {
	var out []netip.AddrPort
	for len(packed) > 0 {
		n := 1 + int(packed[0])
		if n > len(packed) {
			return nil, errors.Errorf("a packed address of %d bytes has %d left", n-1, len(packed)-1)
		}
		var a netip.AddrPort
		if err := a.UnmarshalBinary(packed[1:n]); err != nil {
			return nil, errors.Wrap(err, "unpack an address")
		}
		out, packed = append(out, a), packed[n:]
	}
	return out, nil
}

// readItems reads a list of items.
func readItems(r *fieldReader) []kv.Item {
	var list []itemMessage
	readList(r, &list)
	out := make([]kv.Item, len(list))
	for i, each := range list {
		out[i] = each.Item
	}
	return out
}

// listMessage is a list of items of the store that is encoded by itself, to be compressed as a whole.
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

// addrMessage is the address of a host for other hosts, on the wire.
type addrMessage struct{ netip.AddrPort }

func (m *addrMessage) fields(w *fieldWriter) { w.str("addr", m.String()) }

func (m *addrMessage) field(name string, r *fieldReader) bool {
	return name == "addr" && readAddr(r, &m.AddrPort)
}

// itemMessage is an item of the store on the wire.
type itemMessage struct {
	kv.Item
	// compressed is the compressed value. If it is not nil, it is sent in place of the value.
	compressed []byte
}

func (m *itemMessage) fields(w *fieldWriter) {
	w.str("key", m.Key)
	if m.compressed == nil {
		w.bytes("value", m.Value)
	}
	w.bytes("packed", m.compressed)
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
		r.bytes(&m.compressed)
		value, err := inflate(m.compressed)
		r.setErr(err)
		m.Value = value
		return true
	case "revision":
		return readUint(r, &m.Revision)
	case "created":
		return readUint(r, &m.Created)
	case "removed":
		return r.bool(&m.Removed)
	}
	return false
}
