package relay

import (
	"net/http"
	"slices"
	"strconv"
	"time"

	"greengageferry/decide"
	"greengageferry/infra"
	"greengageferry/topology"
)

// ModelWeights is what an instance knows of the versions of a model's weights.
type ModelWeights struct {
	// Only is the one version that can have written events of streams that still live; 0: there
	// may be several, or it isn't known.
	Only int64
	// Settled is the version at which streams should begin while another one is new; 0: any.
	Settled int64
	// Fresh says that the list of servers shows all versions at which streams may have begun.
	Fresh bool
}

// modelWeights returns what this instance knows of the versions of the request's model.
func (c *call) modelWeights() ModelWeights {
	if c.relay.opts.Origins == nil {
		return ModelWeights{}
	}
	return c.relay.opts.Origins.Weights(c.service.Name, c.headers.Model)
}

// takesUpStream reports whether the request takes up a stream that an earlier one began.
func (c *call) takesUpStream() bool {
	return c.route.Retry == topology.Resumable && c.headers.LastEventID != ""
}

// chooseWeights returns the version of the model's weights at which the request's next attempt has
// to run, 0 for any. The version may not go back within a stream, nor change within one answer. It
// returns false if no server that isn't leaving holds a version at which the stream may go on.
func (c *call) chooseWeights(v *topology.View) (weights int64, ok bool) {
	if c.route.Retry != topology.Resumable || c.headers.Model == "" || c.service.Engine == nil {
		return 0, true
	}
	if c.beginsStream() {
		return c.weightsToBegin(v), true
	}
	held := c.heldWeights(v)
	if len(held) == 0 && !c.relay.weights.any(time.Now(), c.headers.Model) {
		return c.weightsToLoad(v)
	}
	if c.stream.started {
		return c.weightsWithinAnswer(held)
	}
	return c.weightsToTakeUp(v, held)
}

// heldWeights returns the versions at which servers that may run the request hold its model.
func (c *call) heldWeights(v *topology.View) []int64 {
	now := time.Now()
	refused := func(s *topology.Server, version int64) bool {
		return c.relay.weights.has(now, refusedVersion{topology.ServerStart{ID: s.ID, Start: s.StartID()}, c.headers.Model, version})
	}
	return v.HeldWeights(c.service.Name, c.headers.Model, c.headers.Adapter, c.version, refused)
}

// noteRefusedWeights records that the server of a decision doesn't have a version.
func (c *call) noteRefusedWeights(d decide.Decision, version int64) {
	c.relay.weights.add(time.Now(), refusedVersion{topology.ServerStart{ID: d.Server.ID, Start: d.Server.Start}, c.headers.Model, version})
}

// weightsChanged returns a channel that is closed once the versions that servers hold may have
// changed, nil if that doesn't matter to the request.
func (c *call) weightsChanged() <-chan struct{} {
	if c.weights == 0 {
		return nil
	}
	return c.relay.weights.wait()
}

// reconsiderWeights gives the request, if it is queued, the target where it may run now. It returns
// the outcome of a request that may run nowhere, "" of others.
func (c *call) reconsiderWeights() string {
	target, missing := c.restrictedTarget()
	if missing != "" {
		c.relay.dispatcher.abandon(c)
		return c.endOnRefusal(decide.Decision{Action: decide.ActionRefuse, Reason: missing, RetryAfter: originRetryAfter})
	}
	c.relay.dispatcher.move(c, target)
	return ""
}

// weightsToBegin returns the version that all instances know, while another one is new: an
// instance that doesn't know the new one yet would take the stream up at the other.
func (c *call) weightsToBegin(v *topology.View) int64 {
	settled := c.modelWeights().Settled
	if settled == 0 || !slices.Contains(c.heldWeights(v), settled) {
		return 0
	}
	return settled
}

// weightsToLoad returns the version while no server holds the model. A load brings the newest one.
func (c *call) weightsToLoad(v *topology.View) (int64, bool) {
	if !v.HasSeveralWeights(c.service.Name, c.headers.Model) {
		return c.passedWeights(), true
	}
	return 0, !c.stream.started
}

// weightsWithinAnswer returns the version at which the answer goes on, where servers hold the given
// ones.
func (c *call) weightsWithinAnswer(held []int64) (int64, bool) {
	weights, newest := c.stream.weights, newestOf(held)
	switch {
	case weights == 0:
		return newest, true
	case newest == 0 && len(held) > 0: // servers refuse it if they hold another version
		return weights, true
	}
	return weights, slices.Contains(held, weights)
}

