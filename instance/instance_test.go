package instance_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"greengageferry/instance"
	"greengageferry/internal/testmain"
	"greengageferry/netconn"
	"greengageferry/platform"
	"greengageferry/platform/standin"
	"greengageferry/topology"
)

func TestMain(m *testing.M) { testmain.Run(m) }

// waitTimeout bounds how long a test waits for an expected event. It only limits the
// duration of a failure.
const waitTimeout = 30 * time.Second

type runningInstance struct {
	node   *topology.Node
	stop   context.CancelFunc
	exited chan error
	client *http.Client
	links  *serverLinks
}

type deployment struct {
	t             *testing.T
	site          *standin.Site
	instances     []*runningInstance
	lastRequestID atomic.Int64
}

// deploy runs a stand-in site with one instance in each of its failure domains.
func deploy(t *testing.T) *deployment { return deployWith(t, standin.SiteOptions{PlainServers: 1}) }

// deployWith is like deploy, with a site of the given size.
func deployWith(t *testing.T, o standin.SiteOptions) *deployment {
	site, err := standin.NewSiteWith(o)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return site.Run(ctx) })
	d := &deployment{t: t, site: site}
	t.Cleanup(func() {
		var ending sync.WaitGroup
		for _, r := range d.instances {
			ending.Go(func() { d.stopInstance(r) })
		}
		ending.Wait()
		cancel()
		require.NoError(t, group.Wait())
		http.DefaultClient.CloseIdleConnections()
	})
	for _, domain := range site.Domains {
		d.start("front-"+domain, domain)
	}
	for _, r := range d.instances {
		d.waitUntil(func() bool { return d.ready(r) })
	}
	return d
}

func (d *deployment) start(name, domain string) *runningInstance {
	return d.startWith(name, domain, func(*topology.Node) {})
}

// startWith starts an instance with changed settings.
func (d *deployment) startWith(name, domain string, change func(*topology.Node)) *runningInstance {
	node, err := d.site.Node(name, domain)
	require.NoError(d.t, err)
	change(node)
	log := logrus.New()
	log.SetOutput(io.Discard)
	transport := netconn.NewTransport(4, time.Second)
	orders := netconn.NewTransport(1, time.Second)
	store := platform.NewStore(node.StoreAddr, transport)
	links := &serverLinks{}
	i := instance.New(instance.Options{
		Dial: links.dial,
		Node: node, Source: store, Group: store, Counts: store, Quarantines: store, Headers: platform.Headers{}, Orderer: platform.NewOrderClient(orders),
		Clock: netconn.BootTime, Log: log, Rand: rand.New(rand.NewPCG(1, uint64(len(d.instances)))),
	})
	ctx, stop := context.WithCancel(context.Background())
	r := &runningInstance{node: node, stop: stop, exited: make(chan error, 1), client: &http.Client{Transport: &http.Transport{}}, links: links}
	go func() {
		err := i.Run(ctx)
		transport.CloseIdleConnections()
		orders.CloseIdleConnections()
		r.exited <- err
	}()
	d.instances = append(d.instances, r)
	return r
}

// stopInstance stops an instance as the platform does, and waits until its Run returns.
func (d *deployment) stopInstance(r *runningInstance) {
	r.stop()
	select {
	case err := <-r.exited:
		require.NoError(d.t, err)
		r.exited <- nil
	case <-time.After(waitTimeout):
		d.t.Error("the instance didn't end")
	}
	r.client.CloseIdleConnections()
}

func (d *deployment) waitUntil(f func() bool) {
	d.t.Helper()
	require.Eventually(d.t, f, waitTimeout, 20*time.Millisecond)
}

