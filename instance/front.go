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

	"greengageferry/netconn"
	"greengageferry/relay"
	"greengageferry/supervise"
	"greengageferry/topology"
)

const (
	// defaultHeaderBytes, defaultHeaderTimeout and defaultIdleTimeout apply until a
	// configuration sets them.
	defaultHeaderBytes   = 16 << 10
	defaultHeaderTimeout = 3 * time.Second
	defaultIdleTimeout   = 15 * time.Second
	// headerOverhead is what net/http adds to the limit on header bytes.
	headerOverhead = 4 << 10
	// drainServeTime is how long a draining instance still accepts new requests: the
	// balancer's health checks fail twice within that time.
	drainServeTime = 2500 * time.Millisecond
	// drainRefuseMargin is how long before the platform's SIGKILL the requests that still
	// wait for a server are refused, so that their callers learn that they didn't run.
	drainRefuseMargin = 1500 * time.Millisecond
	// drainAnswerMargin is how long before the platform's SIGKILL the requests that still have no
	// answer get an error, so that their callers don't lose a connection.
	drainAnswerMargin = 800 * time.Millisecond
	// drainCloseMargin is how long before the platform's SIGKILL the requests that are
	// still in flight are aborted.
	drainCloseMargin = 500 * time.Millisecond
	// drainPollInterval is how often a draining instance checks whether its callers' connections
	// are closed and the attempts that it forwards for others have ended.
	drainPollInterval = 50 * time.Millisecond
)

// frontend serves callers, health checks and metrics over HTTP.
type frontend struct {
	instance        *Instance
	callerListener  net.Listener
	healthListener  net.Listener
	metricsListener net.Listener // nil: metrics are served on healthListener only
	draining        atomic.Bool
	conns           *callerConns

	mu      sync.Mutex
	servers []*http.Server // the last one accepts; connections stay with the server that accepted them
}

func newFrontend(i *Instance) *frontend {
	descriptors := func() int { return i.node.Load().Descriptors }
	return &frontend{instance: i, conns: newCallerConns(i.log, descriptors)}
}

// listen opens the listeners, so that an unusable address ends the program at startup.
func (f *frontend) listen() error {
	n := f.instance.opts.Node
	var err error
	if f.callerListener, err = net.Listen("tcp4", n.CallersAddr); err != nil {
		return errors.Wrap(err, "listening for callers")
	}
	if f.healthListener, err = net.Listen("tcp4", n.HealthAddr); err != nil {
		return errors.Wrap(err, "listening for health checks")
	}
	if n.MetricsAddr == "" {
		return nil
	}
	if f.metricsListener, err = net.Listen("tcp4", n.MetricsAddr); err != nil {
		return errors.Wrap(err, "listening for metrics")
	}
	return nil
}

// serveCallers is the duty that serves callers. The limits on requests apply from the
// first configuration on; until then each request is refused as not run.
func (f *frontend) serveCallers(ctx context.Context) error {
	limits := topology.Limits{HeaderBytes: defaultHeaderBytes, HeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout}
	listener := newSharedListener(f.callerListener, f.conns.onAcceptError)
	for {
		server := f.newServer(limits)
		f.mu.Lock()
		f.servers = append(f.servers, server)
		f.mu.Unlock()
		ended := make(chan error, 1)
		child := listener.child()
		go func() { ended <- server.Serve(child) }()
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
			_ = child.Close() // the next server accepts; open connections stay with this one
		}
	}
}

func (f *frontend) newServer(l topology.Limits) *http.Server {
	return &http.Server{
		Handler:           f.instance.relay,
		MaxHeaderBytes:    max(l.HeaderBytes-headerOverhead, headerOverhead),
		ReadHeaderTimeout: l.HeaderTimeout,
		IdleTimeout:       l.IdleTimeout,
		ErrorLog:          newHTTPErrorLog(f.instance.log),
		ConnContext:       netconn.ConnContext,
		ConnState:         f.conns.onState,
	}
}

