package standin

import (
	"context"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"greengageferry/infra"
)

// ServiceOptions are a plain service's settings.
type ServiceOptions struct {
	Name string
	Work time.Duration // how long a call takes; default none
}

// Service is a stand-in for a backend server of a plain service. It answers
// each call with a ServiceEcho and records each run. Its operation is
// "service.call".
type Service struct {
	Faults Faults

	options ServiceOptions

	mu      sync.Mutex
	leaving bool
	runs    []ServiceRun
}

var _ Standin = (*Service)(nil)

// ServiceRun is one call that a plain service ran.
type ServiceRun struct {
	Attempt string // from the header infra.HeaderAttempt
	Method  string
	Path    string
	Body    uint64 // hash of the body
	At      time.Time
}

// ServiceEcho is a plain service's answer.
type ServiceEcho struct {
	Service string `json:"service"`
	Method  string `json:"method"`
	Path    string `json:"path"`
	Body    string `json:"body"`
}

// NewService returns a plain service's backend server.
func NewService(options ServiceOptions) *Service { return &Service{options: options} }

// Run implements Standin.
func (s *Service) Run(ctx context.Context) error { return idle(ctx) }

// SetLeaving has it refuse new calls.
func (s *Service) SetLeaving(leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = leaving
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		refuse(w, infra.ReasonBadRequest)
		return
	}
	err = s.Faults.do(r.Context(), "service.call", "", func() error { return s.run(r, body) })
	switch e, _ := err.(*infra.Error); {
	case err == nil:
		writeJSON(w, ServiceEcho{Service: s.options.Name, Method: r.Method, Path: r.URL.RequestURI(), Body: string(body)})
	case e != nil && e.Effect == infra.EffectNone:
		refuse(w, e.Reason)
	default:
		panic(http.ErrAbortHandler)
	}
}

func refuse(w http.ResponseWriter, reason infra.Reason) {
	w.Header().Set(infra.HeaderRefused, string(reason))
	w.WriteHeader(statusOf(reason))
}

// run records the call and takes its time. What it has begun it ends, whether
// or not its caller waits.
func (s *Service) run(r *http.Request, body []byte) error {
	s.mu.Lock()
	if s.leaving {
		s.mu.Unlock()
		return refusal("service.call", s.options.Name, infra.ReasonLeaving)
	}
	if len(s.runs) < maxTruth {
		s.runs = append(s.runs, ServiceRun{
			Attempt: r.Header.Get(infra.HeaderAttempt),
			Method:  r.Method,
			Path:    r.URL.RequestURI(),
			Body:    xxhash.Sum64(body),
			At:      time.Now(),
		})
	}
	s.mu.Unlock()
	if s.options.Work > 0 {
		time.Sleep(s.options.Work)
	}
	return nil
}

// Truth returns the calls that it ran.
func (s *Service) Truth() []ServiceRun {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.runs)
}
