package instance

import (
	"context"
	"time"

	"greengageferry/decide"
	"greengageferry/exchange"
	"greengageferry/relay"
)

// ExplainRoute implements exchange.Exchange.
func (e exchangeServer) ExplainRoute(_ context.Context, q *exchange.RouteQuestion) (*exchange.RouteAnswer, error) {
	a := e.instance.relay.ExplainRoute(relay.RouteQuestion{
		Host: q.GetHost(), Path: q.GetPath(), Account: q.GetAccount(), Model: q.GetModel(),
		PromptTokens: int(q.GetPromptTokens()), MaxTokens: int(q.GetMaxTokens()), Timeout: time.Duration(q.GetTimeoutMs()) * time.Millisecond,
	})
	out := &exchange.RouteAnswer{
		Instance: e.instance.opts.Node.Name, Route: a.Route, Service: a.Service, Target: a.Target, Rank: uint32(a.Rank), GoalMs: uint32(a.Goal.Milliseconds()),
		Action: relay.ActionName(a.Action), Reason: string(a.Reason), Server: a.Server.ID, QueueWaitMs: uint32(a.QueueWait.Milliseconds()),
	}
	for _, r := range a.Replicas {
		out.Replicas = append(out.Replicas, wireExplainedReplica(r))
	}
	return out, nil
}

// wireExplainedReplica converts an explained replica to its message.
func wireExplainedReplica(r decide.ExplainedReplica) *exchange.ExplainedReplica {
	return &exchange.ExplainedReplica{
		Server: r.Server.ID, FailureDomain: r.Server.FailureDomain, Near: r.Near, DroppedBy: r.DroppedBy,
		Load: r.Load, Slots: uint32(r.Server.Slots), UnreadTokens: r.Unread, Slowdown: r.Slowdown, Score: r.Score,
		FillLimit: uint32(r.FillLimit), Own: uint32(r.OwnRequests),
	}
}
