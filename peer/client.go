package peer

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"

	"greengageferry/demand"
	"greengageferry/infra"
	"greengageferry/netconn"
	"greengageferry/record"
	"greengageferry/traffic"
)

// CallTimeout limits the time of a call whose context has no earlier deadline, but of a
// claim. Peers answer from memory, except for claims, which wait for an append to the log
// and end with their caller's context.
const CallTimeout = 3 * time.Second

// maxAnswerBytes bounds a peer's answer: many times the replayed state at the size designed for.
const maxAnswerBytes = 32 << 20

// Client calls the peer APIs of other entry instances.
type Client struct {
	http  *http.Client
	token string
}

// NewClient returns a client that sends the token with each call and counts its
// traffic.
func NewClient(base http.RoundTripper, token string, counters *traffic.Counters) *Client {
	counted := &traffic.Transport{Base: base, Counters: counters}
	return &Client{http: &http.Client{Transport: netconn.LimitBodies(counted, maxAnswerBytes)}, token: token}
}

// peerAt returns the API of the peer at an address.
func (c *Client) peerAt(addr string) Peer {
	return NewPeerProtobufClient("http://"+addr, c.http)
}

// call makes one call to the peer at an address, which ends after CallTimeout. Its errors
// are of type *infra.Error.
func call[T any](ctx context.Context, c *Client, op, addr string, do func(context.Context, Peer) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	return callUntilDone(ctx, c, op, addr, do)
}

// callUntilDone is call without CallTimeout.
func callUntilDone[T any](ctx context.Context, c *Client, op, addr string, do func(context.Context, Peer) (T, error)) (T, error) {
	var none T
	ctx, err := twirp.WithHTTPRequestHeaders(ctx, http.Header{TokenHeader: {c.token}})
	if err != nil {
		return none, &infra.Error{Op: op, Addr: addr, Reason: infra.ReasonBadRequest, Effect: infra.EffectNone, Err: err}
	}
	got, err := do(ctx, c.peerAt(addr))
	if err != nil {
		return none, toInfraError(ctx, op, addr, err)
	}
	return got, nil
}

// toInfraError returns the error of a call as an *infra.Error. A call that the peer
// refused before it did anything, or that found nothing, had no effect.
func toInfraError(ctx context.Context, op, addr string, err error) error {
	failed := &infra.Error{Op: op, Addr: addr, Reason: infra.ReasonUnreachable, Effect: infra.EffectUnknown, Err: err}
	var refused twirp.Error
	switch {
	case ctx.Err() != nil:
		failed.Reason = infra.ReasonTimeout
	case errors.As(err, &refused) && isRefusal(refused.Code()):
		failed.Reason, failed.Effect = infra.ReasonUnavailable, infra.EffectNone
	}
	return failed
}

// isRefusal reports whether a peer returns the code only if it did nothing.
func isRefusal(code twirp.ErrorCode) bool {
	switch code {
	case twirp.NotFound, twirp.FailedPrecondition, twirp.Unauthenticated, twirp.InvalidArgument, twirp.BadRoute, twirp.Malformed:
		return true
	}
	return false
}

// Applied implements control.Applied.
func (c *Client) Applied(ctx context.Context, instance infra.Instance) (infra.Offset, error) {
	return call(ctx, c, "peer.applied", instance.Addr, func(ctx context.Context, p Peer) (infra.Offset, error) {
		r, err := p.Applied(ctx, &AppliedRequest{FailureDomain: instance.FailureDomain})
		return infra.Offset(r.GetOffset()), err
	})
}

// Demand implements demand.Querier.
func (c *Client) Demand(ctx context.Context, instance infra.Instance, domain string) (demand.Report, error) {
	r, err := call(ctx, c, "peer.demand", instance.Addr, func(ctx context.Context, p Peer) (*DemandResponse, error) {
		return p.Demand(ctx, &DemandRequest{FailureDomain: domain})
	})
	if err != nil {
		return demand.Report{}, err
	}
	report := demand.Report{Rates: map[string]demand.Rates{}, Loads: map[string]infra.Load{}}
	for _, m := range r.GetModels() {
		report.Rates[m.GetModel()] = demand.Rates{
			Requests: float64(m.GetRequestsPerSecond()),
			Tokens:   float64(m.GetTokensPerSecond()),
			Refused:  float64(m.GetRefusedPerSecond()),
		}
	}
	for _, s := range r.GetServers() {
		report.Loads[s.GetServer()] = infra.Load{Running: int(s.GetRunning()), Waiting: int(s.GetWaiting()), Slots: int(s.GetSlots())}
	}
	return report, nil
}

// Missing reports a backend server that lacks models or adapters assigned to it to
// the lease holder at an address.
func (c *Client) Missing(ctx context.Context, addr, server string) error {
	_, err := call(ctx, c, "peer.missing", addr, func(ctx context.Context, p Peer) (*MissingResponse, error) {
		return p.Missing(ctx, &MissingRequest{Server: server})
	})
	return err
}

// Claim asks the batcher at an address to append claims to the shard's stream. Each
// claim is an encoded record.Record. After an error with infra.EffectNone, none of
// them is on the stream.
func (c *Client) Claim(ctx context.Context, addr string, shard uint32, claims [][]byte) ([]*ClaimStanding, error) {
	return callUntilDone(ctx, c, "peer.claim", addr, func(ctx context.Context, p Peer) ([]*ClaimStanding, error) {
		r, err := p.Claim(ctx, &ClaimRequest{Shard: shard, Claims: claims})
		return r.GetStandings(), err
	})
}

// Answer asks the instance at an address for its answer to an attempt. found reports
// whether the instance knows the attempt, and finished whether the attempt has
// ended.
func (c *Client) Answer(ctx context.Context, addr, attempt string) (answer Answer, finished, found bool, err error) {
	r, err := call(ctx, c, "peer.answer", addr, func(ctx context.Context, p Peer) (*AnswerResponse, error) {
		return p.Answer(ctx, &AnswerRequest{Attempt: attempt})
	})
	if err != nil {
		return Answer{}, false, false, err
	}
	answer = Answer{
		Request:       r.GetRequest(),
		Status:        int(r.GetStatus()),
		ContentType:   r.GetContentType(),
		Body:          r.GetBody(),
		FailureDomain: r.GetFailureDomain(),
		Server:        r.GetServer(),
	}
	return answer, r.GetFinished(), r.GetFound(), nil
}

// State asks the instance at an address for its state of a stream, which covers at
// least the offset atLeast.
func (c *Client) State(ctx context.Context, addr, stream string, atLeast infra.Offset) (*record.Checkpoint, error) {
	return call(ctx, c, "peer.state", addr, func(ctx context.Context, p Peer) (*record.Checkpoint, error) {
		r, err := p.State(ctx, &StateRequest{Stream: stream, AtLeast: uint64(atLeast)})
		if err != nil {
			return nil, err
		}
		checkpoint := &record.Checkpoint{}
		return checkpoint, proto.Unmarshal(r.GetCheckpoint(), checkpoint)
	})
}
