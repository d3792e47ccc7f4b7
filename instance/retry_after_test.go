package instance_test

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"greengageferry/platform/standin"
)

const (
	// refusalRetryAfter is the Retry-After of the server's refusals.
	refusalRetryAfter = 3 * time.Second
	// refusalGrace is how long after a refusal the instance's requests are not counted,
	// and maxWithinRetryAfter how many it may send from then until refusalRetryAfter.
	refusalGrace        = 500 * time.Millisecond
	maxWithinRetryAfter = 2
)

// An instance that is refused with Retry-After must stop sending requests to that server
// until the time has passed. Instances must use the server again once it accepts requests.
func TestAServerThatAsksForAPauseGetsIt(t *testing.T) {
	d := deploy(t)
	d.startUpTo(noticeInstances)
	var mu sync.Mutex
	sender := map[string]int{} // instance by request id
	stopLoops := d.loopPerInstance(func(n int, r *runningInstance) {
		_, id, _ := d.send(r, standin.StreamPath, standin.BusyModel)
		mu.Lock()
		defer mu.Unlock()
		sender[id] = n
	})
	server := d.site.Servers[0]
	server.Refuse(refusalRetryAfter)
	time.Sleep(2*refusalRetryAfter + refusalRetryAfter/2)
	refused := server.Refusals()
	server.Refuse(0)
	stopLoops()
	require.NotEmpty(t, refused)
	for n, first := range refused {
		sent := 0
		for _, later := range refused[n:] {
			since := later.At.Sub(first.At)
			if sender[later.ID] == sender[first.ID] && since > refusalGrace && since < refusalRetryAfter {
				sent++
			}
		}
		require.LessOrEqual(t, sent, maxWithinRetryAfter, "from instance %d", sender[first.ID])
	}
	before := len(server.RunCounts())
	stop := d.streamLoad()
	d.waitUntil(func() bool { return len(server.RunCounts()) > before })
	stop()
}
