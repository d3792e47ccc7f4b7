package instance_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"greengageferry/platform/standin"
)

const (
	// crashingPartServers is how many servers hold the model, and crashingPartInstances how many
	// instances there are.
	crashingPartServers   = 4
	crashingPartInstances = 4
	crashingPartCallers   = 16
	crashingPartInterval  = 300 * time.Millisecond // between two requests with the part
	crashingPartLength    = 25 * time.Second
	// stableWindow is how long after the fifth crash any number of requests with the part may
	// still reach servers, and maxCrashesLater how many may after that.
	stableWindow    = 3 * time.Second
	maxCrashesLater = 3
)

// partsLoad sends streams with shared parts in their prompts, of which no two are alike.
type partsLoad struct {
	*deployment
	sent, served atomic.Int64 // sound requests
}

// sendParts sends a request for a stream whose prompt shares the parts with others.
func (l *partsLoad) sendParts(r *runningInstance, shared ...string) bool {
	n := l.lastRequestID.Add(1)
	req, err := http.NewRequest("POST", "http://"+r.node.CallersAddr+standin.StreamPath, strings.NewReader(fmt.Sprint("body ", n)))
	if err != nil {
		return false
	}
	req.Host = standin.Host
	h := req.Header
	h.Set("Greengageferry-Request-Id", fmt.Sprintf("%016x", n))
	h.Set("Greengageferry-Deadline-Ms", "3000")
	h.Set("Greengageferry-Model", standin.BusyModel)
	h.Set("Greengageferry-Token-Usage", "100,10")
	h.Set("Greengageferry-Prompt-Prefix", strings.Join(shared, ":100,")+fmt.Sprintf(":100,%x:7", n))
	res, err := r.client.Do(req)
	if err != nil {
		return false
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	return err == nil && res.StatusCode == 200 && strings.Count(string(body), "\n\n") == 10
}

// sound runs callers whose requests share the first part with each other until done is closed.
func (l *partsLoad) sound(callers *sync.WaitGroup, done <-chan struct{}) {
	for caller := range crashingPartCallers {
		callers.Go(func() {
			for n := caller; ; n++ {
				select {
				case <-done:
					return
				case <-time.After(50 * time.Millisecond):
				}
				l.sent.Add(1)
				if l.sendParts(l.instances[n%len(l.instances)], "f1457", fmt.Sprint("5e55", caller)) {
					l.served.Add(1)
				}
			}
		})
	}
}

// share returns which share of the sound requests is served while f runs.
func (l *partsLoad) share(f func()) float64 {
	sent, served := l.sent.Load(), l.served.Load()
	f()
	return float64(l.served.Load()-served) / float64(l.sent.Load()-sent)
}

// Guards against requests of which one shared part crashes each server that begins to answer them
// ending one server after the other: no two of them are alike, and sound ones share their first
// part.
func TestPartOfPromptsThatCrashesServersEndsFewOfThem(t *testing.T) {
	d := deployWith(t, standin.SiteOptions{BusyServers: crashingPartServers, PlainServers: 1, Restart: time.Second})
	for n := len(d.instances); n < crashingPartInstances; n++ {
		r := d.start(fmt.Sprint("front-", n), d.site.Domains[n%len(d.site.Domains)])
		d.waitUntil(func() bool { return d.ready(r) })
	}
	l := &partsLoad{deployment: d}
	for _, r := range d.instances {
		d.waitUntil(func() bool { return l.sendParts(r, "f1457") })
	}
	var callers sync.WaitGroup
	defer callers.Wait()
	done := make(chan struct{})
	defer close(done)
	l.sound(&callers, done)
	before := l.share(func() { time.Sleep(3 * time.Second) })

	var fifth time.Time
	later, stop := 0, time.Now().Add(crashingPartLength)
	callers.Go(func() {
		for n := 0; time.Now().Before(stop); n++ {
			callers.Go(func() {
				l.sendParts(d.instances[n%len(d.instances)], "f1457", standin.CrashPart, fmt.Sprint("5e55", n%3))
			})
			time.Sleep(crashingPartInterval)
		}
	})
	sampled := 0
	sample := func() {
		crashes := d.site.Crashes()
		if fifth.IsZero() && crashes >= 5 {
			fifth = time.Now()
		}
		if !fifth.IsZero() && time.Since(fifth) > stableWindow {
			later += crashes - sampled
		}
		sampled = crashes
	}
	until := func(at func() time.Time) {
		for time.Now().Before(at()) {
			sample()
			time.Sleep(20 * time.Millisecond)
		}
	}
	until(func() time.Time { // without a fifth crash, from the time that five would take
		if fifth.IsZero() {
			return stop.Add(2*stableWindow - crashingPartLength + 5*crashingPartInterval)
		}
		return fifth.Add(2 * stableWindow)
	})
	during := l.share(func() { until(func() time.Time { return stop }) })
	t.Logf("%d crashes, %d of them later than %s after the fifth; sound requests served %.3f before, %.3f from twice that on", sampled, later, stableWindow, before, during)
	require.Positive(t, sampled)
	require.LessOrEqual(t, later, maxCrashesLater)
	require.GreaterOrEqual(t, during, 0.9*before)
}
