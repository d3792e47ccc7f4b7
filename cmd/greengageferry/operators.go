package main

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"greengageferry/infra"
)

const (
	operatorsTimeout = 5 * time.Second
	maxResponseBytes = 64 << 20 // many times the status of 1,900 servers with their models and adapters
)

// getOperatorsJSON decodes the JSON document at path on an instance's operators' address
// into out.
func getOperatorsJSON(ctx context.Context, url, path string, out any) error {
	ctx, cancel := context.WithTimeout(ctx, operatorsTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, strings.TrimSuffix(url, "/")+path, nil)
	if err != nil {
		return err
	}
	resp, err := newHTTPClient().Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return &infra.Error{Op: path + " " + resp.Status, Addr: url, Reason: infra.ReasonUnavailable, Effect: infra.EffectNone}
	}
	return json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(out)
}