// closeServers aborts the requests that are still in flight.
func (f *frontend) closeServers() {
	_ = f.callerListener.Close() // may be closed already
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.servers {
		_ = s.Close()
	}
}

// serveHealth is the duty that answers the balancer's health checks. It also serves the
// metrics.
func (f *frontend) serveHealth(ctx context.Context) error {
	mux := f.metricsMux()
	mux.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) {
		if f.draining.Load() || !f.instance.ready() || !f.instance.origins.mayAsk(time.Now()) || !f.conns.accepts(time.Now()) {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return f.serveOn(ctx, f.healthListener, mux)
}

// serveMetrics is the duty that serves the metrics on a separate address, if one is set.
func (f *frontend) serveMetrics(ctx context.Context) error {
	if f.metricsListener == nil {
		<-ctx.Done()
		return nil
	}
	return f.serveOn(ctx, f.metricsListener, f.metricsMux())
}

func (f *frontend) metricsMux() *http.ServeMux {
	mux := http.NewServeMux()
	mux.Handle("/metrics", f.instance.metrics.handler())
	return mux
}

// serveOn serves h on l until ctx ends.
func (f *frontend) serveOn(ctx context.Context, l net.Listener, h http.Handler) error {
	server := &http.Server{
		Handler: h, ReadHeaderTimeout: defaultHeaderTimeout, ErrorLog: newHTTPErrorLog(f.instance.log), ConnContext: netconn.ConnContext,
	}
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(l) }()
	select {
	case <-ctx.Done():
		_ = server.Close() // answers in progress need not complete
		return nil
	case err := <-ended:
		return err
	}
}

// drain fails the health checks, keeps serving until callers have switched to other
// instances, and lets the requests in flight finish within the grace period.
func (f *frontend) drain() {
	f.instance.log.WithField("in_hand", f.instance.relay.ActiveRequests()).Info("draining")
	now := time.Now()
	killedAt := now.Add(f.instance.node.Load().Grace)
	shutdown := relay.Shutdown{SwitchedBy: now.Add(drainServeTime), AnswerBy: killedAt.Add(-drainAnswerMargin)}
	f.draining.Store(true)
	f.instance.relay.Drain(shutdown)
	ctx, cancel := context.WithDeadline(context.Background(), killedAt.Add(-drainCloseMargin))
	defer cancel()
	refuseTimer := time.AfterFunc(time.Until(killedAt.Add(-drainRefuseMargin)), f.instance.relay.RefuseWaiting)
	defer refuseTimer.Stop()
	answerTimer := time.AfterFunc(time.Until(shutdown.AnswerBy), f.instance.relay.EndUnanswered)
	defer answerTimer.Stop()
	supervise.Pause(ctx, drainServeTime)
	_ = f.callerListener.Close()
	f.mu.Lock()
	servers := f.servers
	f.mu.Unlock()
	f.closeIdleConns(ctx, servers)
	var group errgroup.Group
	for _, s := range servers {
		group.Go(func() error { return s.Shutdown(ctx) })
	}
	if err := group.Wait(); err != nil {
		f.instance.log.WithField("error", err).Warn("requests are broken off")
	}
	for f.instance.forwards.Active() > 0 && supervise.Pause(ctx, drainPollInterval) {
	}
	f.instance.log.WithField("in_hand", f.instance.relay.ActiveRequests()).Info("drained")
}

// closeIdleConns closes callers' connections on which no request is in progress, until none is open or ctx
// ends. Others are closed after their next response. http.Server.Shutdown would close without a response
// those on which the first request arrives later, though the instance can still answer it.
func (f *frontend) closeIdleConns(ctx context.Context, servers []*http.Server) {
	for {
		for _, s := range servers {
			s.SetKeepAlivesEnabled(false) // closes the idle ones too
		}
		if open, _ := f.conns.counts(); open == 0 || !supervise.Pause(ctx, drainPollInterval) {
			return
		}
	}
}
