package caller

import (
	"bytes"
	"net/http"
	"time"

	"greengageferry/caller/api"
)

const (
	contentJSON   = "application/json"
	contentEvents = "text/event-stream"
)

// finalWriteTimeout is how long after a request's deadline the last bytes of its
// answer may take to reach the caller.
const finalWriteTimeout = 5 * time.Second

// CallerDisconnectedError reports that writing to the caller failed.
type CallerDisconnectedError struct{ Err error }

// Error implements error.
func (e *CallerDisconnectedError) Error() string { return "caller disconnected: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *CallerDisconnectedError) Unwrap() error { return e.Err }

// response writes one call's answer to its caller. For a claimed request it
// also copies the answer and ignores a disconnect, so that a later request with
// the same key finds the complete answer.
type response struct {
	w          http.ResponseWriter
	rc         *http.ResponseController
	call       *call
	ownDomain  string // this instance's failure domain
	started    bool
	bodyUnread bool // a part of the request's body was not read
	status     int
	mediaType  string

	keepCopy     bool
	copied       bytes.Buffer
	maxCopyBytes int  // of copied
	copyOverflow bool // the answer exceeds maxCopyBytes, so there is no copy
	disconnected bool // a claimed request's caller disconnected
	mustAbort    bool // a partly written answer can't be completed; the connection must be aborted
}

func (s *Server) newResponse(w http.ResponseWriter, c *call) *response {
	return &response{
		w:            w,
		rc:           http.NewResponseController(w),
		call:         c,
		ownDomain:    s.opts.FailureDomain,
		maxCopyBytes: s.opts.Limits.BufferedAnswerBytes,
	}
}

// writeHeader sends the answer's status and headers.
func (rw *response) writeHeader(status int, contentType string) {
	rw.started = true
	rw.status = status
	rw.mediaType = contentType
	h := rw.w.Header()
	setOriginHeaders(h, rw.call.id, rw.call.server.FailureDomain, rw.call.server.ID, rw.ownDomain)
	if contentType != "" {
		h.Set("Content-Type", contentType)
	}
	if contentType == contentEvents {
		h.Set("Cache-Control", "no-cache")
	}
	// A caller that does not read must not hold the request past its deadline.
	_ = rw.rc.SetWriteDeadline(rw.call.deadline.Add(finalWriteTimeout)) // not all writers support deadlines
	rw.w.WriteHeader(status)
}

// write sends a part of the answer. Its error is a *CallerDisconnectedError.
func (rw *response) write(b []byte) error {
	if rw.keepCopy {
		rw.copy(b)
	}
	if rw.disconnected {
		return nil
	}
	if _, err := rw.w.Write(b); err != nil {
		return rw.writeFailed(err)
	}
	return nil
}

// flush sends buffered data to the caller.
func (rw *response) flush() error {
	if rw.disconnected {
		return nil
	}
	if err := rw.rc.Flush(); err != nil {
		return rw.writeFailed(err)
	}
	return nil
}

// writeFailed handles a failed write. For a claimed request it records the
// disconnect and returns nil.
func (rw *response) writeFailed(err error) error {
	if rw.keepCopy {
		rw.disconnected = true
		return nil
	}
	return &CallerDisconnectedError{Err: err}
}

// copy appends b to the copy of the answer, or drops the copy if it gets too large.
func (rw *response) copy(b []byte) {
	if rw.copyOverflow || rw.copied.Len()+len(b) > rw.maxCopyBytes {
		rw.copyOverflow = true
		rw.copied = bytes.Buffer{}
		return
	}
	rw.copied.Write(b)
}

// problem sends a problem as the answer.
func (rw *response) problem(p *api.Problem) {
	if rw.bodyUnread { // otherwise net/http would read the rest before answering
		rw.w.Header().Set("Connection", "close")
	}
	p.SetHeaders(rw.w.Header())
	rw.writeHeader(p.Status, contentJSON)
	_ = rw.write(p.JSON(rw.call.id)) // a disconnected caller needs no answer
}

// answerCopy returns the answer that was written, or false if there is no complete
// copy.
func (rw *response) answerCopy() (Answer, bool) {
	if rw.copyOverflow || rw.mustAbort {
		return Answer{}, false
	}
	return Answer{
		Request:       rw.call.id,
		Status:        rw.status,
		ContentType:   rw.mediaType,
		Body:          rw.copied.Bytes(),
		FailureDomain: rw.call.server.FailureDomain,
		Server:        rw.call.server.ID,
	}, true
}

// setOriginHeaders sets the headers that identify the request and the server that
// answered it.
func setOriginHeaders(h http.Header, request, domain, server, ownDomain string) {
	if server == "" {
		domain, server = ownDomain, NoServer
	}
	h.Set(HeaderRequest, request)
	h.Set(HeaderDomain, domain)
	h.Set(HeaderServer, server)
}
