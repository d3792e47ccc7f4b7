package residency

import "time"

// forgetStart drops the state of an earlier start of the server: the models that it held and the
// orders that it accepted. Unanswered orders stay, since they may still reach the new start. A call
// in flight becomes void.
func (s *server) forgetStart() {
	s.stateKnown, s.stateAt, s.sequence = false, time.Time{}, 0
	s.adapterChanges, s.executing, s.priorStateSeen = nil, nil, false
	s.draining, s.dropped, s.firstSeen = nil, nil, nil
	s.callVoid = s.callInFlight
}

// endCall records that the call in flight ended, and reports whether its result is void, since it
// may be of an earlier start of the server.
func (s *server) endCall() (void bool) {
	void = s.callVoid
	s.callInFlight, s.orderInFlight, s.callVoid = false, nil, false
	return void
}
