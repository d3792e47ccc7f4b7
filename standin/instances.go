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

// InstanceList is a stand-in for the platform's list of instances. It lags: a
// reader sees the list as it was some time ago. Its operation is
// "instances.list".
//
// Over HTTP, PUT and DELETE on infra.PathInstances+"/{id}" change it.
type InstanceList struct {
	Faults Faults

	mux *http.ServeMux

	mu    sync.Mutex
	lag   time.Duration
	views []instanceView // oldest first; never empty
}

var (
	_ infra.Instances = (*InstanceList)(nil)
	_ Standin         = (*InstanceList)(nil)
)

// instanceView is the list from a time on, sorted by id. It is immutable.
type instanceView struct {
	from time.Time
	list []infra.Instance
}

// NewInstanceList returns an empty list that lags by the given time.
func NewInstanceList(lag time.Duration) *InstanceList {
	l := &InstanceList{lag: lag, mux: http.NewServeMux(), views: []instanceView{{}}}
	l.mux.HandleFunc("GET "+infra.PathInstances, l.serveList)
	l.mux.HandleFunc("PUT "+infra.PathInstances+"/{id}", l.servePut)
	l.mux.HandleFunc("DELETE "+infra.PathInstances+"/{id}", l.serveDelete)
	return l
}

// Run implements Standin.
func (l *InstanceList) Run(ctx context.Context) error { return idle(ctx) }

// ServeHTTP implements http.Handler.
func (l *InstanceList) ServeHTTP(w http.ResponseWriter, r *http.Request) { l.mux.ServeHTTP(w, r) }

// SetLag changes by how much the list lags.
func (l *InstanceList) SetLag(lag time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lag = lag
}

// Put adds an instance, or replaces the one with its id.
func (l *InstanceList) Put(instance infra.Instance) {
	l.change(instance.ID, func(list []infra.Instance) []infra.Instance { return append(list, instance) })
}

// Remove takes an instance off the list.
func (l *InstanceList) Remove(id string) {
	l.change(id, func(list []infra.Instance) []infra.Instance { return list })
}

// change makes a new view of the list without the id and with what add adds.
func (l *InstanceList) change(id string, add func([]infra.Instance) []infra.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []infra.Instance
	for _, i := range l.views[len(l.views)-1].list {
		if i.ID != id {
			list = append(list, i)
		}
	}
	list = add(list)
	slices.SortFunc(list, func(a, b infra.Instance) int { return strings.Compare(a.ID, b.ID) })
	l.views = append(l.views, instanceView{from: time.Now(), list: list})
	l.prune()
}

// prune drops the views that are older than the one that readers see.
func (l *InstanceList) prune() {
	seen := time.Now().Add(-l.lag)
	for len(l.views) > 1 && !l.views[1].from.After(seen) {
		l.views = l.views[1:]
	}
}

// List implements infra.Instances.
func (l *InstanceList) List(ctx context.Context) ([]infra.Instance, error) {
	var list []infra.Instance
	err := l.Faults.do(ctx, "instances.list", "", func() error {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.prune()
		list = slices.Clone(l.views[0].list)
		return nil
	})
	return list, err
}

// Truth returns the list as it is now, without its lag.
func (l *InstanceList) Truth() []infra.Instance {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.views[len(l.views)-1].list)
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

// sendCompressed writes the body, compressed for a client that takes it so.
func sendCompressed(w http.ResponseWriter, r *http.Request, data []byte) {
	if !strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
		_, _ = w.Write(data) // a reader that has gone needs no answer
		return
	}
	w.Header().Set("Content-Encoding", "gzip")
	compressed := gzip.NewWriter(w)
	defer compressed.Close()
	_, _ = compressed.Write(data) // a reader that has gone needs no answer
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
