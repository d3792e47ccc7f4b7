// Package peer implements the API that entry instances provide to one another over
// twirp. Handler serves the API of an instance, Client calls the API of other
// instances, and StateFetcher fetches the newest state of a stream from several of
// them.
package peer

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"net/http"

	"github.com/cockroachdb/errors"
	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"

	"greengageferry/demand"
	"greengageferry/infra"
	"greengageferry/record"
	"greengageferry/traffic"
)

const (
	// TokenHeader is the header with the token that all peers share.
	TokenHeader = "Greengageferry-Peer-Token"
	// maxRequestBytes limits a request body. A batch of several thousand claims
	// fits.
	maxRequestBytes = 1 << 20
)

// Answer is the stored answer to a claimed request.
type Answer struct {
	Request       string
	Status        int
	ContentType   string
	Body          []byte
	FailureDomain string
	Server        string
}

// ClaimServer appends claims to the log. The shard's batcher implements it.
type ClaimServer interface {
	Claim(ctx context.Context, shard uint32, claims [][]byte) ([]*ClaimStanding, error)
}

// HandlerOptions provides the data and functions of an instance that Handler serves
// to its peers.
type HandlerOptions struct {
	Instance string
	// State returns the replayed state of a stream, or nil if this instance has
	// none.
	State func(stream string) *record.Checkpoint
	// Applied returns the offset up to which the control stream of the
	// instance's failure domain was read, with no order of an older assignment
	// still in progress. It returns 0 if the offset isn't known.
	Applied func() infra.Offset
	Claims  ClaimServer
	// Answer returns the answer to an attempt that runs or ran on this instance.
	Answer func(attempt string) (answer Answer, finished, found bool)
	// Report returns the demand for a failure domain through this instance and
	// the known loads of the domain's servers.
	Report func(domain string) demand.Report
	// Missing is called for a backend server that lacks models or adapters
	// assigned to it.
	Missing       func(server string)
	FailureDomain string
}

// Handler returns the handler of the peer API. It serves twirp calls that carry the
// token.
func Handler(b HandlerOptions, token string, counters *traffic.Counters) http.Handler {
	return requireToken(token, traffic.Handler(limitBody(NewPeerServer(&service{b})), counters))
}

// requireToken rejects requests without the token. It compares digests in constant
// time, so that the response time reveals neither the length nor the bytes of the
// token.
func requireToken(token string, next http.Handler) http.Handler {
	want := sha256.Sum256([]byte(token))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got := sha256.Sum256([]byte(r.Header.Get(TokenHeader)))
		if subtle.ConstantTimeCompare(want[:], got[:]) != 1 {
			_ = twirp.WriteError(w, twirp.Unauthenticated.Error("no peer's token"))
			return
		}
		next.ServeHTTP(w, r)
	})
}

// limitBody limits request bodies to maxRequestBytes.
func limitBody(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, maxRequestBytes)
		next.ServeHTTP(w, r)
	})
}

// service implements Peer.
type service struct{ HandlerOptions }

// State implements Peer.
func (s *service) State(_ context.Context, r *StateRequest) (*StateResponse, error) {
	checkpoint := s.HandlerOptions.State(r.GetStream())
	if checkpoint == nil || checkpoint.GetCovers() < r.GetAtLeast() {
		return nil, twirp.NotFoundError("no such state here")
	}
	data, err := proto.Marshal(checkpoint)
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	return &StateResponse{Checkpoint: data}, nil
}

// Applied implements Peer.
func (s *service) Applied(_ context.Context, r *AppliedRequest) (*AppliedResponse, error) {
	if r.GetFailureDomain() != s.FailureDomain {
		return nil, twirp.InvalidArgumentError("failure_domain", "not this instance's")
	}
	return &AppliedResponse{Instance: s.Instance, Offset: uint64(s.HandlerOptions.Applied())}, nil
}

// Claim implements Peer.
func (s *service) Claim(ctx context.Context, r *ClaimRequest) (*ClaimResponse, error) {
	standings, err := s.Claims.Claim(ctx, r.GetShard(), r.GetClaims())
	if err != nil {
		return nil, claimError(err)
	}
	return &ClaimResponse{Standings: standings}, nil
}

// claimError returns the error from which the calling instance learns whether its
// claims may be on the log.
func claimError(err error) error {
	var failed *infra.Error
	if errors.As(err, &failed) && failed.Effect == infra.EffectNone {
		return twirp.FailedPrecondition.Error(err.Error())
	}
	return twirp.InternalErrorWith(err)
}

// Answer implements Peer.
func (s *service) Answer(_ context.Context, r *AnswerRequest) (*AnswerResponse, error) {
	answer, finished, found := s.HandlerOptions.Answer(r.GetAttempt())
	return &AnswerResponse{
		Found:         found,
		Finished:      finished,
		Status:        uint32(answer.Status),
		ContentType:   answer.ContentType,
		Body:          answer.Body,
		FailureDomain: answer.FailureDomain,
		Server:        answer.Server,
		Request:       answer.Request,
	}, nil
}

// Demand implements Peer.
func (s *service) Demand(_ context.Context, r *DemandRequest) (*DemandResponse, error) {
	response := &DemandResponse{Instance: s.Instance}
	report := s.Report(r.GetFailureDomain())
	for target, rates := range report.Rates {
		response.Models = append(response.Models, &ModelDemand{
			Model:             target,
			RequestsPerSecond: float32(rates.Requests),
			TokensPerSecond:   float32(rates.Tokens),
			RefusedPerSecond:  float32(rates.Refused),
		})
	}
	for server, load := range report.Loads {
		response.Servers = append(response.Servers, &ServerLoad{
			Server:  server,
			Running: uint32(load.Running),
			Waiting: uint32(load.Waiting),
			Slots:   uint32(load.Slots),
		})
	}
	return response, nil
}

// Missing implements Peer.
func (s *service) Missing(_ context.Context, r *MissingRequest) (*MissingResponse, error) {
	s.HandlerOptions.Missing(r.GetServer())
	return &MissingResponse{}, nil
}
