package infra

import (
	"context"
	"net/http"
	"net/url"
	"strings"
)

// PathStoreLimits is where the weight store answers a GET with ?partner=P with
// its StoreLimits.
const PathStoreLimits = "/store/limits"

// HTTPStore is a WeightStore over HTTP.
type HTTPStore struct {
	base   string
	caller caller
}

var _ WeightStore = (*HTTPStore)(nil)

// NewHTTPStore returns the weight store at the base URL.
func NewHTTPStore(base string, client *http.Client) *HTTPStore {
	return &HTTPStore{base: strings.TrimRight(base, "/"), caller: newCaller(client)}
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
	if err := s.caller.json(ctx, k, &limits); err != nil {
		return StoreLimits{}, err
	}
	return limits, nil
}
