package quickstart

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"greengageferry/instance"
	"greengageferry/netconn"
	"greengageferry/platform"
	"greengageferry/platform/standin"
	"greengageferry/supervise"
	"greengageferry/topology"
)

const (
	// platformReadyTimeout bounds the wait until an instance is ready. It is short, since
	// an instance reads the store right after its start.
	platformReadyTimeout = 10 * time.Second
	// platformPollInterval is how often an instance's readiness is polled.
	platformPollInterval = 100 * time.Millisecond
	// maxIdleStoreConns bounds the idle connections of one instance to the store.
	maxIdleStoreConns = 4
)

// InstanceError reports that an instance did not become ready in time.
type InstanceError struct{ Instance string }

// Error implements error.
func (e *InstanceError) Error() string { return "instance " + e.Instance + " did not come up" }

// RunPlatform runs stand-ins of the users' platform and an instance in each of
// their two failure domains, until ctx ends. Once an instance is ready, RunPlatform
// prints a line with what is needed to send a request to it.
func RunPlatform(ctx context.Context, o Options) error {
	site, err := standin.NewSite()
	if err != nil {
		return err
	}
	// Instances still need the site while they drain, so it has a context of its own.
	siteCtx, stopSite := context.WithCancel(context.WithoutCancel(ctx))
	siteErr := make(chan error, 1)
	go func() { siteErr <- site.Run(siteCtx) }()
	group, ctx := errgroup.WithContext(ctx)
	for _, domain := range site.Domains {
		node, err := site.Node("front-"+domain, domain)
		if err != nil {
			stopSite()
			return err
		}
		i := newPlatformInstance(node, o)
		group.Go(func() error { return i.Run(ctx) })
		group.Go(func() error { return printPlatformReadyLine(ctx, node, o) })
	}
	err = group.Wait()
	stopSite()
	return errors.CombineErrors(err, <-siteErr)
}

func newPlatformInstance(node *topology.Node, o Options) *instance.Instance {
	store := platform.NewStore(node.StoreAddr, netconn.NewIdleClosingTransport(maxIdleStoreConns, time.Minute))
	return instance.New(instance.Options{
		Node: node, Source: store, Group: store, Counts: store, Quarantines: store, Headers: platform.Headers{},
		Orderer: platform.NewOrderClient(platform.NewOrderTransport()),
		Clock:   netconn.BootTime,
		Log:     o.Log.WithField("instance", node.Name),
		Rand:    rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), 1)),
	})
}

// printPlatformReadyLine waits until an instance is ready and prints its ready line.
func printPlatformReadyLine(ctx context.Context, node *topology.Node, o Options) error {
	for deadline := time.Now().Add(platformReadyTimeout); time.Now().Before(deadline); {
		res, err := http.Get("http://" + node.HealthAddr + "/-/ready")
		if err == nil {
			_ = res.Body.Close() // only the status matters
			if res.StatusCode == http.StatusOK {
				_, err = fmt.Fprintf(o.Out, "ready url=http://%s host=%s path=%s model=%s plain=%s metrics=http://%s/metrics\n",
					node.CallersAddr, standin.Host, standin.StreamPath, standin.BusyModel, standin.PlainPath, node.HealthAddr)
				return errors.WithStack(err)
			}
		}
		if !supervise.Pause(ctx, platformPollInterval) {
			return nil
		}
	}
	return errors.WithStack(&InstanceError{Instance: node.Name})
}
