//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

const (
	heartbeat = 1200 * time.Millisecond
	loadTime  = 1200 * time.Millisecond
)

// arrival is an order as a server received it.
type arrival struct {
	at     time.Time
	holder string
	fence  int64
	op     string
	model  string
	status int
}

// server is a stand-in of a backend server. With models it carries out orders.
type server struct {
	id, service, zone string
	slots             int
	store             *store
	log               *record
	listener          net.Listener
	http              *http.Server
	answer            func(s *server, w http.ResponseWriter, r *http.Request) // nil: answerPlain

	mu     sync.Mutex
	models []string
	busy   bool
	seq    int64
	beats  int64
	orders []arrival
	runs   []run
}

// run is a request as a server received it.
type run struct {
	at                   time.Time
	id, method, path, ev string
}

func newServer(st *store, log *record, id, service, zone string, models ...string) (*server, error) {
	l, err := net.Listen("tcp4", subnet+".9.1:0")
	if err != nil {
		return nil, err
	}
	s := &server{id: id, service: service, zone: zone, slots: 32, store: st, log: log, listener: l, models: models}
	s.http = &http.Server{Handler: s}
	go func() { _ = s.http.Serve(l) }()
	s.beat()
	go func() {
		for range time.Tick(heartbeat) {
			s.beat()
		}
	}()
	return s, nil
}

// beat writes the server's entry.
func (s *server) beat() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.beats++
	e := map[string]any{
		"backend": s.service, "address": s.listener.Addr().String(), "zone": s.zone, "version": 1, "slots": s.slots,
		"state": "ready", "cold-left-ms": 0, "seq": s.beats,
	}
	if s.service == engineService {
		e["models"], e["stage"] = s.held(), "mixed"
	}
	s.store.putJSON("keyed.servers", s.id, e)
}

func (s *server) held() []map[string]any {
	out := []map[string]any{}
	for _, m := range s.models {
		out = append(out, map[string]any{"name": m, "version": 1, "adapters": []string{}})
	}
	return out
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if want := r.Header.Get("Greengageferry-Expect-Instance"); want != "" && want != s.id {
		w.Header().Set("Greengageferry-Not-Run", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/-/order":
		s.order(w, r)
		return
	case "/-/report":
		s.mu.Lock()
		defer s.mu.Unlock()
		writeJSON(w, map[string]any{"stage": "mixed", "models": s.held(), "busy": s.busy, "seq": s.seq, "queued": 0, "active": 0, "kv-used": 0, "kv-total": 130000, "handles": 0})
		return
	}
	id := r.Header.Get("Greengageferry-Request-Id")
	w.Header().Set("Greengageferry-Request-Id", id)
	if model := r.Header.Get("Greengageferry-Model"); s.service == engineService {
		s.mu.Lock()
		held := slices.Contains(s.models, model)
		s.mu.Unlock()
		if !held {
			w.Header().Set("Greengageferry-Not-Run", "1")
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
	}
	s.mu.Lock()
	s.runs = append(s.runs, run{time.Now(), id, r.Method, r.RequestURI, r.Header.Get("Last-Event-Id")})
	s.mu.Unlock()
	if s.answer != nil {
		s.answer(s, w, r)
		return
	}
	answerPlain(s, w, r)
}

// seal marks an answer as the server's own.
func (s *server) seal(w http.ResponseWriter) {
	w.Header().Set("Greengageferry-Server-Seal", "seal."+s.id)
}

func answerPlain(s *server, w http.ResponseWriter, _ *http.Request) {
	time.Sleep(20 * time.Millisecond)
	s.seal(w)
	_, _ = fmt.Fprintf(w, "done by %s\n", s.id)
}

// answerStream sends a stream of events, from the one after Last-Event-Id up to number last. After event
// number breakAfter it resets the connection; 0: it doesn't.
func answerStream(s *server, w http.ResponseWriter, r *http.Request, last, breakAfter int) {
	s.seal(w)
	w.Header().Set("Content-Type", "text/event-stream")
	first := 1
	if n, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = n + 1
	}
	for n := first; n <= last; n++ {
		time.Sleep(20 * time.Millisecond)
		if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d of %d\n\n", n, n, last); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
		if n == breakAfter {
			panic(http.ErrAbortHandler)
		}
	}
}

// order carries out an order as the pages say, with fencing-enforced false.
func (s *server) order(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Op, Model, Adapter, Holder string
		Precondition               *int64
		Fence                      int64
	}
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	holds := slices.Contains(s.models, o.Model)
	status := http.StatusAccepted
	switch {
	case o.Holder == "" || o.Fence == 0:
		status = http.StatusBadRequest
	case s.busy || o.Precondition != nil && *o.Precondition != s.seq:
		status = http.StatusConflict
	case holds == (o.Op == "load"):
		status = http.StatusOK
	}
	s.orders = append(s.orders, arrival{time.Now(), o.Holder, o.Fence, o.Op, o.Model, status})
	s.log.printf("%s gets an order: %s %s from %s, fence %d: %d", s.id, o.Op, o.Model, o.Holder, o.Fence, status)
	w.WriteHeader(status)
	if status != http.StatusAccepted {
		return
	}
	s.seq++
	if o.Op == "unload" {
		s.models = slices.DeleteFunc(s.models, func(m string) bool { return m == o.Model })
	} else {
		s.busy = true
		time.AfterFunc(loadTime, func() {
			s.mu.Lock()
			s.busy, s.models = false, append(s.models, o.Model)
			s.mu.Unlock()
			s.beat()
		})
	}
	go s.beat()
}
