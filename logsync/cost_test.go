package logsync_test

import (
	"context"
	"expvar"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"greengageferry/config"
	"greengageferry/infra"
	"greengageferry/logsync"
	"greengageferry/record"
	"greengageferry/replay"
	"greengageferry/standin"
	"greengageferry/traffic"
)

// costBench follows one stream of a simulated log over HTTP and measures the cost.
type costBench[V any] struct {
	b         *testing.B
	log       *standin.Log
	stream    string
	counters  *expvar.Map
	wireBytes *atomic.Int64 // bytes on the sockets in both directions, headers included
	follower  *logsync.Follower[V]
}

func discardLogger() logrus.FieldLogger {
	l := logrus.New()
	l.SetOutput(io.Discard)
	return l
}

// newCostBench starts a follower of the stream on a simulated log.
func newCostBench[V any](b *testing.B, stream string, machine logsync.ViewMachine[V]) *costBench[V] {
	c := &costBench[V]{b: b, log: standin.NewLog(standin.LogOptions{AppendsPerSecond: 1e6}), stream: stream, counters: new(expvar.Map), wireBytes: new(atomic.Int64)}
	server := httptest.NewServer(c.log)
	base := countingTransport(c.wireBytes)
	client := &http.Client{Transport: &traffic.Transport{Base: base, Counters: traffic.NewCounters(c.counters)}}
	c.follower = logsync.NewFollower(logsync.FollowerOptions[V]{
		Log: infra.NewHTTPLog(server.URL, client), Stream: stream, ReadInterval: -1, Logger: discardLogger(),
		New: func(infra.Offset) logsync.ViewMachine[V] { return machine },
	})
	ctx, cancel := context.WithCancel(b.Context())
	var group errgroup.Group
	group.Go(func() error { return c.follower.Run(ctx) })
	b.Cleanup(func() {
		cancel()
		_ = group.Wait()
		base.CloseIdleConnections()
		server.Close()
	})
	return c
}

// countingConn counts the bytes that a client's connection sends and receives.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

func countingTransport(bytes *atomic.Int64) *http.Transport {
	return &http.Transport{DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := new(net.Dialer).DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return countingConn{Conn: conn, bytes: bytes}, nil
	}}
}

// appendAndWait appends records and waits until the follower has applied them.
func (c *costBench[V]) appendAndWait(records ...*record.Record) {
	var data [][]byte
	for _, r := range records {
		encoded, err := proto.Marshal(r)
		require.NoError(c.b, err)
		data = append(data, encoded)
	}
	first, err := c.log.Append(c.b.Context(), c.stream, data)
	require.NoError(c.b, err)
	require.NoError(c.b, c.follower.WaitFor(c.b.Context(), first+infra.Offset(len(records))-1))
}

// received returns the bytes received in the bodies of reads.
func (c *costBench[V]) received() int64 {
	v, _ := c.counters.Get("read.received_bytes").(*expvar.Int)
	if v == nil {
		return 0
	}
	return v.Value()
}

func cpuTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// measure runs op repeatedly and reports the cost of one run. The CPU time includes
// that of the simulated log.
func (c *costBench[V]) measure(op func(i int)) {
	bytes, wireBytes, cpu := c.received(), c.wireBytes.Load(), cpuTime()
	i := 0
	for c.b.Loop() {
		op(i)
		i++
	}
	c.b.ReportMetric(float64(c.received()-bytes)/float64(i), "bytes/op")
	c.b.ReportMetric(float64(c.wireBytes.Load()-wireBytes)/float64(i), "wire-bytes/op")
	c.b.ReportMetric(float64((cpuTime()-cpu).Microseconds())/float64(i), "cpu-us/op")
}

func items(n int) []*record.Item {
	var out []*record.Item
	for i := range n {
		out = append(out, &record.Item{Model: fmt.Sprintf("model-%04d", i), Adapter: "adapter-0001", Version: "2026-11-30", Mib: 512})
	}
	return out
}

func assignment(server, n int) *record.Record {
	return &record.Record{Origin: "entry-0001/7c2f1f5e-0000-0000-0000-000000000000", Body: &record.Record_Assignment{Assignment: &record.Assignment{
		Lease: 1, Server: fmt.Sprintf("server-%04d", server), Pool: "galley-models", MemoryMib: 81920, Items: items(n), Reason: "demand",
	}}}
}

func lease() *record.Record {
	return &record.Record{Body: &record.Record_LeaseClaim{LeaseClaim: &record.LeaseClaim{Holder: "entry-0001", DurationMs: 8000}}}
}

// BenchmarkCostControl measures the cost to a follower of one record on a failure
// domain's control stream, by servers in the domain and items per server.
func BenchmarkCostControl(b *testing.B) {
	for _, servers := range []int{20, 100, 211} {
		for _, n := range []int{2, 8, 32} {
			b.Run(fmt.Sprintf("servers=%d/items=%d", servers, n), func(b *testing.B) {
				c := newCostBench[replay.ControlView](b, infra.ControlStream("dock-hall-a"), replay.NewControl())
				c.appendAndWait(lease())
				for s := range servers {
					c.appendAndWait(assignment(s, n))
				}
				c.measure(func(i int) { c.appendAndWait(assignment(i%servers, n)) })
			})
		}
	}
}

