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
	// TokenHeader bears the peers' token.
	TokenHeader = "Greengageferry-Peer-Token"
	// maxRequestBytes bounds a request: a batch of some thousands of claims.
	maxRequestBytes = 1 << 20
)

// Answer is an answer to a claimed request as its instance kept it.
type Answer struct {
	Request       string
	Status        int
	ContentType   string
	Body          []byte
	FailureDomain string
	Server        string
}

// ClaimServer puts claims on the log; the shard's batcher implements it.
type ClaimServer interface {
	Claim(ctx context.Context, shard uint32, claims [][]byte) ([]*ClaimStanding, error)
}

// Backend is what an instance lets its peers ask.
type HandlerOptions struct {
	Instance string
	// State returns the replayed state of a stream, or nil for one that this
	// instance doesn't know.
	State func(stream string) *record.Checkpoint
	// Applied returns how far the own failure domain's control stream was read
	// with no order of an older assignment under way, 0 if that isn't known.
	Applied func() infra.Offset
	Claims  ClaimServer
	// Answer returns what was answered to an attempt that runs here or ran.
	Answer func(attempt string) (answer Answer, finished, found bool)
	// Report returns what this instance knows of what a failure domain was asked
	// for and of its servers' loads.
	Report func(domain string) demand.Report
	// Missing is told of a server that lacks what it should hold.
	Missing       func(server string)
	FailureDomain string
}

// Handler serves the peers' address: twirp behind the token.
func Handler(b HandlerOptions, token string, counters *traffic.Counters) http.Handler {
	return requireToken(token, traffic.Handler(limitBody(NewPeerServer(&service{b})), counters))
}

// requireToken refuses a request without the peers' token. The digests are
// compared, so that neither the token's length nor its bytes show in the time.
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

// claimError tells the asking instance whether its claims can be on the log.
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
