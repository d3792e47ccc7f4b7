package soak

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

const (
	// maxMixedStreams is how many streams of a run may hold events of two software versions.
	maxMixedStreams = 2
	// minResumptions is from how many resumptions their share is checked, minResumedShare how
	// large it must be, relative to that of new streams.
	minResumptions  = 12
	minResumedShare = 0.9
)

// receivedEvent is one event of a stream as its caller saw it.
type receivedEvent struct {
	id      int
	data    string
	version string // software version of the server that wrote it
}

// events returns the complete events of a stream's answer, and the incomplete rest.
func (r *Result) events() (events []receivedEvent, rest string) {
	parts := strings.Split(r.Body, "\n\n")
	for _, p := range parts[:len(parts)-1] {
		var e receivedEvent
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
// of each brought an event.
type resumptions struct {
	begun, begunServed, resumed, resumedServed int
}

// countResumptions counts the streams sent in a period at whose version at least two servers
// serve, as serving says.
func (h *History) countResumptions(from, to time.Time, serving func(version string) bool) resumptions {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out resumptions
	began := map[string]string{}
	for n := range h.results {
		r := &h.results[n]
		events, _ := r.events()
		if r.Kind != KindStream {
			continue
		}
		if r.Ask.Resumes == "" && len(events) > 0 {
			began[r.Ask.ID] = events[0].version
		}
		if r.Sent.Before(from) || !r.Sent.Before(to) {
			continue
		}
		switch {
		case r.Ask.Resumes == "":
			out.begun++
			out.begunServed += min(len(events), 1)
		case serving(began[r.Ask.Resumes]):
			out.resumed++
			out.resumedServed += min(len(events), 1)
		}
	}
	return out
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
