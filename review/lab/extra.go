//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { scenarios["extra"] = playExtra }

const (
	garbleFor   = 5 * time.Second // how long the faulty servers send additional bytes
	garbleEvery = 20              // one response in so many is followed by them: a share of 0.05
	orderEvery  = 10 * time.Millisecond
	workTime    = 60 * time.Millisecond
)

// orderServer is a stand-in of a plain server that is written by hand, so that it can be faulty as the
// pages say: it sends additional bytes after a complete response. They arrive late, at the point
// where the next response is expected.
type orderServer struct {
	id     string
	lab    *lab
	faulty atomic.Bool

	mu     sync.Mutex
	ran    map[string]int // by request id
	faults int            // responses while it is faulty
	extras int            // of them followed by additional bytes
}

// serve serves the connections of one listener.
func (s *orderServer) serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go s.serveConn(c)
	}
}

func (s *orderServer) serveConn(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	extraDue := false // the last response is followed by additional bytes
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		id := req.Header.Get("Greengageferry-Request-Id")
		if want := req.Header.Get("Greengageferry-Expect-Instance"); want != "" && want != s.id {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nGreengageferry-Request-Id: %s\r\nGreengageferry-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", id)
			continue
		}
		if extraDue {
			s.lab.log.printf("%s sends additional bytes of before, as %s arrives", s.id, id)
			_, _ = io.WriteString(c, "HTTP/1.1 400 Bad Request\r\nGreengageferry-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
		}
		s.mu.Lock()
		s.ran[id]++
		s.mu.Unlock()
		s.lab.log.printf("%s runs %s (%s %s)", s.id, id, req.Method, req.RequestURI)
		time.Sleep(workTime)
		kind, body := "text/plain", "done by "+s.id+"\n"
		if strings.HasPrefix(req.RequestURI, "/draft/") {
			kind, body = "text/event-stream", "id: 1\ndata: all of it\n\n"
		}
		_, err = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nGreengageferry-Request-Id: %s\r\nGreengageferry-Server-Seal: seal.%s\r\nContent-Type: %s\r\nKeep-Alive: timeout=5\r\nContent-Length: %d\r\n\r\n%s", id, s.id, kind, len(body), body)
		if err != nil {
			return
		}
		extraDue = s.faulty.Load() && s.drawExtra()
	}
}

// drawExtra reports whether additional bytes follow a response.
func (s *orderServer) drawExtra() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults++
	if s.faults%garbleEvery != 0 {
		return false
	}
	s.extras++
	return true
}

// playExtra has four plain servers, two of which send additional bytes after some responses for a
// while. Clients send requests that aren't idempotent.
func playExtra(l *lab) (bool, error) {
	routes := []any{route("place", "/place/", "unsafe", plainService, 1, false), route("draft", "/draft/", "streaming", plainService, 2, false)}
	l.store.putJSON("keyed.op", "config", config(routes, []string{"m0"}))
	var servers []*orderServer
	for n := range 4 {
		li, err := net.Listen("tcp4", subnet+".9.1:0")
		if err != nil {
			return false, err
		}
		defer li.Close()
		s := &orderServer{id: fmt.Sprintf("i-desk%d", n), lab: l, ran: map[string]int{}}
		servers = append(servers, s)
		go s.serve(li)
		entry := &server{id: s.id, service: plainService, zone: fmt.Sprintf("zone-%d", n%2+1), slots: 6, store: l.store, log: l.log, listener: li}
		go func() {
			for ; ; time.Sleep(heartbeat) {
				entry.beat()
			}
		}()
	}
	if err := l.addInstances(2); err != nil {
		return false, err
	}
	for _, i := range l.instances {
		if err := i.start(); err != nil {
			return false, err
		}
		if err := l.waitReady(i); err != nil {
			return false, err
		}
	}
	time.Sleep(4 * time.Second)
	caller := &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	var mu sync.Mutex
	answers := map[string]int{} // status by request id, 0: none
	var calls sync.WaitGroup
	send := func(n int) {
		defer calls.Done()
		i, path := l.instances[n%2], [2]string{"/place/", "/draft/"}[n/2%2]
		id := fmt.Sprintf("%s-%d", strings.Trim(path, "/"), n)
		req, _ := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s:%d%sx", realHost(i.n), frontPort, path), strings.NewReader(strings.Repeat("x", 600)))
		req.Host = host
		req.Header.Set("Greengageferry-Request-Id", id)
		req.Header.Set("Greengageferry-Deadline-Ms", "4000")
		status := 0
		if res, err := caller.Do(req); err == nil {
			_, _ = io.Copy(io.Discard, res.Body)
			_ = res.Body.Close()
			status = res.StatusCode
		}
		l.log.printf("client gets %d for %s from %s", status, id, i.name)
		mu.Lock()
		answers[id] = status
		mu.Unlock()
	}
	n := 0
	traffic := func(d time.Duration) {
		for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(orderEvery) {
			calls.Add(1)
			go send(n)
			n++
		}
	}
	traffic(3 * time.Second)
	if l.trouble {
		l.log.printf("DISRUPTION: %s and %s send additional bytes after one response in %d for %v", servers[0].id, servers[1].id, garbleEvery, garbleFor)
		servers[0].faulty.Store(true)
		servers[1].faulty.Store(true)
	}
	traffic(garbleFor)
	for _, s := range servers {
		s.faulty.Store(false)
	}
	l.log.printf("DISRUPTION ended")
	traffic(2 * time.Second)
	calls.Wait()
	return l.judgeExtra(servers, answers), nil
}

// judgeExtra applies the rules TWICE and REFUSED.
func (l *lab) judgeExtra(servers []*orderServer, answers map[string]int) bool {
	runs, extras, twice, refused, statuses := map[string]int{}, 0, 0, 0, map[int]int{}
	for _, s := range servers {
		s.mu.Lock()
		for id, n := range s.ran {
			runs[id] += n
		}
		extras += s.extras
		s.mu.Unlock()
	}
	for id, status := range answers {
		statuses[status]++
		if runs[id] > 1 {
			twice++
			l.log.printf("BROKEN: %s, which isn't idempotent, ran %d times; its client got %d", id, runs[id], status)
		}
		promise := status == 503 || status == 429 || status == 408 || status == 421
		if promise && runs[id] > 0 {
			refused++
			l.log.printf("BROKEN: %s was answered %d, which says that it has not run, and ran %d times", id, status, runs[id])
		}
	}
	l.log.printf("%d requests; answers by status: %v; additional bytes after %d responses", len(answers), statuses, extras)
	l.log.printf("TWICE: %d requests ran more than once; REFUSED: %d were refused and had run", twice, refused)
	return twice+refused > 0
}
