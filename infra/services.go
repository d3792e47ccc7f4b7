package infra

import (
	"context"
	"io"
	"net/http"
)

// ServiceRequest is a call to a plain service.
type ServiceRequest struct {
	Attempt string // sent as the header Greengageferry-Attempt
	Method  string
	Path    string // below the service, with its query
	Header  http.Header
	Body    []byte
}

// ServiceAnswer is a plain service's answer. The reader closes Body.
type ServiceAnswer struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
}

// Services sends calls to plain services' backend servers.
type Services interface {
	// Call returns once the answer's header has come. An error with EffectNone
	// means that the call did not run.
	Call(ctx context.Context, addr string, req ServiceRequest) (*ServiceAnswer, error)
}
