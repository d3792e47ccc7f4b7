package control

import (
	"slices"
	"time"

	"greengageferry/infra"
	"greengageferry/replay"
)

// orderKey identifies an order regardless of its fencing token.
type orderKey struct {
	kind infra.OrderKind
	item infra.Key
}

// sentOrder is an order that this instance sent and whose effect no status has
// shown yet.
type sentOrder struct {
	item  infra.Item
	fence infra.Offset
	at    time.Time
	tries int
}

// server is this instance's state for one backend server: what it observed of the
// server and which orders it sent.
type server struct {
	id   string
	addr string

	status        *infra.ServerStatus // the newest, or nil
	statusAskedAt time.Time           // when the newest status was requested
	silentSince   time.Time           // first failed poll since the last answer; zero: none
	failures      int                 // consecutive failed polls
	polling       bool
	pollAt        time.Time

	assignment       infra.Offset            // offset of the newest assignment read
	assignmentReadAt time.Time               // start of UnloadDelay
	assignedAt       map[infra.Key]time.Time // by assigned item: when it was first read as assigned
	sent             map[orderKey]sentOrder  // orders of the newest assignment without visible effect

	unlistedSince   time.Time // when it was first seen off the list; zero: listed
	listedAsLeaving bool      // listed in a state other than live

	syncedStatus *infra.ServerStatus // inSync was true for this status and syncedWant
	syncedWant   *replay.Server

	confirmedAssignment infra.Offset // assignment that all orderers needed have confirmed; 0: none
	confirmedAt         time.Time    // when all earlier orderers had confirmed confirmedAssignment
}

func newServer(id string) *server {
	return &server{id: id, assignedAt: map[infra.Key]time.Time{}, sent: map[orderKey]sentOrder{}}
}

// observeAssignment updates the server with its newest assignment, read at now.
func (s *server) observeAssignment(now time.Time, want *replay.Server) {
	if want.Assignment == s.assignment {
		return
	}
	s.assignment, s.assignmentReadAt, s.pollAt = want.Assignment, now, time.Time{}
	clear(s.sent)
	assignedAt := map[infra.Key]time.Time{}
	for _, i := range want.Assigned {
		if at, known := s.assignedAt[i.Key()]; known {
			assignedAt[i.Key()] = at
		} else {
			assignedAt[i.Key()] = now
		}
	}
	s.assignedAt = assignedAt
}

// pollDone updates the server with a status requested at statusAskedAt.
func (s *server) pollDone(statusAskedAt time.Time, status infra.ServerStatus) {
	s.polling = false
	if statusAskedAt.Before(s.statusAskedAt) {
		return
	}
	if s.status != nil && s.status.Boot != status.Boot {
		clear(s.sent) // a restarted server is empty
	}
	s.status, s.statusAskedAt = &status, statusAskedAt
	s.silentSince, s.failures = time.Time{}, 0
	for key := range s.sent {
		if s.isDone(key) {
			delete(s.sent, key)
		}
	}
}

// pollFailed updates the server after a failed status call.
func (s *server) pollFailed(now time.Time) {
	s.polling = false
	s.failures++
	if s.silentSince.IsZero() {
		s.silentSince = now
	}
}

// resetStatus discards the status and the failures, so that the server is polled
// again.
func (s *server) resetStatus() {
	s.status, s.statusAskedAt = nil, time.Time{}
	s.silentSince, s.failures = time.Time{}, 0
	s.pollAt = time.Time{}
}

// isDone reports whether the newest status shows the order's effect.
func (s *server) isDone(key orderKey) bool {
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

// readyItems returns the items of want that the newest status shows as ready.
func (s *server) readyItems(want []infra.Item) []infra.Item {
	var out []infra.Item
	for _, i := range want {
		if r, there := s.resident(i.Key()); there && r.State == infra.ItemReady {
			out = append(out, i)
		}
	}
	return out
}

// inSync reports whether the server matches its assignment: it answers, all
// assigned items are ready and recorded as ready, and no others are resident.
func (s *server) inSync(want *replay.Server, ignoresFence bool) bool {
	if s.status == nil || s.failures > 0 || len(s.sent) > 0 || !s.unlistedSince.IsZero() {
		return false
	}
	if want == nil {
		return len(s.status.Items) == 0
	}
	fenced := ignoresFence || infra.Offset(s.status.Fence) >= want.Assignment
	n := len(want.Assigned)
	return fenced && s.assignment == want.Assignment && s.status.Boot == want.Boot && len(want.Lingering) == 0 &&
		len(want.Ready) == n && len(s.status.Items) == n && len(s.readyItems(want.Assigned)) == n
}

// silentFor returns how long the server hasn't answered; 0 if it answers.
func (s *server) silentFor(now time.Time) time.Duration {
	if s.silentSince.IsZero() {
		return 0
	}
	return now.Sub(s.silentSince)
}

// untrackedItems returns the items in the newest status that are neither assigned
// nor lingering: loaded before the server's first assignment, or by an order from
// before a restart. They use memory all the same.
func (s *server) untrackedItems(want *replay.Server) []infra.Item {
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
