package entry

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"greengageferry/platform"
	"greengageferry/record"
	"greengageferry/settings"
	"greengageferry/standin"
)

// The two-year size's proportions to its 1,900 servers.
const (
	benchServers = 1900
	benchModels  = 870
	benchEntries = 370
	benchDomains = 9
	// benchMoves is moves in a second over all failure domains: what both
	// weight stores together allow.
	benchMoves = 4
	// benchSettle is the time until what comes with the start is over: a
	// follower's first 16 reads come without their distance of 6 s.
	benchSettle = 45 * time.Second
)

// wire counts the bytes of all connections that it dials, both ways.
type wire struct{ bytes atomic.Int64 }

type wireConn struct {
	net.Conn
	wire *wire
}

func (c *wireConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.wire.bytes.Add(int64(n))
	return n, err
}

func (c *wireConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.wire.bytes.Add(int64(n))
	return n, err
}

func (w *wire) client() *http.Client {
	dialer := &net.Dialer{}
	t := transport(nil)
	t.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &wireConn{Conn: conn, wire: w}, nil
	}
	return &http.Client{Transport: t}
}

// fleetOf is a platform whose log and list hold a fleet of some size, served on
// loopback. Another instance than the measured one holds every lease.
type fleetOf struct {
	b        *testing.B
	servers  int
	log      *standin.Log
	urls     map[string]string
	sequence uint64
	renewed  []platform.Offset // by failure domain
}

func newFleet(b *testing.B, servers int) *fleetOf {
	f := &fleetOf{b: b, servers: servers, log: standin.NewLog(standin.LogOptions{AppendsPerSecond: 1e6}), urls: map[string]string{}}
	list := standin.NewInstanceList(0)
	f.fillList(list)
	f.fillConfig()
	f.fillControl()
	parts := map[string]standin.Standin{"log": f.log, "list": list, "store": standin.NewWeightStore(standin.StoreOptions{})}
	for name, s := range parts {
		server, err := standin.Start("127.0.0.1:0", s)
		require.NoError(b, err)
		b.Cleanup(func() { _ = server.Close() })
		f.urls[name] = server.URL()
	}
	return f
}

func domainName(n int) string { return fmt.Sprintf("domain-%d", n%benchDomains) }

func (f *fleetOf) scaled(n int) int { return n * f.servers / benchServers }

func (f *fleetOf) fillList(list *standin.InstanceList) {
	for n := range f.servers {
		list.Put(platform.Instance{ID: fmt.Sprintf("server-%04d", n), Role: platform.RoleEngine, State: platform.StateLive, Region: "region", FailureDomain: domainName(n), Pool: "pool", Addr: "127.0.0.1:1", MemoryMiB: 80000})
	}
	for n := range f.scaled(benchEntries) {
		list.Put(platform.Instance{ID: fmt.Sprintf("entry-%04d", n), Role: platform.RoleEntry, State: platform.StateLive, Region: "region", FailureDomain: domainName(n), Addr: "127.0.0.1:1"})
	}
}

func (f *fleetOf) put(stream string, records ...*record.Record) platform.Offset {
	var data [][]byte
	for _, r := range records {
		f.sequence++
		r.Origin, r.Sequence = "bench/"+stream, f.sequence
		encoded, err := proto.Marshal(r)
		require.NoError(f.b, err)
		data = append(data, encoded)
	}
	offset, err := f.log.Append(context.Background(), stream, data)
	require.NoError(f.b, err)
	return offset
}

func (f *fleetOf) fillConfig() {
	var text strings.Builder
	fmt.Fprintf(&text, "[pools.pool]\nservers = %d\nmemory_mib = 80000\nslots = 16\nfailure_domains = [", f.servers)
	for n := range benchDomains {
		fmt.Fprintf(&text, "%q, ", domainName(n))
	}
	text.WriteString("]\n")
	for n := range f.scaled(benchModels) {
		fmt.Fprintf(&text, "[models.%s]\nversion = \"v1\"\npools = [\"pool\"]\nmib = 20000\n", modelName(n))
	}
	change := f.put(platform.StreamConfig, &record.Record{Body: &record.Record_ConfigChange{ConfigChange: &record.ConfigChange{File: "10.toml", Partner: "p", Author: "a", Content: []byte(text.String())}}})
	f.put(platform.StreamConfig, &record.Record{Body: &record.Record_ConfigVerdict{ConfigVerdict: &record.ConfigVerdict{Change: uint64(change), Accepted: true}}})
}

func modelName(n int) string { return fmt.Sprintf("model-%03d", n) }

