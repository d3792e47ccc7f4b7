package soak

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"greengageferry/platform/standin"
)

const (
	// maxMixedStreams is how many streams of a run may hold events of two software versions.
	maxMixedStreams = 2
	// minResumptions is from how many resumptions their share is checked, minResumedShare how
	// large it must be, relative to that of new streams.
	minResumptions  = 12
	minResumedShare = 0.9
	// touchTime is how long after its start an instance counts as in touch with the others.
	touchTime = 3 * time.Second
)

// receivedEvent is one event of a stream as its caller saw it.
type receivedEvent struct {
	id      int
	data    string
	version string // software version of the server that wrote it
	weights int64  // version of the model's weights that wrote it; 0: it doesn't say
	changed bool   // it announces that this version changed
}

// events returns the complete events of a stream's answer, and the incomplete rest.
func (r *Result) events() (events []receivedEvent, rest string) {
	parts := strings.Split(r.Body, "\n\n")
	for _, p := range parts[:len(parts)-1] {
		var e receivedEvent
		p, e.weights, e.changed = standin.CutWeights(p)
		head, data, _ := strings.Cut(p, "\n")
		if n, err := fmt.Sscanf(head, "id: %d", &e.id); n != 1 || err != nil {
			e.id = -1
		}
		e.data = strings.TrimPrefix(data, "data: ")
		_, e.version, _ = strings.Cut(e.data, " of ")
		events = append(events, e)
	}
	return events, parts[len(parts)-1]
}

// resumesAfter returns the number of the event after which the request resumes a stream, 0 if
// it begins one.
func (r *Result) resumesAfter() int {
	n, err := strconv.Atoi(r.Ask.LastEvent)
	if err != nil {
		return 0
	}
	return n
}

// streamID returns the id of the request that began the stream.
func (r *Result) streamID() string {
	if r.Ask.Resumes != "" {
		return r.Ask.Resumes
	}
	return r.Ask.ID
}

// checkVersions checks that streams go on only at the software version that began them, over
// all tries of their callers.
func (c *checker) checkVersions() {
	began := map[string]string{} // version by stream
	for n := range c.history.results {
		r := &c.history.results[n]
		if events, _ := r.events(); r.Kind.isStream() && r.Ask.Resumes == "" && len(events) > 0 {
			began[r.Ask.ID] = events[0].version
		}
	}
	mixed := map[string]string{}
	for n := range c.history.results {
		r := &c.history.results[n]
		if !r.Kind.isStream() {
			continue
		}
		events, _ := r.events()
		for _, e := range events {
			if v := began[r.streamID()]; e.version != v {
				mixed[r.streamID()] = fmt.Sprintf("%s began at %s, event %d in the answer to %s is of %s", r.streamID(), v, e.id, r.Ask.ID, e.version)
			}
		}
	}
	if len(mixed) <= maxMixedStreams {
		return
	}
	for _, detail := range mixed {
		c.violated("streams go on only at the software version that began them", "%d don't, such as: %s", len(mixed), detail)
		return
	}
}

// resumptions counts the requests that begin a stream, and those that resume one, with how many
// of each ran, though a server may have cut them short.
type resumptions struct {
	begun, begunServed, resumed, resumedServed int
}

// countResumptions counts the streams sent in a period to instances in touch. One that was killed
// meanwhile gives no answer and isn't in touch; a stream is taken up just after a kill, when the
// load balancer hasn't noticed it yet, as few new ones begin. Requests that are refused since servers crashed while they ran don't count: each cut connection may look like a
// crash, and a stream that is taken up has been cut before, as no new one has.
func (h *History) countResumptions(from, to time.Time) resumptions {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out resumptions
	for n := range h.results {
		r := &h.results[n]
		if r.Kind != KindStream || r.Sent.Before(from) || !r.Sent.Before(to) || r.Sent.Sub(r.InstanceStarted) < touchTime || r.Status == 0 || r.underSuspicion() {
			continue
		}
		if r.Ask.Resumes == "" {
			out.begun++
			out.begunServed += r.ran()
		} else {
			out.resumed++
			out.resumedServed += r.ran()
		}
	}
	return out
}

// underSuspicion reports whether the request was refused because it may crash servers.
func (r *Result) underSuspicion() bool {
	reason := strings.TrimSpace(r.Body)
	return r.Status == http.StatusServiceUnavailable && (reason == "quarantined" || reason == "suspect")
}

// ran returns 1 if a server ran the request, whether or not it cut the answer short, else 0.
func (r *Result) ran() int {
	if r.Status == http.StatusOK || r.Status == http.StatusBadGateway {
		return 1
	}
	return 0
}

// check returns an error text if resumptions bring events much more seldom than new streams.
func (n resumptions) check() string {
	if n.resumed < minResumptions || n.begun == 0 {
		return ""
	}
	if share, begins := float64(n.resumedServed)/float64(n.resumed), float64(n.begunServed)/float64(n.begun); share < minResumedShare*begins {
		return fmt.Sprintf("%d of %d resumptions go on, %d of %d new streams begin", n.resumedServed, n.resumed, n.begunServed, n.begun)
	}
	return ""
}

// refusedResumptions counts the resumptions sent since a time that no server ran, by their answer.
func (h *History) refusedResumptions(from time.Time) map[string]int {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := map[string]int{}
	for n := range h.results {
		if r := &h.results[n]; r.Ask.Resumes != "" && !r.Sent.Before(from) && r.ran() == 0 {
			out[fmt.Sprint(r.Status, " ", strings.TrimSpace(r.Body))]++
		}
	}
	return out
}
