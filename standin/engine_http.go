package standin

import (
	"encoding/json"
	"net/http"
	"strconv"

	"greengageferry/infra"
)

func (e *Engine) routes() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+infra.PathGenerate, e.serveGenerate)
	mux.HandleFunc("POST "+infra.PathCancel, e.serveCancel)
	mux.HandleFunc("POST "+infra.PathOrder, e.serveOrder)
	mux.HandleFunc("GET "+infra.PathStatus, e.serveStatus)
	mux.HandleFunc("GET "+infra.PathCacheEvents, e.serveCacheEvents)
	return mux
}

// ServeHTTP implements http.Handler. While the process is down it breaks the
// connection without a response.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	up := e.up
	e.mu.Unlock()
	if !up {
		panic(http.ErrAbortHandler)
	}
	e.mux.ServeHTTP(w, r)
}

func (e *Engine) serveGenerate(w http.ResponseWriter, r *http.Request) {
	var req infra.GenerateRequest
	if !readJSON(w, r, &req) {
		return
	}
	stream, err := e.generate(r.Context(), req)
	if err != nil {
		writeError(w, err, infra.Batch{})
		return
	}
	defer stream.Close()
	w.Header().Set("Content-Type", infra.ContentTypeEvents)
	if !sendEvents(w, stream) {
		panic(http.ErrAbortHandler)
	}
}

// sendEvents writes the stream's events and returns whether the Finish was sent. A
// reader that falls behind blocks sendEvents, and thereby pauses the generation of
// this stream once its buffer is full.
func sendEvents(w http.ResponseWriter, stream infra.Stream) bool {
	control := http.NewResponseController(w)
	if control.Flush() != nil {
		return false
	}
	for {
		event, err := stream.Recv()
		if err != nil {
			return false
		}
		data, err := json.Marshal(event)
		if err != nil {
			return false
		}
		if _, err := w.Write([]byte("data: " + string(data) + "\n\n")); err != nil || control.Flush() != nil {
			return false
		}
		if event.Finish != "" {
			return true
		}
	}
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	var body infra.CancelBody
	if readJSON(w, r, &body) {
		writeResult(w, e.cancel(r.Context(), body.Attempt))
	}
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order infra.Order
	if readJSON(w, r, &order) {
		writeResult(w, e.order(r.Context(), order))
	}
}

func (e *Engine) serveStatus(w http.ResponseWriter, r *http.Request) {
	status, err := e.status(r.Context())
	if err != nil {
		writeError(w, err, infra.Batch{})
		return
	}
	writeJSON(w, status)
}

func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		writeError(w, refusalError("engine.cache_events", "", infra.ReasonBadRequest), infra.Batch{})
		return
	}
	events, err := e.cacheEvents(r.Context(), after)
	if err != nil {
		writeError(w, err, infra.Batch{})
		return
	}
	writeJSON(w, events)
}
