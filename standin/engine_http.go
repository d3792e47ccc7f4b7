package standin

import (
	"encoding/json"
	"net/http"
	"strconv"

	"greengageferry/platform"
)

func (e *Engine) routes() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+platform.PathGenerate, e.serveGenerate)
	mux.HandleFunc("POST "+platform.PathCancel, e.serveCancel)
	mux.HandleFunc("POST "+platform.PathOrder, e.serveOrder)
	mux.HandleFunc("GET "+platform.PathStatus, e.serveStatus)
	mux.HandleFunc("GET "+platform.PathCacheEvents, e.serveCacheEvents)
	return mux
}

// ServeHTTP implements http.Handler. A process that isn't there answers
// nothing.
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
	var req platform.GenerateRequest
	if !readJSON(w, r, &req) {
		return
	}
	stream, err := e.generate(r.Context(), req)
	if err != nil {
		writeError(w, err, platform.Batch{})
		return
	}
	defer stream.Close()
	w.Header().Set("Content-Type", platform.ContentTypeEvents)
	if !sendEvents(w, stream) {
		panic(http.ErrAbortHandler)
	}
}

// sendEvents writes a stream's events, and says whether it went out whole. What
// the reader doesn't take holds it up, and with it the engine.
func sendEvents(w http.ResponseWriter, stream platform.Stream) bool {
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
	var body platform.CancelBody
	if readJSON(w, r, &body) {
		answer(w, e.cancel(r.Context(), body.Attempt))
	}
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order platform.Order
	if readJSON(w, r, &order) {
		answer(w, e.order(r.Context(), order))
	}
}

func (e *Engine) serveStatus(w http.ResponseWriter, r *http.Request) {
	status, err := e.status(r.Context())
	if err != nil {
		writeError(w, err, platform.Batch{})
		return
	}
	writeJSON(w, status)
}

func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		writeError(w, refusal("engine.cache_events", "", platform.ReasonBadRequest), platform.Batch{})
		return
	}
	events, err := e.cacheEvents(r.Context(), after)
	if err != nil {
		writeError(w, err, platform.Batch{})
		return
	}
	writeJSON(w, events)
}
