package soak

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"greengageferry/platform/standin"
)

// versionOf returns the software version of the servers that start at the nth endpoint: two
// versions serve side by side, unless it is the weights whose versions differ.
func (d *Deployment) versionOf(n int) string {
	if d.weights != nil {
		return standin.DefaultVersion
	}
	return fmt.Sprint("v", 1+n%2)
}

// publishWeights sets the newest version of all models.
func (d *Deployment) publishWeights(version int64) {
	for _, model := range []string{standin.BusyModel, standin.RareModel} {
		d.weights.Publish(model, version)
	}
}

// updateWeights updates all models that the endpoint's server holds.
func (e *endpoint) updateWeights() {
	for _, model := range []string{standin.BusyModel, standin.RareModel} {
		e.server.Load().UpdateModel(model)
	}
}

// weightsFaults counts the streams of a history whose events are of several versions of the
// model's weights in a way that they must not be.
type weightsFaults struct {
	streams int
	back    int // over all tries of their callers, an event has a lower version than one before
	within  int // within one answer, the version changes and no event announces it
	example string
}

// weightsFaults returns the faults of the streams.
func (h *History) weightsFaults() weightsFaults {
	byStream := map[string][]*Result{}
	for n := range h.results {
		if r := &h.results[n]; r.Kind.isStream() && r.Status == 200 {
			byStream[r.streamID()] = append(byStream[r.streamID()], r)
		}
	}
	out := weightsFaults{streams: len(byStream)}
	for _, answers := range byStream {
		out.add(answers)
	}
	return out
}

// add adds a stream, given by the answers that brought its events.
func (f *weightsFaults) add(answers []*Result) {
	slices.SortFunc(answers, func(a, b *Result) int { return a.resumesAfter() - b.resumesAfter() })
	highest, back, within := int64(0), false, false
	for _, r := range answers {
		events, _ := r.events()
		for n, e := range events {
			back = back || e.weights < highest
			within = within || n > 0 && e.weights != events[n-1].weights && !e.changed
			highest = max(highest, e.weights)
		}
	}
	if back {
		f.back++
	}
	if within {
		f.within++
	}
	if back || within {
		f.example = describeWeights(answers)
	}
}

// describeWeights returns the versions that wrote a stream's events, by answer.
func describeWeights(answers []*Result) string {
	out := ""
	for _, r := range answers {
		out += fmt.Sprintf("%s at %s, %s:", r.Ask.ID, r.Instance, r.Sent.Format("05.000"))
		events, _ := r.events()
		for _, e := range events {
			out += fmt.Sprintf(" %d=%d", e.id, e.weights)
		}
		out += "; "
	}
	return out
}

// refusedBeginnings counts the streams that no server began since a time, by their answer.
func (h *History) refusedBeginnings(from time.Time) map[string]int {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := map[string]int{}
	for n := range h.results {
		if r := &h.results[n]; r.Ask.Resumes == "" && !r.Sent.Before(from) && r.ran() == 0 {
			out[fmt.Sprint(r.Status, " ", strings.TrimSpace(r.Body))]++
		}
	}
	return out
}
