package relay

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"greengageferry/decide"
	"greengageferry/topology"
)

// Origin is where a stream began.
type Origin struct {
	Service string // empty: not known
	Version string // of the software of the server that sent the first event; empty: not known
	Model   string // empty: none, or not known
	Weights int64  // version of the model's weights that wrote the newest event; 0: not known
	Server  string // id of the server that wrote it; empty: not known
}

// Origins knows where streams began that callers take up again.
type Origins interface {
	// Began remembers where the stream began that the caller's attempt with the id brought, and
	// at which version of the weights it is.
	Began(id string, o Origin)
	// Find returns where a stream of the model began, and false if nobody knows. It may ask other
	// instances, for some 100 ms.
	Find(ctx context.Context, id, model string) (Origin, bool)
	// Only returns the one software version at which streams of the service that still live can
	// have begun, and false if there may be several.
	Only(service string) (version string, ok bool)
	// Settled returns the software version at which streams of the service should begin while
	// another one is new, and false if there is no such choice.
	Settled(service string) (version string, ok bool)
	// Weights returns what is known of the versions of a model's weights.
	Weights(service, model string) ModelWeights
	// SawWeights records that a server answered with a version of a model's weights, and reports
	// whether that wasn't known.
	SawWeights(service, model string, version int64) bool
}

const (
	// reasonOriginUnknown is the end reason of a request that takes up a stream of which nobody
	// knows where it began, while servers of several software versions may have begun it.
	reasonOriginUnknown = "origin_unknown"
	// originRetryAfter is the Retry-After of a stream that can't go on now. Another instance may
	// know where it began, or be reached again.
	originRetryAfter = 500 * time.Millisecond
)

// origin returns where the stream began that the request takes up. It returns false if that is
// unknown, and the zero Origin if the request takes up none.
func (c *call) origin() (Origin, bool) {
	if c.route.Retry != topology.Resumable || c.headers.LastEventID == "" {
		return Origin{}, true
	}
	origins := c.relay.opts.Origins
	if origins == nil {
		return Origin{}, false
	}
	if c.headers.Resumes != "" {
		if o, ok := origins.Find(c.req.Context(), c.headers.Resumes, c.headers.Model); ok {
			if o.Weights == 0 {
				o.Weights = origins.Weights(o.Service, c.headers.Model).Only
			}
			return o, c.route.Serves(o.Service)
		}
	}
	if len(c.route.Choices) != 1 || c.routeMoved() {
		return Origin{}, false
	}
	service := c.route.Choices[0].Service
	version, ok := origins.Only(service)
	return Origin{Service: service, Version: version, Weights: origins.Weights(service, c.headers.Model).Only}, ok
}

// routeMoved reports whether the stream may have begun at another service than the one that its
// route leads to now.
func (c *call) routeMoved() bool {
	v := c.relay.view.Load()
	return c.relay.routes.movedWithin(time.Now(), c.route.Name, v.Config.LongestResumable())
}

// rememberOrigin remembers where the request's stream begins, and at which version of the weights
// its newest event was written, by the given server. Of a stream that the request takes up it
// remembers the latter if it has changed.
func (c *call) rememberOrigin(s decide.Server) {
	if c.relay.opts.Origins == nil || c.route.Retry != topology.Resumable || c.stream.version == "" {
		return
	}
	id := c.headers.ID
	if c.headers.LastEventID != "" {
		id = c.headers.Resumes
		if id == "" || c.stream.weights == c.takenUp.Weights {
			return
		}
	}
	c.relay.opts.Origins.Began(id, Origin{
		Service: c.service.Name, Version: c.stream.version, Model: c.headers.Model, Weights: c.stream.weights, Server: s.ID,
	})
}

// restrictTo restricts the request to servers of a software version, and reports whether one
// serves that isn't leaving.
func (c *call) restrictTo(v *topology.View, version string) bool {
	c.version = version
	c.target = c.targetName(v)
	return v.Serves(c.service.Name, version)
}

