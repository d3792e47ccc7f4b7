package netconn

import (
	"io"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"
)

// MalformedResponseError reports that what arrived in place of a response, or of its end, is none in
// HTTP/1, though net/http accepts it. The server may have run the request.
type MalformedResponseError struct {
	Addr    string // of the server
	Problem string
}

// Error implements error.
func (e *MalformedResponseError) Error() string {
	return e.Addr + ": malformed response: " + e.Problem
}

// The statuses of final responses in HTTP.
const (
	minFinalStatus = 200
	maxFinalStatus = 599
)

// headProblem returns what is wrong with the head of a response, "" if nothing is.
func headProblem(res *http.Response) string {
	// 101 is final too, but never right: no request asks for another protocol.
	if res.StatusCode < minFinalStatus || res.StatusCode > maxFinalStatus {
		return "status " + strconv.Itoa(res.StatusCode)
	}
	return ""
}

// checkHead returns a *MalformedResponseError if the head of the response isn't one in HTTP/1. It then
// closes the response's connection, as what follows on it is no response either.
func checkHead(addr string, res *http.Response, c io.Closer) error {
	problem := headProblem(res)
	if problem == "" {
		return nil
	}
	_ = res.Body.Close() // of a response that nobody reads
	_ = c.Close()        // may be closed already
	return errors.WithStack(&MalformedResponseError{Addr: addr, Problem: problem})
}
