package standin

import (
	"compress/gzip"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"greengageferry/infra"
)

// InstanceList is a fake of the platform's list of instances. Readers see the list
// as it was some time ago. The operation for Faults is "instances.list".
//
// Over HTTP, PUT and DELETE on infra.PathInstances+"/{id}" change the list.
type InstanceList struct {
	Faults Faults

	mux *http.ServeMux

	mu       sync.Mutex
	lag      time.Duration
	versions []listVersion // oldest first; never empty
}

var (
	_ infra.Instances = (*InstanceList)(nil)
	_ Fake            = (*InstanceList)(nil)
)

// listVersion is the list's content since a point in time, sorted by id. It is
// immutable.
type listVersion struct {
	since time.Time
	list  []infra.Instance
}

// NewInstanceList returns an empty list that readers see with the given delay.
func NewInstanceList(lag time.Duration) *InstanceList {
	l := &InstanceList{lag: lag, mux: http.NewServeMux(), versions: []listVersion{{}}}
	l.mux.HandleFunc("GET "+infra.PathInstances, l.serveList)
	l.mux.HandleFunc("PUT "+infra.PathInstances+"/{id}", l.servePut)
	l.mux.HandleFunc("DELETE "+infra.PathInstances+"/{id}", l.serveDelete)
	return l
}

// Run implements Fake.
func (l *InstanceList) Run(ctx context.Context) error { return waitDone(ctx) }

// ServeHTTP implements http.Handler.
func (l *InstanceList) ServeHTTP(w http.ResponseWriter, r *http.Request) { l.mux.ServeHTTP(w, r) }

// SetLag changes the delay with which readers see the list.
func (l *InstanceList) SetLag(lag time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lag = lag
}

// Put adds an instance or replaces the one with the same id.
func (l *InstanceList) Put(instance infra.Instance) {
	l.update(instance.ID, func(list []infra.Instance) []infra.Instance { return append(list, instance) })
}

// Remove removes an instance from the list.
func (l *InstanceList) Remove(id string) {
	l.update(id, func(list []infra.Instance) []infra.Instance { return list })
}

// update adds a version of the list: the newest one without the instance id, passed
// through add.
func (l *InstanceList) update(id string, add func([]infra.Instance) []infra.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []infra.Instance
	for _, i := range l.versions[len(l.versions)-1].list {
		if i.ID != id {
			list = append(list, i)
		}
	}
	list = add(list)
	slices.SortFunc(list, func(a, b infra.Instance) int { return strings.Compare(a.ID, b.ID) })
	l.versions = append(l.versions, listVersion{since: time.Now(), list: list})
	l.prune()
}

// prune drops the versions that are older than the one that readers see. The caller
// holds mu.
func (l *InstanceList) prune() {
	visible := time.Now().Add(-l.lag)
	for len(l.versions) > 1 && !l.versions[1].since.After(visible) {
		l.versions = l.versions[1:]
	}
}

// List implements infra.Instances.
func (l *InstanceList) List(ctx context.Context) ([]infra.Instance, error) {
	var list []infra.Instance
	err := l.Faults.inject(ctx, "instances.list", "", func() error {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.prune()
		list = slices.Clone(l.versions[0].list)
		return nil
	})
	return list, err
}

// Truth returns the list as it is now, without the delay.
func (l *InstanceList) Truth() []infra.Instance {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.versions[len(l.versions)-1].list)
}

func (l *InstanceList) serveList(w http.ResponseWriter, r *http.Request) {
	list, err := l.List(r.Context())
	if err != nil {
		writeError(w, err, infra.Batch{})
		return
	}
	if list == nil {
		list = []infra.Instance{}
	}
	data, err := json.Marshal(list)
	if err != nil {
		writeError(w, err, infra.Batch{})
		return
	}
	etag := fmt.Sprintf("%q", strconv.FormatUint(xxhash.Sum64(data), 16))
	w.Header().Set("ETag", etag)
	if r.Header.Get("If-None-Match") == etag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	sendCompressed(w, r, data)
}

// sendCompressed writes the body, with gzip if the client accepts that.
func sendCompressed(w http.ResponseWriter, r *http.Request, data []byte) {
	if !strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
		_, _ = w.Write(data) // fails only if the client has disconnected
		return
	}
	w.Header().Set("Content-Encoding", "gzip")
	compressed := gzip.NewWriter(w)
	defer compressed.Close()
	_, _ = compressed.Write(data) // fails only if the client has disconnected
}

func (l *InstanceList) servePut(w http.ResponseWriter, r *http.Request) {
	var instance infra.Instance
	if !readJSON(w, r, &instance) {
		return
	}
	instance.ID = r.PathValue("id")
	l.Put(instance)
	w.WriteHeader(http.StatusNoContent)
}

func (l *InstanceList) serveDelete(w http.ResponseWriter, r *http.Request) {
	l.Remove(r.PathValue("id"))
	w.WriteHeader(http.StatusNoContent)
}
