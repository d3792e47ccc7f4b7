package whole

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"greengageferry/config"
	"greengageferry/entry"
	"greengageferry/infra"
	"greengageferry/internal/schedlag"
	"greengageferry/quickstart"
	"greengageferry/record"
	"greengageferry/settings"
	"greengageferry/standin"
)

// Places of the simulated network. Each failure domain and each entry instance is a place
// too, so that the tests can partition each of them separately.
const (
	placePlatform = "platform"
	placeCallers  = "callers"
)

// recoveryTimeout is how long the tests wait for an event, such as that the undisturbed
// system serves every model again. It is generous, so that exceeding it means a fault and
// not a slow machine.
const recoveryTimeout = 90 * time.Second

// engineTimeFactor scales the duration of an engine's steps. A token takes about 2 ms with
// this factor, so that many answers are in progress during a failure that lasts seconds.
const engineTimeFactor = 0.2

// settingsTemplate holds an instance's settings with short times, so that a failure and the
// recovery from it take only seconds.
const settingsTemplate = `
[instance]
id = %q
region = %q
failure_domain = %q
[listen]
callers = "127.0.0.1:0"
peers = "127.0.0.1:0"
operators = "127.0.0.1:0"
[platform]
log = %q
instances = %q
weight_store = %q
[peers]
token = "whole-system-test-token"
[timing]
lease = "2s"
order_flight = "500ms"
status_every = "250ms"
list_every = "250ms"
plan_every = "300ms"
shutdown_delay = "500ms"
`

// deployment is a small version of both partners' deployments, with two entry instances in
// each failure domain.
type deployment struct {
	t        *testing.T
	platform *quickstart.Platform
	network  *standin.Network
	history  History
	nodes    []*node
	group    errgroup.Group
	clients  []*http.Transport
	logs     logTail
	lag      *schedlag.Meter

	mu    sync.Mutex
	truth GroundTruth
	calls int // number of requests created; makes each request unique
}

// node is one entry instance.
type node struct {
	id     string
	domain quickstart.Domain
	entry  *entry.Instance
	stop   context.CancelFunc
	ended  chan struct{}

	mu          sync.Mutex
	gone        bool // killed or shut down: gets no more requests
	partitioned bool // need not have the newest configuration
	catchUpBy   time.Time
}

// deploy starts a deployment and waits until every declared model is reachable.
func deploy(t *testing.T) *deployment {
	d := newDeployment(t)
	d.publishConfig()
	d.startEntries()
	d.waitReachable("at the start")
	return d
}

// newDeployment starts the stand-ins of a deployment, without entry instances.
func newDeployment(t *testing.T) *deployment {
	p, err := quickstart.StartPlatform(quickstart.PlatformOptions{History: true, RestartTime: 500 * time.Millisecond})
	require.NoError(t, err)
	d := &deployment{t: t, platform: p, network: standin.NewNetwork(), lag: schedlag.Start()}
	d.truth = GroundTruth{Leaving: map[string]time.Time{}, Shutdowns: map[string]time.Time{}}
	t.Cleanup(d.close)
	d.truth.Models = declaredModels(t)
	d.placeOnNetwork()
	for _, e := range p.Engines {
		e.SetSlowdown(engineTimeFactor)
	}
	return d
}

// publishConfig proposes the partners' configuration files on the log.
func (d *deployment) publishConfig() {
	files, err := quickstart.Files()
	require.NoError(d.t, err)
	for i, f := range files {
		d.propose(&record.ConfigChange{File: f.Name, Partner: f.Partner, Author: "whole", Content: f.Content}, i)
	}
}

// startEntries starts two entry instances in each failure domain.
func (d *deployment) startEntries() {
	for _, domain := range quickstart.Domains() {
		d.start(domain)
		d.start(domain)
	}
}

// placeOnNetwork assigns the platform's services and the backend servers to places of the
// network.
func (d *deployment) placeOnNetwork() {
	for _, name := range []string{"log", "list", "store"} {
		d.network.SetDomain(d.platform.Servers[name].Addr(), placePlatform)
	}
	for _, i := range d.platform.List.Truth() {
		d.network.SetDomain(i.Addr, i.FailureDomain)
	}
}

// transport returns an HTTP transport that dials from the place through the simulated
// network.
func (d *deployment) transport(place string) *http.Transport {
	t := &http.Transport{DialContext: d.network.Dialer(place, place), MaxIdleConnsPerHost: 64}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.clients = append(d.clients, t)
	return t
}