// weightsToTakeUp returns the version at which the caller's stream goes on, where servers hold the
// given ones: that of its newest event or, if that is served no more, the newest.
func (c *call) weightsToTakeUp(v *topology.View, held []int64) (int64, bool) {
	weights, newest := c.takenUp.Weights, newestOf(held)
	switch {
	case newest == 0 && len(held) > 0:
		return weights, true
	case weights == 0:
		return newest, newest != 0 && c.modelWeights().Fresh
	}
	// What is known of the stream may be older than an update of the server that ran it.
	updated := v.WeightsAt(c.takenUp.Server, c.headers.Model) > weights
	if slices.Contains(held, weights) && !updated {
		return weights, true
	}
	return newest, newest > weights
}

// newestOf returns the highest version, 0 if there is none.
func newestOf(held []int64) int64 {
	newest := int64(0)
	for _, version := range held {
		newest = max(newest, version)
	}
	return newest
}

// passedWeights returns the version that wrote the newest event that the caller has of the stream,
// 0 if it isn't known.
func (c *call) passedWeights() int64 {
	if c.stream.started {
		return c.stream.weights
	}
	return c.takenUp.Weights
}

// expectWeights returns the version that an attempt by the decision has to state, 0 for none.
func (c *call) expectWeights(d decide.Decision) int64 {
	if c.weights != 0 || !c.stream.started && !c.takesUpStream() {
		return c.weights
	}
	return listedWeights(d)
}

// listedWeights returns the version of the replica that a decision is for, 0 if it isn't known.
func listedWeights(d decide.Decision) int64 {
	version, err := strconv.ParseInt(d.Version, 10, 64)
	if err != nil {
		return 0
	}
	return version
}

// excludesReplica reports whether the request must not be sent to the replica that a decision is
// for: the list of servers may have changed while it waited.
func (c *call) excludesReplica(d decide.Decision) bool {
	if c.version != "" && d.Server.SoftwareVersion != c.version {
		return true
	}
	expected := c.expectWeights(d)
	return expected != 0 && expected < c.passedWeights()
}

// avoidNewWeights restricts a request that begins a stream to the version of the weights that all
// instances know, while another one is new.
func (c *call) avoidNewWeights(v *topology.View) {
	if !c.beginsStream() {
		return
	}
	if weights, ok := c.chooseWeights(v); ok && weights != 0 {
		c.restrictToWeights(v, weights)
	}
}

// restrictToWeights restricts the request to servers that hold its model at a version; 0: any.
func (c *call) restrictToWeights(v *topology.View, weights int64) {
	c.weights = weights
	c.target = c.targetName(v)
}

// targetName returns the name of the target with the request's restrictions.
func (c *call) targetName(v *topology.View) string {
	name := c.anyVersion
	if c.version != "" {
		name = v.TargetAt(c.service.Name, name, c.version)
	}
	return v.TargetAtWeights(c.service.Name, c.headers.Model, name, c.weights)
}

// hasOtherWeights reports whether an answer is of a version of the weights that can't follow what
// the caller has, or that other instances can't know yet while another one serves. It records the
// version.
func (c *call) hasOtherWeights(res *http.Response, headers ResponseHeaders) bool {
	version := headers.WeightVersion
	if c.route.Retry != topology.Resumable || version == 0 || res.StatusCode/100 != 2 || c.service.Engine == nil {
		return false
	}
	isNew := c.noteWeights(version)
	passed := c.passedWeights()
	switch {
	case c.stream.started:
		return passed != 0 && version != passed
	case c.takesUpStream():
		return version < passed
	}
	return isNew && c.attempts < c.route.Attempts && c.modelWeights().Settled != 0
}

// noteWeights records that a server has a version of the model's weights, and reports whether that
// wasn't known.
func (c *call) noteWeights(version int64) bool {
	return c.relay.opts.Origins != nil && c.relay.opts.Origins.SawWeights(c.service.Name, c.headers.Model, version)
}

// handleOtherWeights handles an answer that hasOtherWeights reports. The result is as of attempt.
func (c *call) handleOtherWeights(d decide.Decision, res *http.Response) string {
	c.logFailedAttempt(d, "other_weights", res.StatusCode)
	c.noteRefusedWeights(d, listedWeights(d))
	c.reportFailure(decide.Failure{Reason: infra.ReasonNotResident, OtherVersion: true})
	return ""
}

// changeWeights takes the version that the newest event was written by.
func (c *call) changeWeights(s decide.Server, version int64) {
	before := c.stream.weights
	c.stream.weights = version
	if version == before || !c.stream.started {
		return
	}
	c.noteWeights(version)
	c.rememberOrigin(s)
}
