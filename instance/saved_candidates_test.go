package instance_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"greengageferry/netconn"
	"greengageferry/platform"
)

// Guards against an instance that has just started, while there is no lease holder, knowing nobody
// to ask where streams began: it refused to take them up again.
func TestInstanceThatStartsWithoutALeaseHolderKnowsWhomToAsk(t *testing.T) {
	d := deploy(t)
	store := d.store()
	d.waitUntil(func() bool {
		saved, err := store.LoadInstances(t.Context())
		return err == nil && len(saved.Candidates) == len(d.instances)
	})
	d.site.Store.SetLoseJoinResponses(true) // no instance can win the lease
	for _, r := range d.instances {
		d.stopInstance(r)
	}
	late := d.start("late", d.site.Domains[0])
	d.waitUntil(func() bool { return d.ready(late) })
	d.waitUntil(func() bool { return strings.Contains(d.metrics(late), "known_instances 2\n") })
}

// store returns a client of the platform's store that lasts until the test ends.
func (d *deployment) store() *platform.Store {
	transport := netconn.NewTransport(1, time.Second)
	d.t.Cleanup(transport.CloseIdleConnections)
	return platform.NewStore(d.instances[0].node.StoreAddr, transport)
}

// metrics returns the instance's metrics as text.
func (d *deployment) metrics(r *runningInstance) string {
	res, err := http.Get("http://" + r.node.HealthAddr + "/metrics")
	if err != nil {
		return ""
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	require.NoError(d.t, err)
	return string(text)
}
