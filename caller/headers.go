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
	HeaderTimeout       = "Greengageferry-Timeout-Ms"     // the request's deadline, in ms from its arrival
	HeaderPriority      = "Greengageferry-Priority"       // MinPriority to MaxPriority; higher goes first
	HeaderNonIdempotent = "Greengageferry-Non-Idempotent" // "true": the request may run at most once
	HeaderIdemKey       = "Idempotency-Key"
	HeaderRequest       = "Greengageferry-Request-Id"
	HeaderDomain        = "Greengageferry-Failure-Domain" // the server's; this instance's where none was asked
	HeaderServer        = "Greengageferry-Server"         // the last server asked, or NoServer
	HeaderReplayed      = "Greengageferry-Replayed"       // "true": the answer of an earlier request with the same key
)

// NoServer stands in HeaderServer where no backend server was asked.
const NoServer = "none"

// Bounds of what the headers may say.
const (
	MinPriority = -10
	MaxPriority = 10
	// maxIdemKey holds any UUID or hash, with room for a prefix.
	maxIdemKey = 255
)

// wishes are what a request's headers ask for.
type wishes struct {
	timeout       time.Duration // 0: the target's default
	priority      int
	nonIdempotent bool
	key           string // Idempotency-Key; empty: none
}

func (s *Server) parseWishes(h http.Header) (wishes, *api.Problem) {
	var w wishes
	var p *api.Problem
	if w.timeout, p = parseTimeout(h.Get(HeaderTimeout), s.opts.Limits.MaxTimeout); p != nil {
		return w, p
	}
	if w.priority, p = parsePriority(h.Get(HeaderPriority)); p != nil {
		return w, p
	}
	if w.nonIdempotent, p = parseMark(h.Get(HeaderNonIdempotent)); p != nil {
		return w, p
	}
	w.key, p = parseIdemKey(h)
	return w, p
}

func parseTimeout(v string, most time.Duration) (time.Duration, *api.Problem) {
	if v == "" {
		return 0, nil
	}
	ms, err := strconv.ParseInt(v, 10, 64)
	if err != nil || ms < 1 || ms > most.Milliseconds() {
		return 0, api.Invalid(CodeBadTimeout, "%s must be 1 to %d, in milliseconds", HeaderTimeout, most.Milliseconds())
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

// parseMark refuses what is neither true nor false: a mark that was meant must
// not be lost.
func parseMark(v string) (bool, *api.Problem) {
	switch strings.ToLower(strings.TrimSpace(v)) {
	case "":
		return false, nil
	case "true":
		return true, nil
	case "false":
		return false, nil
	}
	return false, api.Invalid(CodeBadMark, "%s must be true or false", HeaderNonIdempotent)
}

func parseIdemKey(h http.Header) (string, *api.Problem) {
	values, present := h[HeaderIdemKey]
	if !present {
		return "", nil
	}
	if len(values) != 1 || values[0] == "" || len(values[0]) > maxIdemKey {
		return "", api.Invalid(CodeBadIdemKey, "%s must be given once, with 1 to %d bytes", HeaderIdemKey, maxIdemKey)
	}
	return values[0], nil
}
