package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	headerRequestID = "Greengageferry-Request-Id"
	headerSeal      = "Greengageferry-Server-Seal"
	headerDeadline  = "Greengageferry-Deadline-Ms"
	topicServers    = "keyed.servers"
	heartbeat       = 1200 * time.Millisecond // as in the settings
	serverSlots     = 6
	serviceTime     = 15 * time.Millisecond
)

// server is a sound server of a plain service.
type server struct {
	world             *world
	id, service, zone string
	addr              string
	mu                sync.Mutex
	beats             int
	state             string
	ran               []string // ids of the requests that it ran
}

// addServer starts a server, which registers itself in the store.
func (w *world) addServer(service string, k int) (*server, error) {
	s := &server{world: w, service: service, id: fmt.Sprint("i-", service, "-", k), zone: zones[k%len(zones)], state: "ready"}
	addr, err := w.serve(s)
	if err != nil {
		return nil, err
	}
	s.addr = addr
	w.servers = append(w.servers, s)
	s.register()
	w.every(heartbeat, s.register)
	return s, nil
}

// entry is a server's entry in the store with all its fields.
type entry struct {
	Backend  string `json:"backend"`
	Address  string `json:"address"`
	Zone     string `json:"zone"`
	Version  string `json:"version"`
	Slots    int    `json:"slots"`
	State    string `json:"state"`
	ColdLeft int    `json:"cold-left-ms"`
	Seq      int    `json:"seq"`
}

// register writes the server's entry.
func (s *server) register() {
	s.mu.Lock()
	s.beats++
	e := entry{Backend: s.service, Address: s.addr, Zone: s.zone, Version: "v1", Slots: serverSlots, State: s.state, Seq: s.beats}
	s.mu.Unlock()
	s.world.putEntry(s.id, e)
}

// leave has the server say that it leaves. It finishes what it runs.
func (s *server) leave() {
	s.mu.Lock()
	s.state = "draining"
	s.mu.Unlock()
	s.register()
}

// putEntry writes an entry, whoever it is from.
func (w *world) putEntry(id string, e any) {
	data, err := json.Marshal(e)
	if err != nil {
		panic(err) // cannot happen: entries hold only strings and numbers
	}
	w.store.Put(topicServers, id, data)
}

// ServeHTTP runs a request, unless it is meant for another server.
func (s *server) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(headerRequestID)
	rw.Header().Set(headerRequestID, id)
	if want := r.Header.Get("Greengageferry-Expect-Instance"); want != "" && want != s.id {
		rw.Header().Set("Greengageferry-Not-Run", "1")
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return // the request ended before it was complete
	}
	s.mu.Lock()
	s.ran = append(s.ran, id)
	s.mu.Unlock()
	s.world.record.add("run %s %s %s by %s of %s", id, r.Method, r.URL.Path, s.id, s.service)
	time.Sleep(serviceTime)
	rw.Header().Set(headerSeal, s.id+"."+id)
	if strings.HasPrefix(r.URL.Path, streamPrefix) {
		s.serveStream(rw, r)
		return
	}
	if r.URL.Path == largePath {
		writeLarge(rw, r)
		return
	}
	_, _ = io.WriteString(rw, s.id+" answers "+r.URL.Path+"\n") // it fails only if the caller has left
}

// runs returns the ids of the requests that the server ran.
func (s *server) runs() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.ran...)
}
