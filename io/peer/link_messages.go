package peer

// linkRequest is a request on a lane of a link, the end of the lane, or a question what
// became of a request.
type linkRequest struct {
	lane   uint64
	closes bool
	recall *recallRequest
	lease  *leaseRequest
	ends   *endLeaseRequest
	quota  *quotaRequest
	tell   *tellRequest
	laneRequest
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
	case m.ends != nil:
		w.message("end_lease", m.ends)
	case m.quota != nil:
		w.message("quota", m.quota)
	case m.tell != nil:
		w.message("tell", m.tell)
	default:
		m.laneRequest.fields(w)
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
		m.ends = &endLeaseRequest{}
		r.message(m.ends)
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
	return m.laneRequest.field(name, r)
}

// linkReply answers a linkRequest.
type linkReply struct {
	lane     uint64
	recalled *recallReply
	lease    *leaseReply
	// ended is true once a lease was given back.
	ended bool
	quota *quotaReply
	told  *tellReply
	laneReply
}

func (m *linkReply) fields(w *fieldWriter) {
	w.uint("lane", m.lane)
	switch {
	case m.recalled != nil:
		w.message("recalled", m.recalled)
	case m.lease != nil:
		w.message("lease", m.lease)
	case m.ended:
		w.bool("ended", true)
	case m.quota != nil:
		w.message("quota", m.quota)
	case m.told != nil:
		w.message("told", m.told)
	default:
		m.laneReply.fields(w)
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
		return r.bool(&m.ended)
	case "quota":
		m.quota = &quotaReply{}
		r.message(m.quota)
		return true
	case "told":
		m.told = &tellReply{}
		r.message(m.told)
		return true
	}
	return m.laneReply.field(name, r)
}
