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
	operatorsTime     = 5 * time.Second
	maxOperatorsBytes = 64 << 20 // some 1,900 servers with their items, many times over
)

// askOperators fetches a JSON document from an instance's operators' address.
func askOperators(ctx context.Context, url, path string, out any) error {
	ctx, cancel := context.WithTimeout(ctx, operatorsTime)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, strings.TrimSuffix(url, "/")+path, nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return &infra.Error{Op: path + " " + resp.Status, Addr: url, Reason: infra.ReasonUnavailable, Effect: infra.EffectNone}
	}
	return json.NewDecoder(io.LimitReader(resp.Body, maxOperatorsBytes)).Decode(out)
}
