package decide

import "time"

// Move gives a queued request another target, where it is dispatched, queued or refused. It returns
// false, and changes nothing, if the request isn't queued or no target has that name.
func (s *Scheduler) Move(now time.Time, request, target string) ([]Decision, bool) {
	s.out = s.out[:0]
	req := s.requests[request]
	if req == nil || req.heapIndex < 0 || req.Target == target || s.fleet.targets[target] == nil {
		return nil, false
	}
	s.removeQueued(req)
	s.retarget(req, target)
	s.route(now, req)
	return s.out, true
}
