package relay

import (
	"strings"
	"time"

	"greengageferry/decide"
	"greengageferry/topology"
)

// RouteQuestion describes a request whose routing is to be explained.
type RouteQuestion struct {
	Host         string
	Path         string
	Account      string        // name of the client account; empty: none
	Model        string        // model, or model/adapter; empty for a plain service
	PromptTokens int           // tokens of the prompt
	MaxTokens    int           // the most tokens of the answer
	Timeout      time.Duration // how long the caller waits; 0: as the route says
}

// RouteAnswer is the decision that the described request would get now, and the reason for it.
type RouteAnswer struct {
	Route   string        // its name; empty: no route matches
	Service string        // if the route has several, the one with the greatest weight
	Target  string        // of the scheduler
	Rank    int           // 0 is the most urgent
	Goal    time.Duration // time to the first token or the answer; 0: none
	decide.Explanation
}

// ExplainRoute returns the decision that the described request would get now. Nothing is sent, and
// nothing is charged to the account.
func (r *Relay) ExplainRoute(q RouteQuestion) RouteAnswer {
	v := r.view.Load()
	if v == nil || v.Config == nil {
		return RouteAnswer{Explanation: decide.Explanation{Action: decide.ActionRefuse, Reason: reasonUnconfigured}}
	}
	path, _, _ := strings.Cut(q.Path, "?")
	route := v.Index.Match(q.Host, path)
	if route == nil {
		return RouteAnswer{Explanation: decide.Explanation{Action: decide.ActionRefuse, Reason: reasonNoRoute}}
	}
	c := r.describedCall(v, route, q)
	request := c.schedulerRequest()
	return RouteAnswer{
		Route: route.Name, Service: c.service.Name, Target: c.target, Rank: c.rank(), Goal: route.Goal,
		Explanation: r.dispatcher.explain(request),
	}
}

// The reasons of answers that are given without the scheduler.
const (
	reasonUnconfigured decide.Reason = "unconfigured"
	reasonNoRoute      decide.Reason = "no_route"
)

// describedCall returns a call of the described request, which is never run.
func (r *Relay) describedCall(v *topology.View, route *topology.Route, q RouteQuestion) *call {
	c := &call{relay: r, arrived: time.Now(), id: "explained", route: route, account: v.Config.Accounts.ByName(q.Account)}
	c.headers.Model, c.headers.Adapter = topology.SplitModel(q.Model)
	c.headers.PromptTokens, c.headers.MaxTokens, c.headers.Timeout = q.PromptTokens, q.MaxTokens, q.Timeout
	c.setTarget(v, heaviestService(route))
	c.setDeadline()
	return c
}

// heaviestService returns the service of the route that has the greatest weight.
func heaviestService(route *topology.Route) string {
	best := route.Choices[0]
	for _, c := range route.Choices {
		if c.Weight > best.Weight {
			best = c
		}
	}
	return best.Service
}

// explain returns the scheduler's explanation of a request, which changes nothing.
func (d *dispatcher) explain(r decide.Request) decide.Explanation {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.scheduler.Explain(time.Now(), r)
}
