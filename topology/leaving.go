package topology

import (
	"maps"
	"slices"
	"strconv"
	"time"
)

// leavingRetention is how long a leaving server is remembered after it was last
// listed: its entry may expire while the store is unavailable, and reappear without
// showing that the server is leaving.
const leavingRetention = 5 * time.Minute

// ServerStart identifies one start of a backend server.
type ServerStart struct {
	ID    string
	Start string // as returned by Server.StartID
}

// StartID tells apart the starts of a server that restarts under the same id.
func (s *Server) StartID() string { return strconv.FormatInt(s.Born.UnixMilli(), 36) }

// LeavingServers holds the servers whose responses or entries marked them as leaving. The
// entries may show this later than the responses or, while the store is unavailable, not at
// all; and after an entry has disappeared, one from before the server was leaving may
// appear. The zero value is ready to use. It is not safe for concurrent use.
type LeavingServers struct {
	byID map[string]leavingServer
}

type leavingServer struct {
	start      string
	lastSeen   time.Time // when it was last listed or added
	byResponse bool      // a response marked it, not only its entry
}

// Add records that a response marked a server as leaving, and returns whether this was not
// known yet.
func (l *LeavingServers) Add(now time.Time, s ServerStart) bool {
	return l.add(s, leavingServer{start: s.Start, lastSeen: now, byResponse: true})
}

// AddListed records the servers whose entries mark them as leaving.
func (l *LeavingServers) AddListed(now time.Time, listed []Server) {
	for i := range listed {
		s := &listed[i]
		if s.Leaving {
			l.add(ServerStart{s.ID, s.StartID()}, leavingServer{start: s.StartID(), lastSeen: now})
		}
	}
}

func (l *LeavingServers) add(s ServerStart, added leavingServer) bool {
	if l.byID == nil {
		l.byID = map[string]leavingServer{}
	}
	old, known := l.byID[s.ID]
	// An instance with an outdated server list may report an earlier start.
	if known && startedBefore(s.Start, old.start) {
		return false
	}
	added.byResponse = added.byResponse || known && old.start == s.Start && old.byResponse
	l.byID[s.ID] = added
	return !known || old.start != s.Start
}

// Mark returns the listed servers with the added ones marked as leaving, and leaves
// listed itself unchanged. It forgets those that have restarted or were not listed
// within leavingRetention.
func (l *LeavingServers) Mark(now time.Time, listed []Server) []Server {
	if len(l.byID) == 0 {
		return listed
	}
	// Remove expired servers first, as marking would renew them.
	maps.DeleteFunc(l.byID, func(_ string, added leavingServer) bool { return now.Sub(added.lastSeen) > leavingRetention })
	out := slices.Clone(listed)
	for i := range out {
		s := &out[i]
		added, known := l.byID[s.ID]
		switch {
		case !known, startedBefore(s.StartID(), added.start): // the entry may predate the restart
		case added.start != s.StartID():
			delete(l.byID, s.ID)
		default:
			s.Leaving = true
			added.lastSeen = now
			l.byID[s.ID] = added
		}
	}
	return out
}

// startedBefore reports whether the start with StartID a precedes the one with StartID b
// of the same server. It returns false if either cannot be parsed.
func startedBefore(a, b string) bool {
	x, errA := strconv.ParseInt(a, 36, 64)
	y, errB := strconv.ParseInt(b, 36, 64)
	return errA == nil && errB == nil && x < y
}

// Listed returns the servers marked by responses that are in the list with the same start.
func (l *LeavingServers) Listed(servers []Server) []ServerStart {
	var out []ServerStart
	for i := range servers {
		s := &servers[i]
		if added, known := l.byID[s.ID]; known && added.byResponse && added.start == s.StartID() {
			out = append(out, ServerStart{s.ID, added.start})
		}
	}
	return out
}
