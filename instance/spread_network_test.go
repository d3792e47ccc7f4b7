package instance

import (
	"context"
	"net/http"
	"net/http/httptest"
	"path"
	"time"

	"greengageferry/exchange"
)

// spreadNetwork carries the calls of one instance to the others.
type spreadNetwork struct {
	world *spreadWorld
	from  int
}

// RoundTrip implements http.RoundTripper.
func (t spreadNetwork) RoundTrip(req *http.Request) (*http.Response, error) {
	to := -1
	for n, i := range t.world.instances {
		if i.opts.Node.PeerAddr == req.URL.Host {
			to = n
		}
	}
	if !t.world.reaches(t.from, to) {
		<-req.Context().Done()
		return nil, context.Cause(req.Context())
	}
	time.Sleep(time.Millisecond)
	w := httptest.NewRecorder()
	exchange.NewExchangeServer(exchangeServer{t.world.instances[to]}).ServeHTTP(w, req)
	switch path.Base(req.URL.Path) {
	case "ReportCrashes":
		t.world.crashCalls.Add(1)
	case "State":
		t.world.stateCalls.Add(1)
		t.world.stateBytes.Add(req.ContentLength + int64(w.Body.Len()))
	}
	select {
	case <-time.After(t.world.answerDelay()):
		return w.Result(), nil
	case <-req.Context().Done():
		return nil, context.Cause(req.Context())
	}
}

// answerDelay returns how long the answers of instances without processor time are on their way.
func (w *spreadWorld) answerDelay() time.Duration { return time.Duration(w.late.Load()) }

// reaches reports whether calls of one instance to another are answered.
func (w *spreadWorld) reaches(from, to int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.cut[[2]int{from, to}] && !w.cut[[2]int{to, from}]
}
