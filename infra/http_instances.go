package infra

import (
	"context"
	"net/http"
	"strings"
	"sync"
)

// PathInstances is where the platform's list answers a GET with a JSON array of
// Instance.
const PathInstances = "/instances"

// maxInstancesBytes bounds the list: a line takes about 200 bytes, and there
// are up to some thousands.
const maxInstancesBytes = 8 << 20

// HTTPInstances is Instances over HTTP. It asks on condition (If-None-Match), so
// that a list that has not changed costs two headers and not its hundreds of
// kilobytes, and takes a compressed answer.
type HTTPInstances struct {
	base   string
	caller caller

	mu   sync.Mutex
	etag string // of last; empty: the list gives none
	last []Instance
}

var _ Instances = (*HTTPInstances)(nil)

// NewHTTPInstances returns the list at the base URL.
func NewHTTPInstances(base string, client *http.Client) *HTTPInstances {
	return &HTTPInstances{base: strings.TrimRight(base, "/"), caller: newCaller(client)}
}

// List implements Instances. The result is shared between calls and must not be
// changed.
func (i *HTTPInstances) List(ctx context.Context) ([]Instance, error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	k := call{
		op:     "instances.list",
		addr:   hostOf(i.base),
		method: http.MethodGet,
		url:    i.base + PathInstances,
		limit:  maxInstancesBytes,
		unless: i.etag,
	}
	res, err := i.caller.send(ctx, k)
	if err != nil {
		return nil, err
	}
	defer res.Body.Close()
	if res.StatusCode == http.StatusNotModified {
		return i.last, nil
	}
	var list []Instance
	if err := k.decode(ctx, res, &list); err != nil {
		return nil, err
	}
	i.etag, i.last = res.Header.Get("ETag"), list
	return list, nil
}
