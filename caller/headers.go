package caller

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"greengageferry/caller/api"
)

// The headers of the callers' interface.
const (
	HeaderTimeout        = "Greengageferry-Timeout-Ms"     // the request's timeout, in ms from its arrival
	HeaderPriority       = "Greengageferry-Priority"       // MinPriority to MaxPriority; higher is served first
	HeaderNonIdempotent  = "Greengageferry-Non-Idempotent" // "true": the request may run at most once
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderRequest        = "Greengageferry-Request-Id"
	HeaderDomain         = "Greengageferry-Failure-Domain" // the server's, or this instance's if no attempt was made
	HeaderServer         = "Greengageferry-Server"         // the server of the last attempt, or NoServer
	HeaderReplayed       = "Greengageferry-Replayed"       // "true": the answer is that of an earlier request with the same key
)

// NoServer is the value of HeaderServer if no attempt was made.
const NoServer = "none"

// Bounds of header values.
const (
	MinPriority = -10
	MaxPriority = 10
	// maxIdempotencyKeyBytes fits any UUID or hash with a prefix.
	maxIdempotencyKeyBytes = 255
)

// requestOptions are the options given in a request's headers.
type requestOptions struct {
	timeout       time.Duration // 0 for the target's default
	priority      int
	nonIdempotent bool
	key           string // empty if there is none
}

func (s *Server) parseRequestOptions(h http.Header) (requestOptions, *api.Problem) {
	var o requestOptions
	var p *api.Problem
	if o.timeout, p = parseTimeout(h.Get(HeaderTimeout), s.opts.Limits.MaxTimeout); p != nil {
		return o, p
	}
	if o.priority, p = parsePriority(h.Get(HeaderPriority)); p != nil {
		return o, p
	}
	if o.nonIdempotent, p = parseNonIdempotent(h.Get(HeaderNonIdempotent)); p != nil {
		return o, p
	}
	o.key, p = parseIdempotencyKey(h)
	return o, p
}

func parseTimeout(v string, limit time.Duration) (time.Duration, *api.Problem) {
	if v == "" {
		return 0, nil
	}
	ms, err := strconv.ParseInt(v, 10, 64)
	if err != nil || ms < 1 || ms > limit.Milliseconds() {
		return 0, api.Invalid(CodeBadTimeout, "%s must be 1 to %d, in milliseconds", HeaderTimeout, limit.Milliseconds())
	}
	return time.Duration(ms) * time.Millisecond, nil
}

func parsePriority(v string) (int, *api.Problem) {
	if v == "" {
		return 0, nil
	}
	n, err := strconv.Atoi(v)
	if err != nil || n < MinPriority || n > MaxPriority {
		return 0, api.Invalid(CodeBadPriority, "%s must be %d to %d", HeaderPriority, MinPriority, MaxPriority)
	}
	return n, nil
}

// parseNonIdempotent parses the non-idempotent header. Any value other than true
// or false is refused, since ignoring a mistyped "true" could run the request
// twice.
func parseNonIdempotent(v string) (bool, *api.Problem) {
	switch strings.ToLower(strings.TrimSpace(v)) {
	case "":
		return false, nil
	case "true":
		return true, nil
	case "false":
		return false, nil
	}
	return false, api.Invalid(CodeBadNonIdempotent, "%s must be true or false", HeaderNonIdempotent)
}

func parseIdempotencyKey(h http.Header) (string, *api.Problem) {
	values, present := h[HeaderIdempotencyKey]
	if !present {
		return "", nil
	}
	if len(values) != 1 || values[0] == "" || len(values[0]) > maxIdempotencyKeyBytes {
		return "", api.Invalid(CodeBadIdempotencyKey, "%s must be given once, with 1 to %d bytes", HeaderIdempotencyKey, maxIdempotencyKeyBytes)
	}
	return values[0], nil
}
