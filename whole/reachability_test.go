package whole

import (
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/stretchr/testify/require"

	"greengageferry/entry"
	"greengageferry/infra"
	"greengageferry/load"
	"greengageferry/quickstart"
)

// waitReachable waits until each declared model has answered through some instance.
func (d *deployment) waitReachable(when string) {
	deadline := time.Now().Add(recoveryTimeout)
	transport := d.transport(placeCallers)
	for _, m := range d.truth.Models {
		for !d.probe(transport, m) {
			if time.Now().After(deadline) {
				d.dumpState()
				require.Fail(d.t, when+": model "+m.Name+" is not reachable")
			}
			sleep(d.t.Context(), 100*time.Millisecond)
		}
	}
}

// dumpState logs the status and metrics of each instance and the status of each engine.
func (d *deployment) dumpState() {
	client := &http.Client{Transport: d.transport("operators"), Timeout: 2 * time.Second}
	for _, n := range d.liveNodes() {
		for _, path := range []string{entry.PathStatus, entry.PathMetrics} {
			res, err := client.Get("http://" + n.entry.OperatorsAddr() + path)
			if err != nil {
				d.t.Logf("%s%s: %v", n.id, path, err)
				continue
			}
			body, _ := io.ReadAll(res.Body)
			res.Body.Close()
			d.t.Logf("%s%s: %s", n.id, path, body)
		}
	}
	engine := infra.NewHTTPEngine(client)
	for _, id := range slices.Sorted(maps.Keys(d.platform.Engines)) {
		status, err := engine.Status(d.t.Context(), d.platform.Servers[id].Addr())
		d.t.Logf("%s: %+v %v", id, status, err)
	}
}

// probe requests a model once through a random instance, and reports whether it answered.
func (d *deployment) probe(transport *http.Transport, m Model) bool {
	liveNodes := d.liveNodes()
	n := liveNodes[rand.IntN(len(liveNodes))]
	r := d.newRequest(m)
	r.Timeout = 3 * time.Second
	r.MaxTokens = 5
	return d.history.Send(d.t.Context(), n.id, d.client(transport, n, m.Partner), r).Outcome == load.OutcomeComplete
}

func (d *deployment) client(transport *http.Transport, n *node, partner string) *load.Client {
	key := quickstart.FlightKitchenKey
	if partner == quickstart.Instituto {
		key = quickstart.InstitutoKey
	}
	return &load.Client{HTTP: &http.Client{Transport: transport}, URL: "http://" + n.entry.CallersAddr(), Key: key}
}

// newRequest returns a request with a unique prompt and seed.
func (d *deployment) newRequest(m Model) load.Request {
	d.mu.Lock()
	d.calls++
	number := d.calls
	d.mu.Unlock()
	return load.Request{Model: m.Name, Prompt: fmt.Sprintf("request %d", number), MaxTokens: 40, Seed: uint64(number), Timeout: 5 * time.Second}
}
