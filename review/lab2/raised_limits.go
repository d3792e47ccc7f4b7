package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	largeHeaderBytes = 65536
	// manifestBytes is the size of a header that only the raised limit allows.
	manifestBytes    = 30000
	limitsCaseLength = 10 * time.Second
	// allowedDenials and denialShare are the bound of the rule: more than 5 and one in 500 of all
	// requests.
	allowedDenials = 5
	denialShare    = 500
)

// raisedLimits has a new version of the configuration raise the limit of headers, and clients use it
// once every instance in touch must go by that version. Without trouble the first version has the
// higher limit already.
func raisedLimits(w *world, trouble bool) (verdict, error) {
	first := largeHeaderBytes
	if trouble {
		first = smallHeaderBytes
	}
	if err := w.putConfig(1, first); err != nil {
		return verdict{}, err
	}
	if err := w.addServers(); err != nil {
		return verdict{}, err
	}
	if err := w.startInstances(3); err != nil {
		return verdict{}, err
	}
	ask := func(headers map[string]string) func(c *client) answer {
		return func(c *client) answer { return c.send(http.MethodGet, "/notes/2f", headers) }
	}
	answers := w.load(1, 100*time.Millisecond, 2*time.Second, ask(nil))
	if err := w.putConfig(2, largeHeaderBytes); err != nil {
		return verdict{}, err
	}
	answers = append(answers, w.load(1, 100*time.Millisecond, 2*configBound, ask(nil))...)
	manifest := map[string]string{"Manifest": strings.Repeat("k", manifestBytes)}
	answers = append(answers, w.load(1, 100*time.Millisecond, limitsCaseLength, ask(manifest))...)
	denied := 0
	for _, a := range answers {
		if !a.sealed && isDenial(a.status) {
			denied++
		}
	}
	broken := denied > allowedDenials+len(answers)/denialShare
	return verdict{broken, fmt.Sprintf("%d of %d requests were denied by the instances", denied, len(answers))}, nil
}

// isDenial reports whether the rule counts a status of an instance's own as a denial.
func isDenial(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests:
		return false
	}
	return status/100 == 3 || status/100 == 4
}
