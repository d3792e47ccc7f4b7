package decide

import "time"

// ObserveRefusalLimit records how many refusals per second a server says that it survives; 0:
// it says nothing. It fails if it has to refuse more for want of room. The servers of a pool
// say the same.
func (s *Scheduler) ObserveRefusalLimit(server string, perSecond int) (changed bool) {
	srv := s.fleet.servers[server]
	if srv == nil || srv.pool.refusalLimit == perSecond {
		return false
	}
	srv.pool.refusalLimit = perSecond
	return true
}

// refusalSpacing returns how long this instance sends a server nothing after a refusal, 0 if
// the server survives any number. The instances share that number evenly: without a pause, a
// server that is full for a second refuses each of them many times, and fails.
func (s *serverState) refusalSpacing() time.Duration {
	limit := s.pool.refusalLimit
	if limit <= 0 {
		return 0
	}
	return time.Duration(max(s.quota.instances, 1)) * time.Second / time.Duration(limit)
}

// exceedsRefusalShare reports whether this instance has so many requests at a server that it
// could be refused more than its share of what the server survives. Load reports are too old
// to show that a server has just filled up, so they aren't used for more than an even share
// of its slots.
func (s *serverState) exceedsRefusalShare() bool {
	if s.pool.refusalLimit <= 0 {
		return false
	}
	instances := max(s.quota.instances, 1)
	return s.own >= s.Slots/instances+max(1, s.pool.refusalLimit/instances)
}
