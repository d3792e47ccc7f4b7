package relay

import (
	"strings"
	"time"

	"greengageferry/decide"
	"greengageferry/topology"
)

// RouteQuestion describes a request that isn't sent.
type RouteQuestion struct {
	Host         string
	Path         string
	Account      string // name of the client account; empty: none
	Model        string // model, or model/adapter; empty for a plain service
	PromptTokens int
	MaxTokens    int
	Timeout      time.Duration // how long the caller waits; 0: as the route says
}

// RouteAnswer says where the described request would go now, and why.
type RouteAnswer struct {
	Route   string // its name; empty: no route matches
	Service string // with several, the one with most weight
	Target  string
	Rank    int
	Goal    time.Duration // to the first token or the answer; 0: none
	decide.Explanation
}

// ExplainRoute says where the described request would go now. Nothing is sent, and nothing is
// charged to the account.
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

// The reasons of answers that the scheduler isn't asked for.
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

// heaviestService returns the service that gets most of the route's requests.
func heaviestService(route *topology.Route) string {
	best := route.Choices[0]
	for _, c := range route.Choices {
		if c.Weight > best.Weight {
			best = c
		}
	}
	return best.Service
}

func (d *dispatcher) explain(r decide.Request) decide.Explanation {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.scheduler.Explain(time.Now(), r)
}
