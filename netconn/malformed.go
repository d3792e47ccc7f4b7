package netconn

import (
	"io"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"

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
	if res.ProtoMajor != 1 {
		return "version " + res.Proto
	}
	// 101 is final too, but never right: no request asks for another protocol.
	if res.StatusCode < minFinalStatus || res.StatusCode > maxFinalStatus {
		return "status " + strconv.Itoa(res.StatusCode)
	}
	return fieldProblem(res.Header)
}

// fieldProblem returns what is wrong with the names of fields, "" if nothing is. net/http refuses names
// with any other character that isn't allowed, but it accepts blanks, before the colon too, and doesn't
// take such a field for what it resembles: not for a Content-Length or a Transfer-Encoding.
func fieldProblem(fields http.Header) string {
	for name, values := range fields {
		// Without values it isn't a field, but was only announced as a trailer.
		if len(values) > 0 && strings.Contains(name, " ") {
			return "field name " + strconv.Quote(name)
		}
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

// checkInformational returns a *MalformedResponseError if the head of an informational response isn't
// one in HTTP/1.
func checkInformational(addr string, fields textproto.MIMEHeader) error {
	if problem := fieldProblem(http.Header(fields)); problem != "" {
		return errors.WithStack(&MalformedResponseError{Addr: addr, Problem: problem})
	}
	return nil
}

// checkedBody is the body of a response. Read returns a *MalformedResponseError in place of io.EOF if the
// response's trailer isn't one in HTTP/1.
type checkedBody struct {
	io.ReadCloser
	res  *http.Response
	addr string    // of the server
	conn io.Closer // the connection of the response
}

// Read implements io.Reader.
func (b *checkedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != io.EOF {
		return n, err
	}
	if problem := fieldProblem(b.res.Trailer); problem != "" {
		_ = b.conn.Close() // may be closed already
		return n, errors.WithStack(&MalformedResponseError{Addr: b.addr, Problem: "trailer: " + problem})
	}
	return n, io.EOF
}
