package relay

import (
	"io"
	"net/http"
	"strings"
)

// preventResend keeps net/http from sending the request again by itself. When a kept
// connection breaks before the response, it does so for methods that should be idempotent,
// and for requests with an idempotency key, though the server may have run the request.
// Whether it may run again is this package's decision.
func preventResend(req *http.Request) {
	req.GetBody = nil
	switch req.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		if req.Body == nil || req.Body == http.NoBody {
			req.Body = io.NopCloser(strings.NewReader("")) // net/http finds it empty, and sends none
		}
	}
}