// restrictToOrigin restricts a request that takes up a stream to the servers at which it may go on.
// It returns why there are none, else "".
func (c *call) restrictToOrigin(v *topology.View) string {
	if !c.restrictTo(v, c.takenUp.Version) {
		return string(decide.ReasonOtherVersion)
	}
	weights, ok := c.chooseWeights(v)
	switch {
	case ok:
		c.restrictToWeights(v, weights)
		return ""
	case c.takenUp.Weights == 0:
		return reasonOriginUnknown
	}
	return string(decide.ReasonOtherWeights)
}

// avoidNewVersion restricts a request that begins a stream to the software version that all
// instances know, while another one is new: an instance that doesn't know the new one yet would
// take the stream up at the other.
func (c *call) avoidNewVersion(v *topology.View) {
	if !c.beginsStream() || c.relay.opts.Origins == nil {
		return
	}
	version, ok := c.relay.opts.Origins.Settled(c.service.Name)
	if ok && v.Serves(c.service.Name, version) {
		c.restrictTo(v, version)
	}
}

// beginsStream reports whether the request begins a stream that may be taken up, and has not got
// anything of it yet.
func (c *call) beginsStream() bool {
	return c.route.Retry == topology.Resumable && c.headers.LastEventID == "" && !c.stream.started
}

// restrictedTarget returns the target of the request's next attempt, empty if it stays. Once the
// stream has started it is restricted to the software version that began it, and to the version of
// the weights that wrote its newest event. If no server has those, no target has the returned name,
// and missing says why.
func (c *call) restrictedTarget() (name string, missing decide.Reason) {
	if c.stream.started {
		c.version = c.stream.version
	}
	before := c.weights
	v := c.relay.view.Load()
	weights, ok := c.chooseWeights(v)
	c.weights = weights
	switch {
	case !ok:
		return topology.WeightsTarget(c.anyVersion, 0), decide.ReasonOtherWeights
	case c.version == "" && c.weights == 0 && before == 0:
		return "", ""
	case c.version == "" || v.Serves(c.service.Name, c.version):
		return c.targetName(v), ""
	case c.beginsStream():
		c.version = ""
		return c.targetName(v), ""
	}
	return topology.VersionTarget(c.anyVersion, c.version), decide.ReasonOtherVersion
}

// mayResume reports whether the stream that has started may go on at another server. That would
// send an event without an id again.
func (c *call) mayResume() bool {
	return c.route.Retry == topology.Resumable && c.stream.version != "" && !c.stream.unnumbered
}

// noteResumption counts and logs that a stream goes on at a server, if it began in an earlier
// attempt of this call or of its caller's.
func (c *call) noteResumption(s decide.Server, headers ResponseHeaders) {
	by, began := "answer", c.stream.version
	switch {
	case c.stream.started:
	case c.headers.LastEventID != "":
		by, began = "caller", c.version
	default:
		return
	}
	version := compareVersions(began, s.SoftwareVersion)
	weights := compareWeights(c.passedWeights(), headers.WeightVersion)
	c.relay.opts.Metrics.CountResumption(by, version, weights)
	c.relay.opts.Log.WithFields(logrus.Fields{
		"request": c.headers.ID, "resumes": c.headers.Resumes, "by": by, "last_event": c.stream.lastID, "server": s.ID,
		"server_start": s.Start, "began_version": began, "version": s.SoftwareVersion,
		"weights_before": c.passedWeights(), "weights": headers.WeightVersion,
	}).Info("stream resumed")
}

// compareVersions says whether two software versions are the same. An unknown one is never the
// same as another.
func compareVersions(a, b string) string {
	switch {
	case a == "" || b == "":
		return "unknown"
	case a == b:
		return "same"
	}
	return "other"
}

// compareWeights says how the version of a model's weights at which a stream goes on compares to
// that of its newest event. 0 is a version that isn't known.
func compareWeights(before, now int64) string {
	switch {
	case before == 0 || now == 0:
		return "unknown"
	case now == before:
		return "same"
	case now < before:
		return "lower"
	}
	return "higher"
}
