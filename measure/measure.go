// Package measure measures what an entry instance spends on control, against a
// fleet of a given size that is on the log and the list only: bytes at its
// sockets, processor time and heap. The fleet has the proportions of 870 models
// and 370 entry instances to 1,900 backend servers in nine failure domains;
// leases are renewed and models moved as fast as the weight stores allow.
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
	"greengageferry/settings"
	"greengageferry/supervise"
)

const (
	// DefaultSettle is the time until what comes with the start is over: a
	// follower's first 16 reads come without their distance of 6 s.
	DefaultSettle = 45 * time.Second
	// DefaultDuring is how long is measured.
	DefaultDuring = 20 * time.Second

	loopback  = "127.0.0.1:0"
	token     = "a token of the peers"
	readyTime = time.Minute
	readyPoll = 10 * time.Millisecond
)

// Options say what to measure.
type Options struct {
	Servers int           // backend servers of the fleet
	Settle  time.Duration // before the measurement
	During  time.Duration // of the measurement
}

// Result is what an instance that holds no lease spent.
type Result struct {
	Servers        int           `json:"servers"`
	Ready          time.Duration `json:"ready_ns"`    // from the start to a replica of every model
	ReadyBytes     int64         `json:"ready_bytes"` // at its sockets until then
	BytesPerSecond float64       `json:"bytes_per_second"`
	Core           float64       `json:"core"`       // part of a core, the stand-ins' part included
	HeapBytes      int64         `json:"heap_bytes"` // beyond the stand-ins'
}

// NotReadyError says that the instance did not know the whole fleet in time.
type NotReadyError struct{ Waited time.Duration }

// Error implements error.
func (e *NotReadyError) Error() string {
	return "the instance doesn't know the whole fleet after " + e.Waited.String()
}

// Run measures one fleet.
func Run(ctx context.Context, o Options) (Result, error) {
	f, err := newFleet(ctx, o.Servers)
	if err != nil {
		return Result{}, err
	}
	defer f.close()
	m := &measurement{options: o, fleet: f, heap: heapBytes()}
	instance, err := m.newInstance()
	if err != nil {
		return Result{}, err
	}
	running, stop := context.WithCancel(ctx)
	defer stop()
	var group errgroup.Group
	group.Go(func() error { return instance.Run(running) })
	result, err := m.run(running, instance, &group)
	stop()
	if ended := group.Wait(); err == nil {
		err = ended
	}
	return result, err
}

// measurement is one run.
type measurement struct {
	options Options
	fleet   *fleet
	wire    wire
	heap    int64 // before there was an instance
}

func (m *measurement) run(ctx context.Context, instance *entry.Instance, group *errgroup.Group) (Result, error) {
	r := Result{Servers: m.options.Servers}
	began := time.Now()
	if err := awaitReady(ctx, instance, m.fleet.scaled(fullModels)); err != nil {
		return r, err
	}
	r.Ready, r.ReadyBytes = time.Since(began), m.wire.bytes.Load()
	group.Go(func() error { return m.fleet.churn(ctx) })
	if !supervise.Pause(ctx, m.options.Settle) {
		return r, ctx.Err()
	}
	bytes, cpu, start := m.wire.bytes.Load(), processorTime(), time.Now()
	if !supervise.Pause(ctx, m.options.During) {
		return r, ctx.Err()
	}
	passed := time.Since(start).Seconds()
	r.BytesPerSecond = float64(m.wire.bytes.Load()-bytes) / passed
	r.Core = (processorTime() - cpu).Seconds() / passed
	r.HeapBytes = heapBytes() - m.heap
	return r, nil
}

// newInstance makes an instance of the first failure domain, which isn't one of
// those that hold the leases.
func (m *measurement) newInstance() (*entry.Instance, error) {
	s := settings.Default()
	s.Instance = settings.Instance{ID: entryName(domains), Region: "region", FailureDomain: domainName(0)}
	for _, a := range []*settings.Addr{&s.Listen.Callers, &s.Listen.Peers, &s.Listen.Operators} {
		if err := a.UnmarshalText([]byte(loopback)); err != nil {
			return nil, err
		}
	}
	s.Peers.Token = token
	s.Timing.ShutdownDelay = settings.Duration(time.Millisecond)
	log := logrus.New()
	log.SetOutput(io.Discard)
	return entry.New(entry.Options{Settings: s, Version: "measure", Log: log, Platform: m.platform()})
}

// platform returns clients whose bytes are counted.
func (m *measurement) platform() entry.Platform {
	client := m.wire.client()
	url := func(name string) string { return m.fleet.running[name].URL() }
	return entry.Platform{
		Log:       infra.NewHTTPLog(url("log"), client),
		Instances: infra.NewHTTPInstances(url("list"), client),
		Store:     infra.NewHTTPStore(url("store"), client),
		Engine:    infra.NewHTTPEngine(client),
		Services:  infra.NewHTTPServices(client),
	}
}

// awaitReady waits until the instance is ready and sees a replica of each model.
func awaitReady(ctx context.Context, instance *entry.Instance, models int) error {
	deadline := time.Now().Add(readyTime)
	for {
		if instance.Ready() && placed(instance.Status().Targets) >= models {
			return nil
		}
		if time.Now().After(deadline) {
			return &NotReadyError{Waited: readyTime}
		}
		if !supervise.Pause(ctx, readyPoll) {
			return ctx.Err()
		}
	}
}

// placed counts the targets with a replica.
func placed(targets []entry.TargetStatus) int {
	n := 0
	for _, t := range targets {
		if t.Replicas > 0 {
			n++
		}
	}
	return n
}

// wire counts the bytes of all connections that it dials, both ways.
type wire struct{ bytes atomic.Int64 }

type wireConn struct {
	net.Conn
	wire *wire
}

// Read implements net.Conn.
func (c *wireConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.wire.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *wireConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.wire.bytes.Add(int64(n))
	return n, err
}

func (w *wire) client() *http.Client {
	dialer := &net.Dialer{}
	return &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return &wireConn{Conn: conn, wire: w}, nil
		},
	}}
}

func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// processorTime returns what the process has used.
func processorTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0 // it never fails for the own process
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
