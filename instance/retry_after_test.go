package instance_test

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"greengageferry/platform/standin"
)

const (
	// restTime is the time for which the server wants no request from an instance that
	// it refused, restSlack when that begins to be judged, and restMost how many it may
	// still get.
	restTime  = 3 * time.Second
	restSlack = 500 * time.Millisecond
	restMost  = 2
)

// A server that refuses and asks for a pause gets nothing from that instance until
// the pause is over.
func TestAServerThatAsksForAPauseGetsIt(t *testing.T) {
	d := deploy(t)
	d.grow(noticeInstances)
	var mu sync.Mutex
	sender := map[string]int{} // instance by request
	var asking sync.WaitGroup
	ended := make(chan struct{})
	for n, r := range d.instances {
		asking.Go(func() {
			for {
				select {
				case <-ended:
					return
				case <-time.After(sampleEvery):
				}
				_, id, _ := d.ask(r, standin.StreamPath, standin.BusyModel)
				mu.Lock()
				sender[id] = n
				mu.Unlock()
			}
		})
	}
	server := d.site.Servers[0]
	server.Refuse(restTime)
	time.Sleep(2*restTime + restTime/2)
	refused := server.Refused()
	server.Refuse(0)
	close(ended)
	asking.Wait()
	require.NotEmpty(t, refused)
	for n, first := range refused {
		got := 0
		for _, later := range refused[n:] {
			since := later.At.Sub(first.At)
			if sender[later.ID] == sender[first.ID] && since > restSlack && since < restTime {
				got++
			}
		}
		require.LessOrEqual(t, got, restMost, "from instance %d", sender[first.ID])
	}
	ran := len(server.Ran())
	stop := d.streams()
	d.until(func() bool { return len(server.Ran()) > ran })
	stop()
}