func (d *deployment) ready(r *runningInstance) bool {
	res, err := http.Get("http://" + r.node.HealthAddr + "/-/ready")
	if err != nil {
		return false
	}
	res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// send sends a request through an instance and returns its status, its id and its body;
// status 0: no complete answer.
func (d *deployment) send(r *runningInstance, path, model string) (int, string, string) {
	d.t.Helper()
	return d.sendWithKey(r, path, model, "")
}

// sendWithKey is like send, with an API key unless it is empty.
func (d *deployment) sendWithKey(r *runningInstance, path, model, key string) (int, string, string) {
	d.t.Helper()
	id := fmt.Sprintf("%016x", d.lastRequestID.Add(1))
	req, err := http.NewRequest("POST", "http://"+r.node.CallersAddr+path, strings.NewReader("body"))
	require.NoError(d.t, err)
	req.Host = standin.Host
	req.Header.Set("Greengageferry-Request-Id", id)
	req.Header.Set("Greengageferry-Deadline-Ms", "9000")
	if key != "" {
		req.Header.Set("Greengageferry-Credential", key)
	}
	if model != "" {
		req.Header.Set("Greengageferry-Model", model)
		req.Header.Set("Greengageferry-Token-Usage", "100,10")
	}
	res, err := r.client.Do(req)
	if err != nil {
		return 0, id, ""
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, id, ""
	}
	return res.StatusCode, id, string(body)
}

func TestRequestsModelLoadsAndConfigChangesEndToEnd(t *testing.T) {
	d := deploy(t)
	for _, r := range d.instances {
		status, id, body := d.send(r, standin.PlainPath+"1", "")
		require.Equal(t, 200, status)
		require.Contains(t, body, standin.PlainPath+"1")
		require.Equal(t, 1, d.site.Servers[3].RunCounts()[id])
		status, _, body = d.send(r, standin.StreamPath, standin.BusyModel)
		require.Equal(t, 200, status)
		require.Equal(t, 10, strings.Count(body, "\n\n"))
	}
	// A model and an adapter that no server holds at first are loaded on demand.
	d.waitUntil(func() bool {
		status, _, _ := d.send(d.instances[0], standin.StreamPath, standin.RareModel)
		return status == 200
	})
	d.waitUntil(func() bool {
		status, _, _ := d.send(d.instances[1], standin.StreamPath, standin.BusyModel+"/a3")
		return status == 200
	})
	// A new configuration comes into force on all instances.
	require.NoError(t, d.site.Store.PutConfig(standin.Config(2)))
	for _, r := range d.instances {
		d.waitUntil(func() bool { status, _, _ := d.send(r, "/more/", ""); return status == 200 })
	}
}

func TestKnownConfigurationIsServedDuringStoreOutage(t *testing.T) {
	d := deploy(t)
	d.site.Store.SetDown(true)
	for range 5 {
		for _, r := range d.instances {
			status, _, _ := d.send(r, standin.StreamPath, standin.BusyModel)
			require.Equal(t, 200, status)
		}
	}
	late := d.start("late", d.site.Domains[0])
	d.waitUntil(func() bool { status, _, _ := d.send(late, standin.PlainPath, ""); return status == 503 })
	require.False(t, d.ready(late), "it knows no configuration")
	d.site.Store.SetDown(false)
	require.NoError(t, d.site.Store.PutConfig(standin.Config(2)))
	for _, r := range d.instances {
		d.waitUntil(func() bool { status, _, _ := d.send(r, "/more/", ""); return status == 200 })
	}
}

func TestALeavingServerGetsNoNewRequests(t *testing.T) {
	d := deploy(t)
	leaving := d.site.Servers[0]
	leaving.Drain()
	d.waitUntil(func() bool {
		before := len(leaving.RunCounts())
		for range 10 {
			d.send(d.instances[0], standin.StreamPath, standin.BusyModel)
		}
		return len(leaving.RunCounts()) == before
	})
}

func TestAnInstanceThatEndsCutsNothingOff(t *testing.T) {
	d := deploy(t)
	r := d.instances[0]
	var group errgroup.Group
	begun := make(chan struct{}, 8)
	for range 8 {
		group.Go(func() error {
			begun <- struct{}{}
			status, _, body := d.send(r, standin.StreamPath, standin.BusyModel)
			if status != 200 || strings.Count(body, "\n\n") != 10 {
				return fmt.Errorf("status %d, %d events", status, strings.Count(body, "\n\n"))
			}
			return nil
		})
	}
	for range 8 {
		<-begun
	}
	d.waitUntil(func() bool {
		ran := 0
		for _, s := range d.site.Servers {
			ran += len(s.RunCounts())
		}
		return ran >= 8
	})
	d.stopInstance(r)
	require.NoError(t, group.Wait())
	// The other instance takes over the lease if the stopped one held it.
	d.waitUntil(func() bool {
		status, _, _ := d.send(d.instances[1], standin.StreamPath, standin.RareModel)
		return status == 200
	})
}
