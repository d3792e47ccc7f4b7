package infra

import (
	"context"
	"net/http"
	"strings"
	"sync"
)

// PathInstances is the path of the platform's instance list. A GET responds with a JSON array
// of Instance.
const PathInstances = "/instances"

// maxInstancesBytes limits the list. An entry takes about 200 bytes, and there are up to a
// few thousand.
const maxInstancesBytes = 8 << 20

// HTTPInstances implements Instances over HTTP. It makes conditional requests
// (If-None-Match), so that an unchanged list costs only headers instead of hundreds of
// kilobytes, and it accepts compressed responses.
type HTTPInstances struct {
	base       string
	httpClient httpClient

	mu   sync.Mutex
	etag string // ETag of last; empty: the server sent none
	last []Instance
}

var _ Instances = (*HTTPInstances)(nil)

// NewHTTPInstances returns a client of the instance list at the base URL.
func NewHTTPInstances(base string, client *http.Client) *HTTPInstances {
	return &HTTPInstances{base: strings.TrimRight(base, "/"), httpClient: newHTTPClient(client)}
}

// List implements Instances. The result is shared between calls and must not be
// changed.
func (i *HTTPInstances) List(ctx context.Context) ([]Instance, error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	k := call{
		op:          "instances.list",
		addr:        hostOf(i.base),
		method:      http.MethodGet,
		url:         i.base + PathInstances,
		limit:       maxInstancesBytes,
		ifNoneMatch: i.etag,
	}
	res, err := i.httpClient.send(ctx, k)
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
