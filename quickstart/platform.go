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
	// platformReady bounds the wait for the first instance: it reads the store at once.
	platformReady = 10 * time.Second
	// platformPoll is how often an instance is asked whether it is ready.
	platformPoll = 100 * time.Millisecond
	// storeIdle and orderIdle bound the unused connections of one instance.
	storeIdle = 4
	orderIdle = 1
)

// InstanceError says that an instance did not come up.
type InstanceError struct{ Instance string }

// Error implements error.
func (e *InstanceError) Error() string { return "instance " + e.Instance + " did not come up" }

// RunPlatform runs stand-ins of the users' platform and an instance in each of
// their two failure domains, until ctx ends. Once they serve it prints how to
// send a request.
func RunPlatform(ctx context.Context, o Options) error {
	site, err := standin.NewSite()
	if err != nil {
		return err
	}
	// The site outlives the instances: while they drain they still need it.
	around, stop := context.WithCancel(context.WithoutCancel(ctx))
	ended := make(chan error, 1)
	go func() { ended <- site.Run(around) }()
	group, ctx := errgroup.WithContext(ctx)
	for _, domain := range site.Domains {
		node, err := site.Node("front-"+domain, domain)
		if err != nil {
			stop()
			return err
		}
		i := platformInstance(node, o)
		group.Go(func() error { return i.Run(ctx) })
		group.Go(func() error { return announcePlatform(ctx, node, o) })
	}
	err = group.Wait()
	stop()
	return errors.CombineErrors(err, <-ended)
}

func platformInstance(node *topology.Node, o Options) *instance.Instance {
	store := platform.NewStore(node.StoreAddr, netconn.NewIdleClosingTransport(storeIdle, time.Minute))
	return instance.New(instance.Options{
		Node: node, Source: store, Group: store, Headers: platform.Headers{},
		Orderer: platform.NewOrderClient(netconn.Transport(orderIdle, time.Second)),
		Clock:   netconn.BootTime,
		Log:     o.Log.WithField("instance", node.Name),
		Rand:    rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), 1)),
	})
}

// announcePlatform waits until an instance is ready, and prints its line.
func announcePlatform(ctx context.Context, node *topology.Node, o Options) error {
	for end := time.Now().Add(platformReady); time.Now().Before(end); {
		res, err := http.Get("http://" + node.HealthAddr + "/-/ready")
		if err == nil {
			_ = res.Body.Close() // the status is all that counts
			if res.StatusCode == http.StatusOK {
				_, err = fmt.Fprintf(o.Out, "ready url=http://%s host=%s path=%s model=%s plain=%s metrics=http://%s/metrics\n",
					node.CallersAddr, standin.Host, standin.StreamPath, standin.BusyModel, standin.PlainPath, node.HealthAddr)
				return errors.WithStack(err)
			}
		}
		if !supervise.Pause(ctx, platformPoll) {
			return nil
		}
	}
	return errors.WithStack(&InstanceError{Instance: node.Name})
}
