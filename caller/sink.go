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

// flushGrace is how long after a request's deadline its last bytes may still
// take to reach the caller.
const flushGrace = 5 * time.Second

// CallerGoneError says that the caller can't be written to any more.
type CallerGoneError struct{ Err error }

// Error implements error.
func (e *CallerGoneError) Error() string { return "the caller is gone: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *CallerGoneError) Unwrap() error { return e.Err }

// sink takes one call's answer to its caller. For a claimed request it keeps a
// copy as well, and a caller that is gone is no error, so that a resend finds
// the whole answer.
type sink struct {
	w       http.ResponseWriter
	rc      *http.ResponseController
	call    *call
	domain  string // this instance's failure domain
	started bool
	unread  bool // the request's body, or a part of it, was not read
	status  int
	content string

	keep     bool
	copied   bytes.Buffer
	most     int  // bytes that the copy may have
	overflow bool // the answer is larger: no copy
	gone     bool // a claimed request's caller is gone
	broken   bool // a part went out that can't be finished: break the connection
}

func (s *Server) newSink(w http.ResponseWriter, c *call) *sink {
	return &sink{
		w:      w,
		rc:     http.NewResponseController(w),
		call:   c,
		domain: s.opts.FailureDomain,
		most:   s.opts.Limits.AnswerBytes,
	}
}

// start sends the answer's head.
func (k *sink) start(status int, contentType string) {
	k.started = true
	k.status = status
	k.content = contentType
	h := k.w.Header()
	setOrigin(h, k.call.id, k.call.server.FailureDomain, k.call.server.ID, k.domain)
	if contentType != "" {
		h.Set("Content-Type", contentType)
	}
	if contentType == contentEvents {
		h.Set("Cache-Control", "no-cache")
	}
	// A caller that reads nothing must not hold the request past its deadline.
	_ = k.rc.SetWriteDeadline(k.call.deadline.Add(flushGrace)) // not all writers have one
	k.w.WriteHeader(status)
}

// write sends a piece of the answer. Its error is a *CallerGoneError.
func (k *sink) write(b []byte) error {
	if k.keep {
		k.copy(b)
	}
	if k.gone {
		return nil
	}
	if _, err := k.w.Write(b); err != nil {
		return k.lost(err)
	}
	return nil
}

// flush sends what was written on its way.
func (k *sink) flush() error {
	if k.gone {
		return nil
	}
	if err := k.rc.Flush(); err != nil {
		return k.lost(err)
	}
	return nil
}

func (k *sink) lost(err error) error {
	if k.keep {
		k.gone = true
		return nil
	}
	return &CallerGoneError{Err: err}
}

func (k *sink) copy(b []byte) {
	if k.overflow || k.copied.Len()+len(b) > k.most {
		k.overflow = true
		k.copied = bytes.Buffer{}
		return
	}
	k.copied.Write(b)
}

// problem sends a problem as the whole answer.
func (k *sink) problem(p *api.Problem) {
	if k.unread { // else the server would read the rest before it answers
		k.w.Header().Set("Connection", "close")
	}
	p.SetHeaders(k.w.Header())
	k.start(p.Status, contentJSON)
	_ = k.write(p.JSON(k.call.id)) // a caller that is gone needs no answer
}

// answer returns what was sent, for resends. It says false if there is no copy.
func (k *sink) answer() (Answer, bool) {
	if k.overflow || k.broken {
		return Answer{}, false
	}
	return Answer{
		Request:       k.call.id,
		Status:        k.status,
		ContentType:   k.content,
		Body:          k.copied.Bytes(),
		FailureDomain: k.call.server.FailureDomain,
		Server:        k.call.server.ID,
	}, true
}

// setOrigin sets the headers that say where an answer is from.
func setOrigin(h http.Header, request, domain, server, ownDomain string) {
	if server == "" {
		domain, server = ownDomain, NoServer
	}
	h.Set(HeaderRequest, request)
	h.Set(HeaderDomain, domain)
	h.Set(HeaderServer, server)
}
