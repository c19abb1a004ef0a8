package peer

// linkRequest is a request on a lane of a link, the end of the lane, or a question what
// became of a request.
type linkRequest struct {
	lane        uint64
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

// linkReply answers a linkRequest.
type linkReply struct {
	lane     uint64
	recalled *recallReply
	lease    *leaseReply
	// leaseRevoked is true once a lease was given back.
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
		m.peerReplyMessage.fields(w)
	}
}

func (m *linkReply) field(name string, r *fieldReader) bool {
	switch name {
	case "lane":
		return r.uint(&m.lane)
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