// start starts an entry instance and adds it to the platform's list.
func (d *deployment) start(domain quickstart.Domain) *node {
	n := &node{id: fmt.Sprintf("entry-%s-%d", domain.Name, len(d.nodes)+1), domain: domain, ended: make(chan struct{})}
	text := fmt.Sprintf(settingsTemplate, n.id, domain.Region, domain.Name,
		d.platform.Servers["log"].URL(), d.platform.Servers["list"].URL(), d.platform.Servers["store"].URL())
	s, err := settings.Parse(n.id, []byte(text))
	require.NoError(d.t, err)
	logger := logrus.New()
	logger.SetOutput(&d.logs)
	n.entry, err = entry.New(entry.Options{
		Settings: s,
		Version:  "whole",
		Log:      logger,
		Rand:     rand.New(rand.NewPCG(1, uint64(len(d.nodes)))),
		Dial:     d.network.Dialer(n.id, n.id),
	})
	require.NoError(d.t, err)
	for _, addr := range n.addrs() {
		d.network.SetDomain(addr, n.id)
	}
	d.platform.List.Put(infra.Instance{
		ID: n.id, Role: infra.RoleEntry, State: infra.StateLive,
		Region: domain.Region, FailureDomain: domain.Name, Addr: n.entry.PeersAddr(),
	})
	d.nodes = append(d.nodes, n)
	ctx, stop := context.WithCancel(context.Background())
	n.stop = stop
	d.group.Go(func() error {
		defer close(n.ended)
		return n.entry.Run(ctx)
	})
	return n
}

func (n *node) addrs() []string {
	return []string{n.entry.CallersAddr(), n.entry.PeersAddr(), n.entry.OperatorsAddr()}
}

// close stops all instances and stand-ins, and prints the instances' last log lines if the
// test has failed.
func (d *deployment) close() {
	if d.t.Failed() {
		d.t.Logf("last log lines:\n%s", d.logs.String())
	}
	for _, n := range d.nodes {
		n.stop()
	}
	err := d.group.Wait()
	d.platform.Close()
	for _, t := range d.clients {
		t.CloseIdleConnections()
	}
	require.NoError(d.t, err)
}

func (n *node) setGone() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.gone = true
}

func (n *node) setPartitioned(partitioned bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitioned = partitioned
	n.catchUpBy = time.Now().Add(ConfigPropagationLimit)
}

// liveNodes returns the instances that still get requests.
func (d *deployment) liveNodes() []*node {
	var liveNodes []*node
	for _, n := range d.nodes {
		n.mu.Lock()
		if !n.gone {
			liveNodes = append(liveNodes, n)
		}
		n.mu.Unlock()
	}
	return liveNodes
}

// check checks each rule, and logs the number of answers by outcome and the number of events
// that each check covered.
func (d *deployment) check() {
	for _, e := range d.platform.Engines {
		d.truth.Engines = append(d.truth.Engines, e.Truth())
	}
	d.truth.Services = map[string][]standin.ServiceRun{}
	for id, s := range d.platform.Services {
		d.truth.Services[id] = s.Truth()
	}
	d.t.Logf("%s", d.lag)
	history := d.history.CallerView()
	outcomes := map[string]int{}
	for _, t := range history {
		outcomes[t.kind()+" "+string(t.Answer.Outcome)+" "+t.Answer.Code]++
	}
	for _, name := range slices.Sorted(maps.Keys(outcomes)) {
		d.t.Logf("%6d answers: %s", outcomes[name], name)
	}
	for _, r := range Check(history, d.truth) {
		d.t.Logf("%6d events: %s", r.Events, r.Rule)
		for _, v := range r.Violations {
			d.t.Errorf("%s: %s", r.Rule, v.Detail)
		}
	}
}

// kind returns the kind of the request, for the log of a test.
func (v CallerView) kind() string {
	switch {
	case v.Service.Service != "" && v.idempotencyKey() != "":
		return "keyed service call"
	case v.Service.Service != "":
		return "service call"
	case v.idempotencyKey() != "":
		return "keyed"
	case v.nonIdempotent():
		return "run once"
	case v.Request.Streamed:
		return "streamed"
	}
	return "whole"
}

// sleep waits for t or until ctx ends.
func sleep(ctx context.Context, t time.Duration) {
	select {
	case <-time.After(t):
	case <-ctx.Done():
	}
}

// declaredModels returns the models and adapters that the partners' files declare.
func declaredModels(t *testing.T) []Model {
	files, err := quickstart.Files()
	require.NoError(t, err)
	cfg, _, err := config.Build(files)
	require.NoError(t, err)
	var models []Model
	for name, m := range cfg.Models {
		models = append(models, Model{Name: name, Model: name, Partner: m.Owner})
	}
	for name, a := range cfg.Adapters {
		models = append(models, Model{Name: name, Model: a.Model, Adapter: name, Partner: a.Owner})
	}
	return models
}
