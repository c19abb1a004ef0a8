package quota

// allFaults holds the kinds of faults and recoveries. Each seed uses a few of them, so that these coincide often.
var allFaults = []func(s *simulation, h *simHost){
	func(s *simulation, h *simHost) { s.restart(h) },
	func(s *simulation, h *simHost) {
		for _, each := range s.hosts {
			s.restart(each)
		}
		s.acquireRole(h)
	},
	func(s *simulation, h *simHost) {
		if h.up = !h.up; h.up {
			s.restart(h)
			return
		}
		s.logf("%s stops", h.id)
	},
	func(s *simulation, h *simHost) {
		h.unresponsive = !h.unresponsive
		s.logf("%s unresponsive: %v", h.id, h.unresponsive)
	},
	func(s *simulation, h *simHost) {
		h.partition = s.random.IntN(2)
		s.logf("%s in partition %d", h.id, h.partition)
	},
	func(s *simulation, h *simHost) {
		h.storeUnreachable = !h.storeUnreachable
		s.logf("%s can't reach the store: %v", h.id, h.storeUnreachable)
	},
	func(s *simulation, _ *simHost) {
		s.lossRate, s.delayRate = s.random.Float64()*0.5, s.random.Float64()*0.5
	},
	func(s *simulation, h *simHost) {
		h.loadPerStep = s.random.Float64() * 3 * s.quota.Rate * stepDuration.Seconds()
		s.logf("%s gets %.2f operations per step", h.id, h.loadPerStep)
	},
	func(s *simulation, _ *simHost) { s.chooseReserveHolders() },
	func(s *simulation, h *simHost) {
		for _, each := range s.hosts {
			if each.gone {
				return
			}
		}
		h.gone = true
		s.logf("%s is gone for good", h.id)
	},
	func(s *simulation, h *simHost) {
		if s.random.IntN(4) == 0 {
			s.logf("a host of the previous version rewrites the record, or the store is restored")
			s.recordedHolders = nil
		}
		s.transferRole(h)
	},
	func(s *simulation, h *simHost) { s.transferRole(h) },
	func(s *simulation, h *simHost) { s.splitNetwork(h) },
	func(s *simulation, _ *simHost) {
		for _, each := range s.hosts {
			each.partition, each.unresponsive, each.storeUnreachable = 0, false, false
		}
		s.lossRate, s.delayRate = 0, 0
		s.logf("all faults end")
	},
}

// injectFault injects one of the seed's faults on a random host.
func (s *simulation) injectFault() {
	h := s.hosts[s.random.IntN(len(s.hosts))]
	s.faults[s.random.IntN(len(s.faults))](s, h)
}

// splitNetwork separates the coordinator and some other hosts from the store, and some of them also from the other
// hosts. It then moves the role to the given host, before or after the coordinator's lease has ended.
func (s *simulation) splitNetwork(h *simHost) {
	for _, o := range s.hosts {
		o.storeUnreachable = o != h && (o.fencingToken == s.latestToken || s.random.IntN(2) == 0)
		o.partition = 0
		if o.storeUnreachable && s.random.IntN(3) > 0 {
			o.partition = 1
		}
	}
	s.logf("%s is separated from some of the other hosts", h.id)
	s.transferRole(h)
}

// transferRole moves the role to the host: because the coordinator handed it back, because the role's entry was removed
// without the coordinator's knowledge, or because the coordinator has not renewed its lease in time.
func (s *simulation) transferRole(h *simHost) {
	if !h.up || h.unresponsive || h.storeUnreachable {
		return
	}
	var former *simHost
	for _, o := range s.hosts {
		if o.fencingToken == s.latestToken {
			former = o
		}
	}
	if former == h {
		return
	}
	if former != nil && !former.storeUnreachable && s.random.IntN(2) == 0 {
		former.shard.SetGranter(nil) // it handed back the role
	}
	s.acquireRole(h)
}
