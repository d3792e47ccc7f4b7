package caller

import (
	"context"
	"sync"
	"time"

	"greengageferry/decide"
	"greengageferry/infra"
	"greengageferry/record"
)

const (
	// crashesAtOnce is more than the requests that one instance has at a server
	// that dies, so that an outage of the log holds up no other server's.
	crashesAtOnce = 64
	// statusTime is how long the question waits whether a server died. A dead
	// process refuses the connection at once; this bounds what a lost network
	// adds to a retry.
	statusTime = 300 * time.Millisecond
	// bootEvery is how often a server in use is asked which boot it is: a
	// restart that nobody's request caused is mistaken for a crash only if it
	// falls between the last question and the attempt.
	bootEvery = 30 * time.Second
)

// flights knows what this instance has in flight at each backend server, and
// which boot each was last seen in.
type flights struct {
	mu      sync.Mutex
	servers map[string]*flight
}

type flight struct {
	count int
	boot  string
	asked time.Time // when its boot was last asked for
}

func newFlights() *flights { return &flights{servers: map[string]*flight{}} }

// begin counts an attempt in, and returns the boot that the server is known in.
func (f *flights) begin(server string) (boot string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.at(server)
	e.count++
	return e.boot
}

func (f *flights) end(server string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.at(server).count--
}

// at returns the server's entry. The lock is held.
func (f *flights) at(server string) *flight {
	e := f.servers[server]
	if e == nil {
		e = &flight{}
		f.servers[server] = e
	}
	return e
}

// shouldAsk says whether it is time to ask the server for its boot.
func (f *flights) shouldAsk(server string, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.at(server)
	if !e.asked.IsZero() && now.Sub(e.asked) < bootEvery {
		return false
	}
	e.asked = now
	return true
}

// booted takes in the boot that a server was seen in now, and returns the one
// known before and the requests in flight there.
func (f *flights) booted(server, boot string, now time.Time) (before string, together int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.at(server)
	before, together = e.boot, e.count
	if boot != "" {
		e.boot = boot
		e.asked = now
	}
	return before, together
}

// keepOnly forgets servers that are neither in the table nor in use.
func (f *flights) keepOnly(t *decide.Table) {
	known := make(map[string]bool, len(t.Servers))
	for _, s := range t.Servers {
		known[s.ID] = true
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, e := range f.servers {
		if !known[id] && e.count == 0 {
			delete(f.servers, id)
		}
	}
}

// Booted tells of the boot that a backend server was seen in, where the entry
// instance asks for its status anyway.
func (s *Server) Booted(server, boot string) { s.flights.booted(server, boot, time.Now()) }

// learnBoot asks for the server's boot while an attempt runs there, so that its
// death can be told from a broken connection.
func (s *Server) learnBoot(server decide.Server) {
	if !s.flights.shouldAsk(server.ID, time.Now()) {
		return
	}
	s.cancels.put(cancelOrder{server: server}) // no attempt: only the boot; full: asked again after bootEvery
}

// diedUnder says whether the server died while it ran the attempt, and reports
// it. It did if the connection broke without an answer and the server then
// isn't reachable or is in another boot. The boot to compare with is the one
// known when the attempt began: what was learned since may be of the next boot.
// A plain service tells no boot: its deaths can't be told from a broken
// connection and aren't reported.
func (s *Server) diedUnder(ctx context.Context, c *call, boot string, e *attemptError) bool {
	broke := e.failure.Reason == infra.ReasonUnreachable && e.failure.Effect == infra.EffectUnknown
	if !broke || e.gone || ctx.Err() != nil || c.target.Service {
		return false
	}
	statusCtx, cancel := context.WithTimeout(ctx, statusTime)
	defer cancel()
	status, err := s.opts.Engine.Status(statusCtx, c.server.Addr)
	learned, together := s.flights.booted(c.server.ID, status.Boot, time.Now())
	before := boot
	if before == "" {
		before = learned
	}
	if err == nil && (before == "" || before == status.Boot) {
		return false
	}
	if err != nil && failureOf(err).Reason != infra.ReasonUnreachable {
		return false // it answers, or is only slow
	}
	s.metrics.count("crashes")
	s.reportCrash(&record.Crash{
		Fingerprint: c.fingerprint[:],
		Server:      c.server.ID,
		Boot:        before,
		Together:    uint32(together),
		AtUnixMs:    time.Now().UnixMilli(),
	})
	return true
}

// reportCrash has a server's death put on the log; no request waits for that.
// Ring full: dropped and counted. The next death under the same request is
// reported anew.
func (s *Server) reportCrash(c *record.Crash) {
	if !s.crashes.put(c) {
		s.metrics.count("crash_reports_dropped")
	}
}
