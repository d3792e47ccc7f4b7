package relay

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/singleflight"
	"golang.org/x/sys/unix"

	"greengageferry/decide"
	"greengageferry/netconn"
	"greengageferry/quarantine"
)

const (
	// crashCheckTimeout bounds one dial. The address of a process that has ended refuses a
	// connection within a round trip; of a machine that isn't reached nothing is known.
	crashCheckTimeout = 200 * time.Millisecond
	// dialResultTTL is how long a dial's result is used for further broken connections to
	// the same server. They break together.
	dialResultTTL = 100 * time.Millisecond
	// closingTime is how long after the first the other connections of a process that ended
	// may still seem open.
	closingTime = 20 * time.Millisecond
)

// crashVerdict says whether a server crashed.
type crashVerdict int

const (
	notKnown          crashVerdict = iota // its address isn't reached, or nobody says anything of it
	endedInOrder                          // it was leaving, or is no longer listed
	goesOn                                // an older connection to it is open
	presumablyCrashed                     // all connections broke, but its address accepts new ones
	surelyCrashed                         // all connections broke, and its address refuses new ones
)

// crashed reports whether the verdict counts as a crash.
func (v crashVerdict) crashed() bool { return v == presumablyCrashed || v == surelyCrashed }

// crashVerdictNames are the verdicts as logs and other instances name them.
var crashVerdictNames = map[crashVerdict]string{
	notKnown: "not_known", endedInOrder: "ended_in_order", goesOn: "goes_on", presumablyCrashed: "presumably_crashed", surelyCrashed: "crashed",
}

// crashVerdictNamed returns the verdict with the name, notKnown if there is none.
func crashVerdictNamed(name string) crashVerdict {
	for verdict, n := range crashVerdictNames {
		if n == name {
			return verdict
		}
	}
	return notKnown
}

// dialResult is how a server's address answered.
type dialResult int

const (
	dialUnanswered dialResult = iota // the server isn't reached: nothing is known of it
	dialRefused
	dialAccepted // by the server, its next start, or another process, even if it was reset at once
)

// crashChecks finds out whether servers whose connections broke have crashed. A process that
// ends breaks all its connections. Its address refuses new ones until it is back, which may
// be sooner than anyone asks. A connection that is reset on its way, or by a server that goes
// on, leaves others open, some of them opened well before. It is safe for concurrent use.
type crashChecks struct {
	dial netconn.DialFunc
	// openBefore returns how many connections to the server are open that were opened before
	// the given time.
	openBefore func(server string, at time.Time) int
	dials      singleflight.Group // by server id

	mu      sync.Mutex
	results map[string]recentDial // by server id
}

// recentDial is the result of a dial that has just ended.
type recentDial struct {
	at     time.Time
	result dialResult
}

// crashSigns are the times that a verdict goes by.
type crashSigns struct {
	brokeAt     time.Time // when a connection broke
	openBefore  time.Time // what was opened before and is still open shows that the server goes on
	dialedAfter time.Time // results of earlier dials don't count
}

// judge reports whether a server crashed when one of its connections broke at the given time.
func (k *crashChecks) judge(s decide.Server, brokeAt time.Time) crashVerdict {
	return k.judgeBy(s, crashSigns{
		brokeAt: brokeAt, openBefore: brokeAt.Add(-quarantine.SurvivalMargin), dialedAfter: time.Now().Add(-dialResultTTL),
	})
}

// judgeBy reports whether a server crashed by the given signs.
func (k *crashChecks) judgeBy(s decide.Server, by crashSigns) crashVerdict {
	if k.openBefore(s.ID, by.openBefore) > 0 {
		time.Sleep(time.Until(by.brokeAt.Add(closingTime)))
	}
	if k.openBefore(s.ID, by.openBefore) > 0 {
		return goesOn
	}
	switch k.dialServer(s, by.dialedAfter) {
	case dialRefused:
		return surelyCrashed
	case dialAccepted:
		return presumablyCrashed
	}
	return notKnown
}

// dialServer dials the server's address, unless the result of a dial is known that ended after the
// given time. Callers that ask at the same time share one dial.
func (k *crashChecks) dialServer(s decide.Server, after time.Time) dialResult {
	if r, ok := k.recent(s.ID, after); ok {
		return r
	}
	result, _, _ := k.dials.Do(s.ID, func() (any, error) {
		r := k.dialAddr(s.Addr)
		k.keep(s.ID, recentDial{time.Now(), r})
		return r, nil
	})
	return result.(dialResult)
}

// recent returns the result of a dial that has just ended, after the given time.
func (k *crashChecks) recent(server string, after time.Time) (dialResult, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	r, ok := k.results[server]
	return r.result, ok && r.at.After(after) && time.Since(r.at) < dialResultTTL
}

// keep stores a result and drops those that are no longer used.
func (k *crashChecks) keep(server string, r recentDial) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.results == nil {
		k.results = map[string]recentDial{}
	}
	for id, old := range k.results {
		if time.Since(old.at) >= dialResultTTL {
			delete(k.results, id)
		}
	}
	k.results[server] = r
}

func (k *crashChecks) dialAddr(addr string) dialResult {
	ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
	defer cancel()
	conn, err := k.dial(ctx, "tcp4", addr)
	switch {
	case err == nil:
		_ = conn.Close() // it was opened for the check alone
		return dialAccepted
	case errors.Is(err, unix.ECONNREFUSED):
		return dialRefused
	case isTimeout(err) || errors.Is(err, unix.EHOSTUNREACH) || errors.Is(err, unix.ENETUNREACH):
		return dialUnanswered
	}
	return dialAccepted
}