func (f *fleetOf) fillControl() {
	f.renewed = make([]platform.Offset, benchDomains)
	for d := range benchDomains {
		claim := &record.LeaseClaim{Holder: fmt.Sprintf("entry-%04d", d), DurationMs: 8000}
		f.renewed[d] = f.put(platform.ControlStream(domainName(d)), &record.Record{Body: &record.Record_LeaseClaim{LeaseClaim: claim}})
	}
	for n := range f.servers {
		f.assign(n, n)
	}
}

// assign gives a server a model and says that it is ready.
func (f *fleetOf) assign(server, model int) {
	items := []*record.Item{{Model: modelName(model % max(f.scaled(benchModels), 1)), Version: "v1", Mib: 20000}}
	id := fmt.Sprintf("server-%04d", server)
	const lease = 1 // each stream begins with its claim
	f.put(platform.ControlStream(domainName(server)),
		&record.Record{Body: &record.Record_Assignment{Assignment: &record.Assignment{Lease: lease, Server: id, Pool: "pool", MemoryMib: 80000, Items: items}}},
		&record.Record{Body: &record.Record_Readiness{Readiness: &record.Readiness{Lease: lease, Server: id, Boot: "1", Items: items}}})
}

// churn renews the leases and moves models at their rates until ctx ends.
func (f *fleetOf) churn(ctx context.Context) {
	moves := time.NewTicker(time.Second / benchMoves)
	defer moves.Stop()
	renewals := time.NewTicker(8 * time.Second / (3 * benchDomains))
	defer renewals.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-moves.C:
			f.assign(n%f.servers, n+1)
		case <-renewals.C:
			f.put(platform.ControlStream(domainName(n)), &record.Record{Body: &record.Record_LeaseRenewal{LeaseRenewal: &record.LeaseRenewal{Lease: 1}}})
		}
	}
}

func (f *fleetOf) instance(w *wire) *Instance {
	s := settings.Default()
	s.Instance = settings.Instance{ID: fmt.Sprintf("entry-%04d", benchDomains), Region: "region", FailureDomain: domainName(0)}
	for _, a := range []*settings.Addr{&s.Listen.Callers, &s.Listen.Peers, &s.Listen.Operators} {
		require.NoError(f.b, a.UnmarshalText([]byte("127.0.0.1:0")))
	}
	s.Peers.Token = "a token of the peers"
	s.Timing.ShutdownDelay = settings.Duration(time.Millisecond)
	client := w.client()
	i, err := New(Options{Settings: s, Version: "bench", Log: quietLog(), Platform: Platform{
		Log:       platform.NewHTTPLog(f.urls["log"], client),
		Instances: platform.NewHTTPInstances(f.urls["list"], client),
		Store:     platform.NewHTTPStore(f.urls["store"], client),
		Engine:    platform.NewHTTPEngine(client),
		Services:  platform.NewHTTPServices(client),
	}})
	require.NoError(f.b, err)
	return i
}

func heapBytes() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkControl measures what an entry instance that holds no lease spends
// on control, at three sizes of the fleet: bytes at its sockets, processor time
// of the whole process (the stand-ins' part is in it, so it is an upper bound)
// and heap. One iteration is one second.
func BenchmarkControl(b *testing.B) {
	for _, servers := range []int{475, 950, 1900} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) { benchControl(b, servers) })
	}
}

func benchControl(b *testing.B, servers int) {
	f := newFleet(b, servers)
	before := heapBytes()
	w := &wire{}
	i := f.instance(w)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	began := time.Now()
	go func() { ended <- i.Run(ctx) }()
	for !i.Ready() || unplaced(i.table.Load()) > 0 {
		time.Sleep(10 * time.Millisecond)
	}
	toReady, readBytes := time.Since(began), w.bytes.Load()
	go f.churn(ctx)
	time.Sleep(benchSettle)
	bytes, cpu := w.bytes.Load(), cpuTime()
	b.ResetTimer()
	start := time.Now()
	for range b.N {
		time.Sleep(time.Second)
	}
	b.StopTimer()
	passed := time.Since(start).Seconds()
	b.ReportMetric(float64(toReady.Milliseconds()), "ms-to-ready")
	b.ReportMetric(float64(readBytes)/1024, "KiB-to-ready")
	b.ReportMetric(float64(w.bytes.Load()-bytes)/passed, "B/s")
	b.ReportMetric(100*(cpuTime()-cpu).Seconds()/passed, "%core")
	b.ReportMetric((heapBytes()-before)/(1<<20), "MiB-heap")
	cancel()
	require.NoError(b, <-ended)
}
