package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"greengageferry/platform/standin"
)

const (
	// maxResumptions is how often a caller takes up one stream.
	maxResumptions = 3
	// resumePause is the time until it does: that of a new connection and some processing.
	resumePause = 10 * time.Millisecond
)

// resume takes up a stream that broke off after its first event, through instances drawn at
// random, until it is complete or can't be resumed.
func (g *loadGenerator) resume(rng *rand.Rand, broken Result) {
	for range maxResumptions {
		ask, ok := g.resumption(broken)
		if !ok {
			return
		}
		time.Sleep(resumePause)
		instance := g.pickInstance(rng)
		if instance < 0 {
			return
		}
		p := g.deployment.Instances[instance]
		next := Result{Ask: ask, Kind: KindStream, Instance: p.Node.Name, Boot: p.Boot(), InstanceStarted: p.StartedAt(), Sent: time.Now()}
		next.request(&http.Transport{DisableKeepAlives: true, DisableCompression: true}, p.CallerLink.Addr, callerTimeout)
		g.deployment.History.addResult(next)
		broken = next
	}
}

// resumption returns the request that takes up a stream after its last complete event. It
// returns false if the stream can't be resumed, or need not be.
func (g *loadGenerator) resumption(broken Result) (standin.Ask, bool) {
	last := broken.lastEvent()
	canceled := errors.Is(broken.Err, context.DeadlineExceeded)
	if broken.Kind != KindStream || broken.Served() || canceled || last == 0 || last == eventsPerStream {
		return standin.Ask{}, false
	}
	ask := broken.Ask
	ask.ID = fmt.Sprint("r", g.requestCount.Add(1))
	ask.Resumes, ask.LastEvent = broken.streamID(), strconv.Itoa(last)
	return ask, true
}
