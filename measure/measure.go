// Package measure measures the control-plane overhead of an entry instance by
// fleet size: bytes at its sockets, CPU time and heap.
//
// Run starts one entry instance against a simulated fleet, which exists only in
// the log and the instance list of stand-ins for the platform. The fleet has the
// proportions of 870 models and 370 entry instances to 1,900 backend servers in
// nine failure domains. While Run measures, leases are renewed and models are
// moved as fast as the weight stores allow. Options set the fleet's size and the
// times, and Result holds the figures.
package measure

import (
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"greengageferry/entry"
	"greengageferry/infra"
	"greengageferry/netconn"
	"greengageferry/settings"
	"greengageferry/supervise"
)

const (
	// DefaultSettle is the time for the effects of startup to end: the first
	// 16 reads of another failure domain's stream are not yet spaced 6 s apart.
	DefaultSettle = 45 * time.Second
	// DefaultDuration is the length of the measurement.
	DefaultDuration = 20 * time.Second

	loopback          = "127.0.0.1:0"
	peerToken         = "a token of the peers"
	readyTimeout      = time.Minute
	readyPollInterval = 10 * time.Millisecond
)

// Options describe a measurement.
type Options struct {
	Servers  int           // number of backend servers in the fleet
	Settle   time.Duration // time between readiness and the measurement
	Duration time.Duration // length of the measurement
}

// Result is the resource use of an entry instance that holds no lease.
type Result struct {
	Servers        int           `json:"servers"`
	Ready          time.Duration `json:"ready_ns"`    // time from the start until the instance knows a replica of every model
	ReadyBytes     int64         `json:"ready_bytes"` // bytes sent and received in that time
	BytesPerSecond float64       `json:"bytes_per_second"`
	CPUCores       float64       `json:"core"`       // mean number of cores in use, including use by the stand-ins
	HeapBytes      int64         `json:"heap_bytes"` // heap in use, less that in use before the instance was created
}

// NotReadyError reports that the instance did not know the whole fleet in time.
type NotReadyError struct{ Waited time.Duration }

// Error implements error.
func (e *NotReadyError) Error() string {
	return "the instance doesn't know the whole fleet after " + e.Waited.String()
}

// Run measures an entry instance against one fleet.
func Run(ctx context.Context, o Options) (Result, error) {
	f, err := newFleet(ctx, o.Servers)
	if err != nil {
		return Result{}, err
	}
	defer f.close()
	m := &measurement{options: o, fleet: f, baselineHeap: heapBytes()}
	instance, err := m.newInstance()
	if err != nil {
		return Result{}, err
	}
	runCtx, stop := context.WithCancel(ctx)
	defer stop()
	var group errgroup.Group
	group.Go(func() error { return instance.Run(runCtx) })
	result, err := m.run(runCtx, instance, &group)
	stop()
	if groupErr := group.Wait(); err == nil {
		err = groupErr
	}
	return result, err
}

// measurement is the state of one run.
type measurement struct {
	options      Options
	fleet        *fleet
	traffic      traffic
	baselineHeap int64 // heap in use before the instance was created
}

// run waits until the instance is ready, lets the startup effects end, and
// measures.
func (m *measurement) run(ctx context.Context, instance *entry.Instance, group *errgroup.Group) (Result, error) {
	r := Result{Servers: m.options.Servers}
	started := time.Now()
	if err := awaitReady(ctx, instance, m.fleet.scale(referenceModels)); err != nil {
		return r, err
	}
	r.Ready, r.ReadyBytes = time.Since(started), m.traffic.bytes.Load()
	group.Go(func() error { return m.fleet.churn(ctx) })
	if !supervise.Pause(ctx, m.options.Settle) {
		return r, ctx.Err()
	}
	bytes, cpu, start := m.traffic.bytes.Load(), cpuTime(), time.Now()
	if !supervise.Pause(ctx, m.options.Duration) {
		return r, ctx.Err()
	}
	elapsed := time.Since(start).Seconds()
	r.BytesPerSecond = float64(m.traffic.bytes.Load()-bytes) / elapsed
	r.CPUCores = (cpuTime() - cpu).Seconds() / elapsed
	r.HeapBytes = heapBytes() - m.baselineHeap
	return r, nil
}

// newInstance returns an instance in the first failure domain. The instance is
// not one of those that hold the leases.
func (m *measurement) newInstance() (*entry.Instance, error) {
	s := settings.Default()
	s.Instance = settings.Instance{ID: entryName(domainCount), Region: "region", FailureDomain: domainName(0)}
	for _, a := range []*settings.Addr{&s.Listen.Callers, &s.Listen.Peers, &s.Listen.Operators} {
		if err := a.UnmarshalText([]byte(loopback)); err != nil {
			return nil, err
		}
	}
	s.Peers.Token = peerToken
	s.Timing.ShutdownDelay = settings.Duration(time.Millisecond)
	log := logrus.New()
	log.SetOutput(io.Discard)
	return entry.New(entry.Options{Settings: s, Version: "measure", Log: log, Platform: m.platform()})
}

// platform returns clients of the stand-ins whose traffic is counted.
func (m *measurement) platform() entry.Platform {
	transport := m.traffic.transport()
	client := &http.Client{Transport: transport}
	url := func(name string) string { return m.fleet.standins[name].URL() }
	return entry.Platform{
		Log:       infra.NewHTTPLog(url("log"), client),
		Instances: infra.NewHTTPInstances(url("list"), client),
		Store:     infra.NewHTTPStore(url("store"), client),
		Engine:    infra.NewHTTPEngine(client),
		Services:  infra.NewHTTPServices(transport),
	}
}

// awaitReady waits until the instance is ready and knows a replica of each model.
// It returns a *NotReadyError after readyTimeout.
func awaitReady(ctx context.Context, instance *entry.Instance, models int) error {
	deadline := time.Now().Add(readyTimeout)
	for {
		if instance.Ready() && countWithReplicas(instance.Status().Targets) >= models {
			return nil
		}
		if time.Now().After(deadline) {
			return &NotReadyError{Waited: readyTimeout}
		}
		if !supervise.Pause(ctx, readyPollInterval) {
			return ctx.Err()
		}
	}
}

// countWithReplicas returns the number of targets that have a replica.
func countWithReplicas(targets []entry.TargetStatus) int {
	n := 0
	for _, t := range targets {
		if t.Replicas > 0 {
			n++
		}
	}
	return n
}

// traffic counts the bytes sent and received on all connections that its
// client dials.
type traffic struct{ bytes atomic.Int64 }

// countingConn adds the bytes read and written to a traffic counter.
type countingConn struct {
	net.Conn
	traffic *traffic
}

// Read implements net.Conn.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.bytes.Add(int64(n))
	return n, err
}

// transport returns a transport whose connections are counted.
func (t *traffic) transport() *netconn.Transport {
	dialer := &net.Dialer{}
	return netconn.SendOnce(&http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return &countingConn{Conn: conn, traffic: t}, nil
		},
	})
}

// heapBytes returns the heap in use after a garbage collection, in bytes.
func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// cpuTime returns the user and system CPU time that the process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0 // Getrusage never fails for the calling process
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
