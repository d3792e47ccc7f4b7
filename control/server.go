package control

import (
	"slices"
	"time"

	"greengageferry/infra"
	"greengageferry/replay"
)

// orderKey names an order apart from its fencing number.
type orderKey struct {
	kind infra.OrderKind
	item infra.Key
}

// sentOrder is an order that this instance sent and that a status hasn't shown
// to be done.
type sentOrder struct {
	item  infra.Item
	fence infra.Offset
	at    time.Time
	tries int
}

// server is what this instance knows of one backend server: what it read of
// it, and what it sent to it.
type server struct {
	id   string
	addr string

	status      *infra.ServerStatus // the newest, or nil
	asked       time.Time           // when the newest status was asked for
	silentSince time.Time           // the first failure since it last answered
	failures    int                 // in a row
	polling     bool
	pollAt      time.Time

	assignment infra.Offset // the newest that was read
	readAt     time.Time    // when it was read: what its DropDelay counts from
	since      map[infra.Key]time.Time
	sent       map[orderKey]sentOrder

	missingSince  time.Time // unlisted since
	leavingListed bool      // the list says that it is leaving

	calmStatus *infra.ServerStatus // with calmWant: found quiet
	calmWant   *replay.Server

	confirmedFor infra.Offset
	confirmedAt  time.Time // when every earlier orderer was known to be past confirmedFor
}

func newServer(id string) *server {
	return &server{id: id, since: map[infra.Key]time.Time{}, sent: map[orderKey]sentOrder{}}
}

// assigned takes in the server's newest assignment, read at now.
func (s *server) assigned(now time.Time, want *replay.Server) {
	if want.Assignment == s.assignment {
		return
	}
	s.assignment, s.readAt, s.pollAt = want.Assignment, now, time.Time{}
	clear(s.sent)
	since := map[infra.Key]time.Time{}
	for _, i := range want.Assigned {
		if at, known := s.since[i.Key()]; known {
			since[i.Key()] = at
		} else {
			since[i.Key()] = now
		}
	}
	s.since = since
}

// polled takes in the answer to a status call that was asked at asked.
func (s *server) polled(asked time.Time, status infra.ServerStatus) {
	s.polling = false
	if asked.Before(s.asked) {
		return
	}
	if s.status != nil && s.status.Boot != status.Boot {
		clear(s.sent) // what was loaded is gone
	}
	s.status, s.asked = &status, asked
	s.silentSince, s.failures = time.Time{}, 0
	for key := range s.sent {
		if s.done(key) {
			delete(s.sent, key)
		}
	}
}

// unanswered takes in that a status call failed.
func (s *server) unanswered(now time.Time) {
	s.polling = false
	s.failures++
	if s.silentSince.IsZero() {
		s.silentSince = now
	}
}

// forgetStatus forgets what the server said and didn't say.
func (s *server) forgetStatus() {
	s.status, s.asked = nil, time.Time{}
	s.silentSince, s.failures = time.Time{}, 0
	s.pollAt = time.Time{}
}

// done says whether the newest status shows the order to be carried out.
func (s *server) done(key orderKey) bool {
	_, there := s.resident(key.item)
	switch key.kind {
	case infra.OrderLoad:
		return there
	case infra.OrderUnload:
		return !there
	}
	return infra.Offset(s.status.Fence) >= s.assignment
}

func (s *server) resident(key infra.Key) (infra.ResidentItem, bool) {
	if s.status == nil {
		return infra.ResidentItem{}, false
	}
	i := slices.IndexFunc(s.status.Items, func(r infra.ResidentItem) bool { return r.Key() == key })
	if i < 0 {
		return infra.ResidentItem{}, false
	}
	return s.status.Items[i], true
}

// ready returns the items of want that the newest status shows as ready.
func (s *server) ready(want []infra.Item) []infra.Item {
	var out []infra.Item
	for _, i := range want {
		if r, there := s.resident(i.Key()); there && r.State == infra.ItemReady {
			out = append(out, i)
		}
	}
	return out
}

// quiet says whether the server is as it should be: it answers, everything
// that is assigned is ready and on the log as such, and nothing else is there.
func (s *server) quiet(want *replay.Server, ignoresFence bool) bool {
	if s.status == nil || s.failures > 0 || len(s.sent) > 0 || !s.missingSince.IsZero() {
		return false
	}
	if want == nil {
		return len(s.status.Items) == 0
	}
	fenced := ignoresFence || infra.Offset(s.status.Fence) >= want.Assignment
	n := len(want.Assigned)
	return fenced && s.assignment == want.Assignment && s.status.Boot == want.Boot && len(want.Lingering) == 0 &&
		len(want.Ready) == n && len(s.status.Items) == n && len(s.ready(want.Assigned)) == n
}

// silent says for how long the server hasn't answered.
func (s *server) silent(now time.Time) time.Duration {
	if s.silentSince.IsZero() {
		return 0
	}
	return now.Sub(s.silentSince)
}

// foreign returns what the newest status shows beyond what the log knows of:
// loaded before the server's first assignment, or by an order from before a
// restart. Its memory is taken all the same.
func (s *server) foreign(want *replay.Server) []infra.Item {
	if s.status == nil {
		return nil
	}
	known := map[infra.Key]bool{}
	if want != nil {
		for _, i := range slices.Concat(want.Assigned, want.Lingering) {
			known[i.Key()] = true
		}
	}
	var out []infra.Item
	for _, r := range s.status.Items {
		if !known[r.Key()] {
			out = append(out, r.Item)
		}
	}
	return out
}
