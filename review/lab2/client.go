package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	host       = "ficu95.example"
	timeBudget = 4 * time.Second // of each request
)

// client sends requests to one instance, over kept connections.
type client struct {
	world    *world
	instance *instance
	http     *http.Client
}

var lastID atomic.Int64

func (w *world) newClient(i *instance) *client {
	return &client{w, i, &http.Client{Transport: &http.Transport{DisableCompression: true}, Timeout: timeBudget}}
}

// answer is what a client got for a request.
type answer struct {
	id     string
	status int // 0: none
	sealed bool
}

// send sends a request with further headers and waits for its answer.
func (c *client) send(method, path string, headers map[string]string) answer {
	id := fmt.Sprintf("%016x", lastID.Add(1))
	a := answer{id: id}
	body := io.Reader(nil)
	if method == http.MethodPost {
		body = strings.NewReader("two trays, no nuts")
	}
	req, err := http.NewRequest(method, "http://"+c.instance.Front+path, body)
	if err != nil {
		panic(err) // cannot happen: the address and the path are in order
	}
	req.Host = host
	req.Header.Set(headerRequestID, id)
	req.Header.Set(headerDeadline, fmt.Sprint(timeBudget.Milliseconds()))
	for name, value := range headers {
		req.Header.Set(name, value)
	}
	c.world.record.add("send %s %s %s to %s", id, method, path, c.instance.Name)
	res, err := c.http.Do(req)
	if err != nil {
		c.world.record.add("answer %s: none (%v)", id, err)
		return a
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	if err != nil {
		c.world.record.add("answer %s: broken off (%v)", id, err)
		return a
	}
	a.status, a.sealed = res.StatusCode, res.Header.Get(headerSeal) != ""
	c.world.record.add("answer %s: %d %s %s", id, a.status, res.Header.Get(headerSeal), strings.TrimSpace(string(text)))
	return a
}

// load has clients at each instance send requests one after the other, with pauses, for a time. It
// returns the answers.
func (w *world) load(clients int, pause, length time.Duration, send func(c *client) answer) []answer {
	var mu sync.Mutex
	var all []answer
	var group sync.WaitGroup
	end := time.Now().Add(length)
	for _, i := range w.instances {
		for range clients {
			group.Go(func() {
				for c := w.newClient(i); time.Now().Before(end); time.Sleep(pause) {
					a := send(c)
					mu.Lock()
					all = append(all, a)
					mu.Unlock()
				}
			})
		}
	}
	group.Wait()
	return all
}

// countServed returns how many answers are successes of a server.
func countServed(answers []answer) int {
	n := 0
	for _, a := range answers {
		if a.status/100 == 2 && a.sealed {
			n++
		}
	}
	return n
}

// route returns a route of a configuration, in the platform's format.
func route(name, prefix, kind, service string) map[string]any {
	return map[string]any{
		"name": name, "host": host, "path-prefix": prefix, "kind": kind, "backend": service,
		"timeout-ms": 4000, "goal-ms": 300, "priority": 1, "attempts": 2,
	}
}

// putConfig writes a configuration with two plain services, whose clients may send so many bytes of
// headers, and with further routes.
func (w *world) putConfig(version, headerBytes int, routes ...any) error {
	w.record.add("config %d written, max-header-bytes %d", version, headerBytes)
	return w.store.PutConfig(map[string]any{
		"version": version,
		"routes":  append(routes, route("orders", "/orders/", "unsafe", serviceOrders), route("notes", "/notes/", "safe", serviceNotes)),
		"services": []any{
			map[string]any{"name": serviceOrders, "max-conns": 110},
			map[string]any{"name": serviceNotes, "max-conns": 110},
		},
		"limits": map[string]any{"max-header-bytes": headerBytes, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	})
}

// The services of the deployment.
const (
	serviceOrders = "order-desk"
	serviceNotes  = "meal-notes"
)

// addServers starts the servers of both services.
func (w *world) addServers() error {
	for k := range 4 {
		if _, err := w.addServer(serviceOrders, k); err != nil {
			return err
		}
	}
	for k := range 2 {
		if _, err := w.addServer(serviceNotes, k); err != nil {
			return err
		}
	}
	return nil
}
