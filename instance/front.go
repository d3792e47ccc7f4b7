package instance

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"greengageferry/supervise"
	"greengageferry/topology"
)

const (
	// defaultHeaderBytes, defaultHeaderTime and defaultIdle hold until a
	// configuration sets them.
	defaultHeaderBytes = 16 << 10
	defaultHeaderTime  = 3 * time.Second
	defaultIdle        = 15 * time.Second
	// headerSlack is what net/http adds to the bound on headers.
	headerSlack = 4 << 10
	// drainServing is how long a draining instance still takes new requests on
	// open connections: the balancer's health checks fail twice within it.
	drainServing = 2500 * time.Millisecond
	// drainRefuse is how long before the platform's kill what still waits for a
	// server is refused: its caller must hear that it didn't run.
	drainRefuse = 1500 * time.Millisecond
	// drainMargin is how long before the platform's kill what is still in hand
	// is broken off.
	drainMargin = 500 * time.Millisecond
)

// front serves callers and the health check.
type front struct {
	instance *Instance
	callers  net.Listener
	health   net.Listener
	metrics  net.Listener // nil: served beside the health check only
	draining atomic.Bool

	mu      sync.Mutex
	servers []*http.Server // the one that accepts last; connections stay with the one that accepted them
}

func newFront(i *Instance) *front { return &front{instance: i} }

// listen opens the addresses, so that a wrong one ends the program at once.
func (f *front) listen() error {
	n := f.instance.opts.Node
	var err error
	if f.callers, err = net.Listen("tcp4", n.CallersAddr); err != nil {
		return errors.Wrap(err, "listening for callers")
	}
	if f.health, err = net.Listen("tcp4", n.HealthAddr); err != nil {
		return errors.Wrap(err, "listening for health checks")
	}
	if n.MetricsAddr == "" {
		return nil
	}
	if f.metrics, err = net.Listen("tcp4", n.MetricsAddr); err != nil {
		return errors.Wrap(err, "listening for metrics")
	}
	return nil
}

// serve is the duty that serves callers. The limits on what they may send hold
// from the first configuration on; until then each request is refused as not run.
func (f *front) serve(ctx context.Context) error {
	limits := topology.Limits{HeaderBytes: defaultHeaderBytes, HeaderTimeout: defaultHeaderTime, IdleTimeout: defaultIdle}
	listener := newSharedListener(f.callers)
	for {
		server := f.newServer(limits)
		f.mu.Lock()
		f.servers = append(f.servers, server)
		f.mu.Unlock()
		ended := make(chan error, 1)
		turn := listener.turn()
		go func() { ended <- server.Serve(turn) }()
		select {
		case <-ctx.Done():
			f.closeServers()
			return nil
		case err := <-ended:
			if f.draining.Load() {
				<-ctx.Done()
				f.closeServers()
				return nil
			}
			return err
		case limits = <-f.instance.limits:
			_ = turn.Close() // the next server accepts; open connections stay with this one
		}
	}
}

func (f *front) newServer(l topology.Limits) *http.Server {
	return &http.Server{
		Handler:           f.instance.relay,
		MaxHeaderBytes:    max(l.HeaderBytes-headerSlack, headerSlack),
		ReadHeaderTimeout: l.HeaderTimeout,
		IdleTimeout:       l.IdleTimeout,
		ErrorLog:          newServerLog(f.instance.log),
	}
}

// closeServers breaks off what is still in hand.
func (f *front) closeServers() {
	_ = f.callers.Close() // may be closed already
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.servers {
		_ = s.Close()
	}
}

// serveHealth is the duty that answers the balancer's health checks.
func (f *front) serveHealth(ctx context.Context) error {
	mux := f.metricsMux()
	mux.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) {
		if f.draining.Load() || !f.instance.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return f.serveOn(ctx, f.health, mux)
}

// serveMetrics is the duty that serves the metrics on an address of their own.
func (f *front) serveMetrics(ctx context.Context) error {
	if f.metrics == nil {
		<-ctx.Done()
		return nil
	}
	return f.serveOn(ctx, f.metrics, f.metricsMux())
}

func (f *front) metricsMux() *http.ServeMux {
	mux := http.NewServeMux()
	mux.Handle("/metrics", f.instance.metrics.handler())
	return mux
}

// serveOn serves a handler until ctx ends.
func (f *front) serveOn(ctx context.Context, l net.Listener, h http.Handler) error {
	server := &http.Server{Handler: h, ReadHeaderTimeout: defaultHeaderTime, ErrorLog: newServerLog(f.instance.log)}
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(l) }()
	select {
	case <-ctx.Done():
		_ = server.Close() // nobody waits for what it answers
		return nil
	case err := <-ended:
		return err
	}
}

// drain takes the instance out of rotation, serves on until callers have moved
// on, and lets what is in hand end within the grace period.
func (f *front) drain() {
	f.instance.log.WithField("in_hand", f.instance.relay.ActiveRequests()).Info("draining")
	end := time.Now().Add(f.instance.node.Load().Grace - drainMargin)
	f.draining.Store(true)
	f.instance.relay.Drain()
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	refuse := time.AfterFunc(time.Until(end)+drainMargin-drainRefuse, f.instance.relay.RefuseWaiting)
	defer refuse.Stop()
	supervise.Pause(ctx, drainServing)
	_ = f.callers.Close()
	f.mu.Lock()
	servers := f.servers
	f.mu.Unlock()
	var group errgroup.Group
	for _, s := range servers {
		group.Go(func() error { return s.Shutdown(ctx) })
	}
	if err := group.Wait(); err != nil {
		f.instance.log.WithField("error", err).Warn("requests are broken off")
	}
	f.instance.log.WithField("in_hand", f.instance.relay.ActiveRequests()).Info("drained")
}
