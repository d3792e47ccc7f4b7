package whole

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
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
	"google.golang.org/protobuf/proto"

	"greengageferry/config"
	"greengageferry/entry"
	"greengageferry/infra"
	"greengageferry/load"
	"greengageferry/quickstart"
	"greengageferry/record"
	"greengageferry/replay"
	"greengageferry/settings"
	"greengageferry/standin"
)

// Places of the network beside the entry instances, which are places of their
// own so that each can be cut off.
const (
	placePlatform = "platform"
	placeCallers  = "callers"
)

// recoverLimit bounds how long a system that nothing disturbs any more may take
// to serve every model again. It is no verdict on speed: a test that runs into
// it has found that a model is out of reach.
const recoverLimit = 90 * time.Second

// quick is the time that an engine's steps take, as a part of the usual: a
// token takes some 2 ms, so that a failure meets many answers within seconds.
const quick = 0.2

// entrySettings are an instance's settings with short times, so that a failure
// runs its whole course within seconds.
const entrySettings = `
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

// deployment is both partners' deployments in small, with two entry instances
// in each failure domain.
type deployment struct {
	t        *testing.T
	platform *quickstart.Platform
	network  *standin.Network
	history  History
	nodes    []*node
	group    errgroup.Group
	clients  []*http.Transport
	logs     tail

	mu    sync.Mutex
	truth Truth
	calls int // numbers requests, so that no two are alike
}

// tailBytes is how much of the log a failed test shows.
const tailBytes = 1 << 20

// tail keeps the end of what is written to it.
type tail struct {
	mu   sync.Mutex
	data []byte
}

// Write implements io.Writer.
func (l *tail) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.data = append(l.data, p...)
	if over := len(l.data) - 2*tailBytes; over > 0 {
		l.data = append([]byte(nil), l.data[len(l.data)-tailBytes:]...)
	}
	return len(p), nil
}

// String returns what is kept.
func (l *tail) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return string(l.data)
}

// node is one entry instance.
type node struct {
	id     string
	domain quickstart.Domain
	entry  *entry.Instance
	stop   context.CancelFunc
	ended  chan struct{}

	mu      sync.Mutex
	gone    bool // killed, or shut down: gets no more requests
	cut     bool // cut off: need not know the newest configuration
	rejoins time.Time
}

// deploy starts a deployment and waits until every declared model answers.
func deploy(t *testing.T) *deployment {
	d := newDeployment(t)
	d.publish()
	d.startEntries()
	d.reachable("at the start")
	return d
}

// newDeployment starts the stand-ins of a deployment.
func newDeployment(t *testing.T) *deployment {
	p, err := quickstart.StartPlatform(quickstart.PlatformOptions{History: true, RestartTime: 500 * time.Millisecond})
	require.NoError(t, err)
	d := &deployment{t: t, platform: p, network: standin.NewNetwork()}
	d.truth = Truth{Leaving: map[string]time.Time{}, Shutdowns: map[string]time.Time{}}
	t.Cleanup(d.close)
	d.truth.Models = declared(t)
	d.placeServers()
	for _, e := range p.Engines {
		e.SetSlowdown(quick)
	}
	return d
}

// publish puts the partners' files on the log.
func (d *deployment) publish() {
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

// placeServers puts the platform and the backend servers into the network.
func (d *deployment) placeServers() {
	for _, name := range []string{"log", "list", "store"} {
		d.network.SetDomain(d.platform.Servers[name].Addr(), placePlatform)
	}
	for _, i := range d.platform.List.Truth() {
		d.network.SetDomain(i.Addr, i.FailureDomain)
	}
}

// transport returns a transport whose dials go through the network.
func (d *deployment) transport(place string) *http.Transport {
	t := &http.Transport{DialContext: d.network.Dialer(place, place), MaxIdleConnsPerHost: 64}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.clients = append(d.clients, t)
	return t
}

// start starts an entry instance and puts it on the platform's list.
func (d *deployment) start(domain quickstart.Domain) *node {
	n := &node{id: fmt.Sprintf("entry-%s-%d", domain.Name, len(d.nodes)+1), domain: domain, ended: make(chan struct{})}
	text := fmt.Sprintf(entrySettings, n.id, domain.Region, domain.Name,
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

// close ends everything, and shows the instances' last log lines if the test
// has failed.
func (d *deployment) close() {
	if d.t.Failed() {
		d.t.Logf("the last log lines:\n%s", d.logs.String())
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

// propose appends a configuration change to the log.
func (d *deployment) propose(change *record.ConfigChange, sequence int) infra.Offset {
	data, err := proto.Marshal(&record.Record{
		Origin:   "whole/" + change.GetPartner() + "/" + change.GetAuthor(),
		Sequence: uint64(sequence + 1),
		Body:     &record.Record_ConfigChange{ConfigChange: change},
	})
	require.NoError(d.t, err)
	offset, err := d.platform.Log.Append(d.t.Context(), infra.StreamConfig, [][]byte{data})
	require.NoError(d.t, err)
	return offset
}

// inForce replays the config stream from the log's own records.
func (d *deployment) inForce() *replay.ConfigView {
	machine := replay.NewConfig()
	for _, r := range d.platform.Log.Truth().Records[infra.StreamConfig] {
		var rec record.Record
		require.NoError(d.t, proto.Unmarshal(r.Data, &rec))
		machine.Apply(r.Offset, &rec)
	}
	return machine.View()
}

// watchConfig notes what is accepted and what each instance has in force, until
// ctx ends.
func (d *deployment) watchConfig(ctx context.Context) {
	client := &http.Client{Transport: d.transport("operators"), Timeout: 2 * time.Second}
	var accepted uint64
	for ctx.Err() == nil {
		if changed := uint64(d.inForce().Changed); changed > accepted {
			accepted = changed
			d.mu.Lock()
			d.truth.Accepted = append(d.truth.Accepted, Accepted{Offset: accepted, At: time.Now()})
			d.mu.Unlock()
		}
		for _, n := range d.nodes {
			d.look(ctx, client, n)
		}
		pause(ctx, 200*time.Millisecond)
	}
}

// look asks one instance what it has in force.
func (d *deployment) look(ctx context.Context, client *http.Client, n *node) {
	asked := time.Now()
	status, err := n.status(ctx, client)
	if err != nil || !n.mustKnow(asked) {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.truth.Seen = append(d.truth.Seen, Seen{Instance: n.id, Offset: status.ConfigOffset, At: asked})
}

func (n *node) status(ctx context.Context, client *http.Client) (entry.Status, error) {
	var status entry.Status
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.entry.OperatorsAddr()+entry.PathStatus, nil)
	if err != nil {
		return status, err
	}
	res, err := client.Do(req)
	if err != nil {
		return status, err
	}
	defer res.Body.Close()
	return status, json.NewDecoder(res.Body).Decode(&status)
}

// mustKnow says whether the instance has to have the newest configuration: it
// lives, isn't cut off, and has had the time since it was.
func (n *node) mustKnow(now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.gone && !n.cut && now.After(n.rejoins)
}

func (n *node) setGone() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.gone = true
}

func (n *node) setCut(cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = cut
	n.rejoins = time.Now().Add(ConfigLimit)
}

// live returns the instances that take requests.
func (d *deployment) live() []*node {
	var live []*node
	for _, n := range d.nodes {
		n.mu.Lock()
		if !n.gone {
			live = append(live, n)
		}
		n.mu.Unlock()
	}
	return live
}

// reachable waits until each declared model answers through some instance.
func (d *deployment) reachable(when string) {
	deadline := time.Now().Add(recoverLimit)
	transport := d.transport(placeCallers)
	for _, m := range d.truth.Models {
		for !d.probe(transport, m) {
			if time.Now().After(deadline) {
				d.explain()
				require.Fail(d.t, when+": "+m.Name+" isn't reachable")
			}
			pause(d.t.Context(), 100*time.Millisecond)
		}
	}
}

// explain shows what each instance sees and counts, and what the engines hold.
func (d *deployment) explain() {
	client := &http.Client{Transport: d.transport("operators"), Timeout: 2 * time.Second}
	for _, n := range d.live() {
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

// probe asks for a model once, and says whether it answered.
func (d *deployment) probe(transport *http.Transport, m Model) bool {
	live := d.live()
	n := live[rand.IntN(len(live))]
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

// newRequest returns a request that is like no other.
func (d *deployment) newRequest(m Model) load.Request {
	d.mu.Lock()
	d.calls++
	number := d.calls
	d.mu.Unlock()
	return load.Request{Model: m.Name, Prompt: fmt.Sprintf("request %d", number), MaxTokens: 40, Seed: uint64(number), Timeout: 5 * time.Second}
}

// check compares what callers were told with what happened, and tells how much
// each rule looked at.
func (d *deployment) check() {
	for _, e := range d.platform.Engines {
		d.truth.Engines = append(d.truth.Engines, e.Truth())
	}
	d.truth.Services = map[string][]standin.ServiceRun{}
	for id, s := range d.platform.Services {
		d.truth.Services[id] = s.Truth()
	}
	history := d.history.Told()
	outcomes := map[string]int{}
	for _, t := range history {
		outcomes[t.kind()+" "+string(t.Answer.Outcome)+" "+t.Answer.Code]++
	}
	for _, name := range slices.Sorted(maps.Keys(outcomes)) {
		d.t.Logf("%6d told: %s", outcomes[name], name)
	}
	for _, r := range Check(history, d.truth) {
		d.t.Logf("%6d events: %s", r.Events, r.Rule)
		for _, v := range r.Violations {
			d.t.Errorf("%s: %s", r.Rule, v.Detail)
		}
	}
}

// kind classes a request for the log of a test.
func (t Told) kind() string {
	switch {
	case t.Service.Service != "" && t.key() != "":
		return "keyed service call"
	case t.Service.Service != "":
		return "service call"
	case t.key() != "":
		return "keyed"
	case t.nonIdempotent():
		return "run once"
	case t.Request.Streamed:
		return "streamed"
	}
	return "whole"
}

// pause waits, or until ctx ends.
func pause(ctx context.Context, t time.Duration) {
	select {
	case <-time.After(t):
	case <-ctx.Done():
	}
}

// declared returns what the partners' files declare.
func declared(t *testing.T) []Model {
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
