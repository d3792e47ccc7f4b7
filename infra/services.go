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
	Path    string // path within the service, with the query
	Header  http.Header
	Body    []byte
}

// ServiceAnswer is a plain service's response. The reader must close Body.
type ServiceAnswer struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
}

// Services sends calls to the backend servers of plain services.
type Services interface {
	// Call returns once the response header has arrived. An error with EffectNone means
	// that the call did not run.
	Call(ctx context.Context, addr string, req ServiceRequest) (*ServiceAnswer, error)
}
