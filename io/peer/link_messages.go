package peer

// linkRequest is a message to the host that serves a link. It holds one of the fields below lane, and a forwarded request if
// none of them is set.
type linkRequest struct {
	// lane identifies the stream within the link.
	lane uint64
	// closes is true if the stream is closed.
	closes      bool
	recall      *recallRequest
	lease       *leaseRequest
	revokeLease *revokeLeaseRequest
	quota       *quotaRequest
	tell        *tellRequest
	peerRequestMessage
}

func (m *linkRequest) fields(w *fieldWriter) {
	w.uint("lane", m.lane)
	switch {
	case m.closes:
		w.bool("closes", true)
	case m.recall != nil:
		w.message("recall", m.recall)
	case m.lease != nil:
		w.message("lease", m.lease)
	case m.revokeLease != nil:
		w.message("end_lease", m.revokeLease)
	case m.quota != nil:
		w.message("quota", m.quota)
	case m.tell != nil:
		w.message("tell", m.tell)
	default:
		m.peerRequestMessage.fields(w)
	}
}

func (m *linkRequest) field(name string, r *fieldReader) bool {
	switch name {
	case "lane":
		return r.uint(&m.lane)
	case "closes":
		return r.bool(&m.closes)
	case "recall":
		m.recall = &recallRequest{}
		r.message(m.recall)
		return true
	case "lease":
		m.lease = &leaseRequest{}
		r.message(m.lease)
		return true
	case "end_lease":
		m.revokeLease = &revokeLeaseRequest{}
		r.message(m.revokeLease)
		return true
	case "quota":
		m.quota = &quotaRequest{}
		r.message(m.quota)
		return true
	case "tell":
		m.tell = &tellRequest{}
		r.message(m.tell)
		return true
	}
	return m.peerRequestMessage.field(name, r)
}

// linkReply answers a linkRequest. It holds one of the fields below lane, and the reply to a forwarded request if none of them
// is set.
type linkReply struct {
	// lane identifies the stream that the request came on.
	lane uint64
	// serial is that of the forwarded request that is answered. It is zero in the other replies, and in those of hosts of
	// earlier versions.
	serial   uint64
	recalled *recallReply
	lease    *leaseReply
	// leaseRevoked is true if the host has given up a lease.
	leaseRevoked bool
	quota        *quotaReply
	told         *tellReply
	peerReplyMessage
}

func (m *linkReply) fields(w *fieldWriter) {
	w.uint("lane", m.lane)
	switch {
	case m.recalled != nil:
		w.message("recalled", m.recalled)
	case m.lease != nil:
		w.message("lease", m.lease)
	case m.leaseRevoked:
		w.bool("ended", true)
	case m.quota != nil:
		w.message("quota", m.quota)
	case m.told != nil:
		w.message("told", m.told)
	default:
		if m.serial != 0 {
			w.uint("serial", m.serial)
		}
		m.peerReplyMessage.fields(w)
	}
}

func (m *linkReply) field(name string, r *fieldReader) bool {
	switch name {
	case "lane":
		return r.uint(&m.lane)
	case "serial":
		return r.uint(&m.serial)
	case "recalled":
		m.recalled = &recallReply{}
		r.message(m.recalled)
		return true
	case "lease":
		m.lease = &leaseReply{}
		r.message(m.lease)
		return true
	case "ended":
		return r.bool(&m.leaseRevoked)
	case "quota":
		m.quota = &quotaReply{}
		r.message(m.quota)
		return true
	case "told":
		m.told = &tellReply{}
		r.message(m.told)
		return true
	}
	return m.peerReplyMessage.field(name, r)
}
