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
	Name         string
	CallDuration time.Duration // how long a call takes; default none
}

// Service is a fake backend server of a plain service. It answers each call with
// a ServiceEcho and records each call that it runs. Its operation for Faults is
// "service.call".
type Service struct {
	Faults Faults

	options ServiceOptions

	mu      sync.Mutex
	leaving bool
	runs    []ServiceRun
}

var _ Fake = (*Service)(nil)

// ServiceRun describes one call that a plain service ran.
type ServiceRun struct {
	Attempt string // from the header infra.HeaderAttempt
	Method  string
	Path    string
	Body    uint64 // xxhash of the request body
	At      time.Time
}

// ServiceEcho is a plain service's response body. It repeats the request.
type ServiceEcho struct {
	Service string `json:"service"`
	Method  string `json:"method"`
	Path    string `json:"path"`
	Body    string `json:"body"`
}

// NewService returns a fake backend server of a plain service.
func NewService(options ServiceOptions) *Service { return &Service{options: options} }

// Run implements Fake.
func (s *Service) Run(ctx context.Context) error { return waitDone(ctx) }

// SetLeaving sets whether the server refuses new calls because it is leaving.
func (s *Service) SetLeaving(leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = leaving
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		writeRefusal(w, infra.ReasonBadRequest)
		return
	}
	err = s.Faults.inject(r.Context(), "service.call", "", func() error { return s.runCall(r, body) })
	switch e, _ := err.(*infra.Error); {
	case err == nil:
		writeJSON(w, ServiceEcho{Service: s.options.Name, Method: r.Method, Path: r.URL.RequestURI(), Body: string(body)})
	case e != nil && e.Effect == infra.EffectNone:
		writeRefusal(w, e.Reason)
	default:
		panic(http.ErrAbortHandler)
	}
}

// writeRefusal responds that the call was refused before it started.
func writeRefusal(w http.ResponseWriter, reason infra.Reason) {
	w.Header().Set(infra.HeaderRefused, string(reason))
	w.WriteHeader(httpStatus(reason))
}

// runCall records the call and sleeps for CallDuration. A call that has started
// runs to its end even if the client disconnects.
func (s *Service) runCall(r *http.Request, body []byte) error {
	s.mu.Lock()
	if s.leaving {
		s.mu.Unlock()
		return refusalError("service.call", s.options.Name, infra.ReasonLeaving)
	}
	if len(s.runs) < maxTruthEntries {
		s.runs = append(s.runs, ServiceRun{
			Attempt: r.Header.Get(infra.HeaderAttempt),
			Method:  r.Method,
			Path:    r.URL.RequestURI(),
			Body:    xxhash.Sum64(body),
			At:      time.Now(),
		})
	}
	s.mu.Unlock()
	if s.options.CallDuration > 0 {
		time.Sleep(s.options.CallDuration)
	}
	return nil
}

// Truth returns the calls that the service ran, oldest first.
func (s *Service) Truth() []ServiceRun {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.runs)
}
