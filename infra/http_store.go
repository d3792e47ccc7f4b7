package infra

import (
	"context"
	"net/http"
	"net/url"
	"strings"
)

// PathStoreLimits is the path of a partner's limits at the weight store. A GET with
// ?partner=P responds with a StoreLimits.
const PathStoreLimits = "/store/limits"

// HTTPStore implements WeightStore over HTTP.
type HTTPStore struct {
	base       string
	httpClient httpClient
}

var _ WeightStore = (*HTTPStore)(nil)

// NewHTTPStore returns a client of the weight store at the base URL.
func NewHTTPStore(base string, client *http.Client) *HTTPStore {
	return &HTTPStore{base: strings.TrimRight(base, "/"), httpClient: newHTTPClient(client)}
}

// Limits implements WeightStore.
func (s *HTTPStore) Limits(ctx context.Context, partner string) (StoreLimits, error) {
	k := call{
		op:     "store.limits",
		addr:   hostOf(s.base),
		method: http.MethodGet,
		url:    s.base + PathStoreLimits + "?partner=" + url.QueryEscape(partner),
	}
	var limits StoreLimits
	if err := s.httpClient.doJSON(ctx, k, &limits); err != nil {
		return StoreLimits{}, err
	}
	return limits, nil
}