// BenchmarkCostRenewal measures the cost of one lease renewal to a follower of the
// control stream.
func BenchmarkCostRenewal(b *testing.B) {
	for _, servers := range []int{20, 100, 211} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			c := newCostBench[replay.ControlView](b, infra.ControlStream("dock-hall-a"), replay.NewControl())
			c.appendAndWait(lease())
			for s := range servers {
				c.appendAndWait(assignment(s, 8))
			}
			c.measure(func(int) {
				c.appendAndWait(&record.Record{Body: &record.Record_LeaseRenewal{LeaseRenewal: &record.LeaseRenewal{Lease: 1}}})
			})
		})
	}
}

// modelFile returns a configuration file that declares n models.
func modelFile(from, n, generation int) string {
	var text strings.Builder
	for i := range n {
		fmt.Fprintf(&text, "[models.m%d]\nversion = \"%d\"\npools = [\"p\"]\nmib = 512\nmax_tokens = 512\n", from+i, generation)
	}
	return text.String()
}

// BenchmarkCostConfig measures the cost to an instance of one change to a file,
// with its verdict and the build of the configuration then in force, by the number
// of models in all files and in the file.
func BenchmarkCostConfig(b *testing.B) {
	for _, size := range []struct{ models, file int }{{100, 10}, {400, 10}, {870, 10}, {870, 50}, {870, 145}} {
		b.Run(fmt.Sprintf("models=%d/file=%d", size.models, size.file), func(b *testing.B) {
			c := newCostBench[replay.ConfigView](b, infra.StreamConfig, replay.NewConfig())
			builder := config.NewBuilder()
			change := func(file, content string) {
				next := c.follower.Status().Offset + 1
				c.appendAndWait(&record.Record{Body: &record.Record_ConfigChange{ConfigChange: &record.ConfigChange{
					File: file, Partner: "kitchen", Author: "ana", Content: []byte(content)}}},
					&record.Record{Body: &record.Record_ConfigVerdict{ConfigVerdict: &record.ConfigVerdict{Change: uint64(next), Accepted: true, File: file}}})
				_, _, refusal := builder.BuildLenient(logsync.Files(c.follower.View()))
				require.Nil(b, refusal)
			}
			change("00.toml", "[pools.p]\nfailure_domains = [\"a\"]\nservers = 1900\nmemory_mib = 80000\nslots = 16\n")
			for from := 0; from < size.models; from += size.file {
				change(fmt.Sprintf("m%d.toml", from), modelFile(from, min(size.file, size.models-from), 0))
			}
			c.measure(func(i int) { change("m0.toml", modelFile(0, size.file, i+1)) })
		})
	}
}

// BenchmarkCostIdleRead measures the cost of a read without new records. A follower
// of an idle stream makes one read per DefaultPollTimeout.
func BenchmarkCostIdleRead(b *testing.B) {
	c := newCostBench[replay.ConfigView](b, infra.StreamConfig, replay.NewConfig())
	c.appendAndWait(&record.Record{})
	server := httptest.NewServer(c.log)
	defer server.Close()
	base := countingTransport(c.wireBytes)
	defer base.CloseIdleConnections()
	log := infra.NewHTTPLog(server.URL, &http.Client{Transport: &traffic.Transport{Base: base, Counters: traffic.NewCounters(c.counters)}})
	c.measure(func(int) {
		_, err := log.Read(b.Context(), infra.StreamConfig, 2, 10, time.Millisecond)
		require.NoError(b, err)
	})
}

// BenchmarkCostState measures the size of the state that a peer sends to a new
// instance while the log is down.
func BenchmarkCostState(b *testing.B) {
	for _, servers := range []int{20, 100, 211} {
		b.Run(fmt.Sprintf("control/servers=%d", servers), func(b *testing.B) {
			m := replay.NewControl()
			m.Apply(1, lease())
			for s := range servers {
				m.Apply(infra.Offset(s+2), assignment(s, 8))
			}
			reportState(b, m)
		})
	}
	for _, models := range []int{100, 400, 870} {
		b.Run(fmt.Sprintf("config/models=%d", models), func(b *testing.B) {
			m := replay.NewConfig()
			at := infra.Offset(0)
			for from := 0; from < models; from += 10 {
				at += 2
				m.Apply(at-1, &record.Record{Body: &record.Record_ConfigChange{ConfigChange: &record.ConfigChange{
					File: fmt.Sprintf("m%d.toml", from), Partner: "kitchen", Author: "ana", Content: []byte(modelFile(from, 10, 0))}}})
				m.Apply(at, &record.Record{Body: &record.Record_ConfigVerdict{ConfigVerdict: &record.ConfigVerdict{Change: uint64(at - 1), Accepted: true}}})
			}
			reportState(b, m)
		})
	}
}

// reportState reports the encoded size of the machine's checkpoint.
func reportState(b *testing.B, m replay.Machine) {
	size := 0
	for b.Loop() {
		data, err := proto.Marshal(m.Checkpoint())
		require.NoError(b, err)
		size = len(data)
	}
	b.ReportMetric(float64(size), "bytes")
}
