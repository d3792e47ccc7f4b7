package caller

import (
	"context"
	"sync"
	"time"

	"greengageferry/decide"
	"greengageferry/infra"
	"greengageferry/record"
	"greengageferry/supervise"
)

const (
	// maxConcurrentCrashReports is more than the requests that one instance has at
	// one server, so that during a log outage the reports of one crashed server
	// don't block those of others.
	maxConcurrentCrashReports = 64
	// crashCheckTimeout limits the status query that tells whether a server
	// crashed. A dead process refuses the connection at once; the timeout limits
	// the delay that a lost network adds to a retry.
	crashCheckTimeout = 300 * time.Millisecond
	// crashRecheckInterval is the pause between further queries if the first one
	// didn't tell, crashRecheckTimeout limits each, and crashRecheckLimit all of
	// them: on a busy machine a server that was restarted after a crash answers
	// only after seconds.
	crashRecheckInterval = 500 * time.Millisecond
	crashRecheckTimeout  = 2 * time.Second
	crashRecheckLimit    = 10 * time.Second
	// bootCheckInterval is the time between queries for the boot ID of a server in
	// use. A restart that no request caused is mistaken for a crash only if it
	// happens between the last query and the attempt.
	bootCheckInterval = 30 * time.Second
)

// serverTracker tracks this instance's attempts in flight at each backend server and
// the server's last known boot ID, which changes whenever the server restarts.
type serverTracker struct {
	mu     sync.Mutex
	states map[string]*serverState
}

type serverState struct {
	inFlight      int       // attempts
	boot          string    // empty if unknown
	bootCheckedAt time.Time // when the boot ID was last queried or reported
}

func newServerTracker() *serverTracker { return &serverTracker{states: map[string]*serverState{}} }

// begin counts a new attempt and returns the server's known boot ID.
func (t *serverTracker) begin(server string) (boot string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	st := t.state(server)
	st.inFlight++
	return st.boot
}

func (t *serverTracker) end(server string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state(server).inFlight--
}

// state returns the server's state, creating it if needed. The caller holds the lock.
func (t *serverTracker) state(server string) *serverState {
	st := t.states[server]
	if st == nil {
		st = &serverState{}
		t.states[server] = st
	}
	return st
}

// bootCheckDue reports whether it is time to query the server's boot ID, and records
// that it will be queried now.
func (t *serverTracker) bootCheckDue(server string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	st := t.state(server)
	if !st.bootCheckedAt.IsZero() && now.Sub(st.bootCheckedAt) < bootCheckInterval {
		return false
	}
	st.bootCheckedAt = now
	return true
}

// updateBoot records the server's boot ID, if not empty. It returns the previously
// known one and the number of attempts in flight at the server.
func (t *serverTracker) updateBoot(server, boot string, now time.Time) (previous string, attempts int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	st := t.state(server)
	previous, attempts = st.boot, st.inFlight
	if boot != "" {
		st.boot = boot
		st.bootCheckedAt = now
	}
	return previous, attempts
}

// retainListed drops servers that are neither in the table nor in use.
func (t *serverTracker) retainListed(table *decide.Table) {
	known := make(map[string]bool, len(table.Servers))
	for _, s := range table.Servers {
		known[s.ID] = true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, st := range t.states {
		if !known[id] && st.inFlight == 0 {
			delete(t.states, id)
		}
	}
}

// UpdateBoot records a backend server's boot ID. The entry instance calls it with
// the status that it queries for other reasons.
func (s *Server) UpdateBoot(server, boot string) {
	s.serverTracker.updateBoot(server, boot, time.Now())
}

// refreshBoot queries the server's boot ID while an attempt runs there, so that a
// crash can be distinguished from a broken connection.
func (s *Server) refreshBoot(server decide.Server) {
	if !s.serverTracker.bootCheckDue(server.ID, time.Now()) {
		return
	}
	s.cancels.put(cancelRequest{server: server}) // without an attempt: only a boot query; if the queue is full, the next query follows after bootCheckInterval
}

// crashCheck is an attempt whose connection broke without an answer, with what was known
// about its server when it began.
type crashCheck struct {
	fingerprint []byte
	server      decide.Server
	boot        string // empty if unknown
	together    uint32 // attempts in flight at the server
	brokeAt     time.Time
}

// report returns the report of the crash.
func (c *crashCheck) report() *record.Crash {
	return &record.Crash{Fingerprint: c.fingerprint, Server: c.server.ID, Boot: c.boot, Together: c.together, AtUnixMs: c.brokeAt.UnixMilli()}
}

// crashResult is what a crashCheck found.
type crashResult int

const (
	crashUnknown crashResult = iota // the server doesn't answer in time
	crashed
	notCrashed
)

// detectCrash reports whether the server crashed while running the attempt, and
// sends a crash report if so. If the server doesn't answer in time, recheckCrash goes on
// asking, and no request waits for it. A plain service has no boot ID: its crashes can't
// be distinguished from a broken connection and aren't reported.
func (s *Server) detectCrash(ctx context.Context, c *call, boot string, e *attemptError) bool {
	connBroken := e.failure.Reason == infra.ReasonUnreachable && e.failure.Effect == infra.EffectUnknown
	if !connBroken || e.disconnected || ctx.Err() != nil || c.target.Service {
		return false
	}
	check := crashCheck{fingerprint: c.fingerprint[:], server: c.server, boot: boot, brokeAt: time.Now()}
	switch s.checkCrash(ctx, &check, crashCheckTimeout) {
	case crashed:
		s.reportCrash(check.report())
		return true
	case crashUnknown:
		if !s.crashChecks.put(check) {
			s.metrics.count("crash_reports_dropped") // the next crash caused by the same request is checked again
		}
	}
	return false
}

// checkCrash queries the server's status. A crash is assumed if the server is now
// unreachable or has another boot ID than the one known when the attempt began, since one
// learned later may belong to the next boot.
func (s *Server) checkCrash(ctx context.Context, check *crashCheck, timeout time.Duration) crashResult {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	status, err := s.opts.Engine.Status(ctx, check.server.Addr)
	lastKnown, inFlight := s.serverTracker.updateBoot(check.server.ID, status.Boot, time.Now())
	if check.boot == "" {
		check.boot = lastKnown
	}
	check.together = max(check.together, uint32(inFlight))
	if err == nil {
		if check.boot == "" || check.boot == status.Boot {
			return notCrashed
		}
		return crashed
	}
	switch failureOf(err).Reason {
	case infra.ReasonUnreachable:
		return crashed
	case infra.ReasonTimeout, infra.ReasonCanceled:
		return crashUnknown
	}
	return notCrashed // the server answers
}

// recheckCrash queries a server until it is known whether it crashed, and sends a crash
// report if so.
func (s *Server) recheckCrash(ctx context.Context, check crashCheck) {
	for time.Since(check.brokeAt) < crashRecheckLimit {
		if !supervise.Pause(ctx, crashRecheckInterval) {
			return
		}
		switch s.checkCrash(ctx, &check, crashRecheckTimeout) {
		case crashed:
			s.reportCrash(check.report())
			return
		case notCrashed:
			return
		}
	}
	s.metrics.count("crash_checks_unanswered")
	s.opts.Log.WithField("server", check.server.ID).Warn("server didn't tell whether it crashed")
}

// reportCrash queues a crash report for the log; no request waits for it. If the
// queue is full the report is dropped and counted. The next crash caused by the
// same request is reported again.
func (s *Server) reportCrash(c *record.Crash) {
	s.metrics.count("crashes")
	if !s.crashes.put(c) {
		s.metrics.count("crash_reports_dropped")
	}
}
