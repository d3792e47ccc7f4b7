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

// refusalSpacing returns the least time between two refusals of this instance's requests by
// the server, 0 if it survives any number. The instances share the number: without it a
// server that is full for a second refuses each instance's requests many times, and fails.
// Where it survives many, an instance still has one at a time.
func (s *serverState) refusalSpacing() time.Duration {
	limit := s.pool.refusalLimit
	if limit <= 0 {
		return 0
	}
	return time.Duration(max(s.quota.instances, 1)) * time.Second / time.Duration(limit)
}

// refusalRoom bounds how many requests this instance may have at a server on trial, which the
// server may refuse together: its share of the refusals that the server survives.
func (s *serverState) refusalRoom() int {
	return max(1, s.pool.refusalLimit/max(s.quota.instances, 1))
}

// mayBeRefused reports whether a further request could be refused together with more others
// than this instance's share. Reports on the load of a pool that says that it fails are not
// trusted beyond an even share of the slots.
func (s *serverState) mayBeRefused() bool {
	if s.pool.refusalLimit <= 0 {
		return false
	}
	share := s.Slots / max(s.quota.instances, 1)
	return s.own >= share+s.refusalRoom()
}
