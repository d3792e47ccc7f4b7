package replay

import (
	"fmt"
	"runtime"
	"testing"

	"google.golang.org/protobuf/proto"

	"greengageferry/infra"
	"greengageferry/record"
)

// The benchmarks use the expected scale in two years: 1,900 servers in nine
// failure domains, 870 models with their adapters, 2,700 configuration changes a
// day, and a log that retains one day.
const (
	itemsPerServer   = 20
	renewalsPerDay   = 24 * 3600 * 3 / 8 // one renewal every third of an 8 s lease
	changesPerServer = 20                // assignments a day; each is followed by a removal and two readiness records
	fileBytes        = 2000              // size of a configuration file
)

// encodeRecords returns the records in their encoding on the log.
func encodeRecords(b *testing.B, records []*record.Record) [][]byte {
	sequence := uint64(0)
	out := make([][]byte, len(records))
	for i, r := range records {
		sequence++
		r.Origin, r.Sequence = "entry-17/3", sequence
		data, err := proto.Marshal(r)
		if err != nil {
			b.Fatal(err)
		}
		out[i] = data
	}
	return out
}

// replayAll decodes the records and applies them to the machine.
func replayAll(b *testing.B, m Machine, data [][]byte) {
	for i, d := range data {
		r := &record.Record{}
		if err := proto.Unmarshal(d, r); err != nil {
			b.Fatal(err)
		}
		m.Apply(infra.Offset(i+1), r)
	}
}

// benchReplay measures the time to decode and apply the records. It reports the
// size of the resulting state in memory and as a checkpoint.
func benchReplay(b *testing.B, make func() Machine, records []*record.Record) {
	data := encodeRecords(b, records)
	var m Machine
	for b.Loop() {
		m = make()
		replayAll(b, m, data)
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*len(data)), "ns/record")
	b.ReportMetric(float64(len(data)), "records")
	b.ReportMetric(float64(proto.Size(m.Checkpoint())), "checkpoint-B")
	m = nil
	before := heapBytes()
	m = make()
	replayAll(b, m, data)
	b.ReportMetric(float64(heapBytes()-before), "state-B")
	runtime.KeepAlive(m)
	runtime.KeepAlive(data)
	runtime.KeepAlive(records)
}

// heapBytes returns the size of the live heap in bytes.
func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return int64(s.HeapAlloc)
}

// serverItems returns the items assigned to a server in one round of changes.
func serverItems(server, round int) []infra.Item {
	var out []infra.Item
	for i := range itemsPerServer {
		name := fmt.Sprintf("model-%d", (server*7+i*41+round)%870)
		out = append(out, infra.Item{Model: name, Version: "2026-11", MiB: 4000})
	}
	return out
}

// controlDay returns one day of records of a control stream with that many servers.
func controlDay(servers int) []*record.Record {
	out := []*record.Record{leaseClaim("entry-17", 0, 0)}
	perRenewal := max(1, renewalsPerDay/(servers*changesPerServer))
	for round := range changesPerServer {
		for s := range servers {
			id, items := fmt.Sprintf("galley-models-%d", s), serverItems(s, round)
			out = append(out, assignment(1, id, 200_000, items...))
			at := uint64(len(out))
			gone := serverItems(s, round-1)
			out = append(out, removal(1, id, at, gone...), readiness(1, id, "boot", items[1:]...), readiness(1, id, "boot", items...))
			for range perRenewal {
				out = append(out, leaseRenewal(1))
			}
		}
	}
	return out
}

func BenchmarkReplayControlDay(b *testing.B) {
	for _, servers := range []int{211, 633, 1900} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			benchReplay(b, func() Machine { return NewControl() }, controlDay(servers))
		})
	}
}

// configDay returns one day of records of the config stream, with that many changes
// to 400 files.
func configDay(changes int) []*record.Record {
	var out []*record.Record
	content := string(make([]byte, fileBytes))
	for i := range changes {
		out = append(out, configChange(fmt.Sprintf("%03d-models.toml", i%400), content, 0))
		out = append(out, configVerdict(uint64(len(out)), true))
	}
	return out
}

func BenchmarkReplayConfigDay(b *testing.B) {
	for _, changes := range []int{900, 2700, 8100} {
		b.Run(fmt.Sprintf("changes=%d", changes), func(b *testing.B) {
			benchReplay(b, func() Machine { return NewConfig() }, configDay(changes))
		})
	}
}

// BenchmarkControlView measures the cost of one server's new assignment to a reader:
// applying the record and building the new view.
func BenchmarkControlView(b *testing.B) {
	for _, servers := range []int{211, 633, 1900} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			c := NewControl()
			c.Apply(1, leaseClaim("h", 0, 0))
			for s := range servers {
				c.Apply(c.Offset()+1, assignment(1, fmt.Sprint(s), 200_000, serverItems(s, 0)...))
			}
			next := assignment(1, "0", 200_000, serverItems(0, 0)...)
			for b.Loop() {
				c.Apply(c.Offset()+1, next)
				c.View()
			}
		})
	}
}

// BenchmarkRestoreControl measures restoring the state from an encoded checkpoint.
func BenchmarkRestoreControl(b *testing.B) {
	for _, servers := range []int{211, 633, 1900} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			c := NewControl()
			c.Apply(1, leaseClaim("h", 0, 0))
			for s := range servers {
				c.Apply(c.Offset()+1, assignment(1, fmt.Sprint(s), 200_000, serverItems(s, 0)...))
			}
			data, err := proto.Marshal(c.Checkpoint())
			if err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				cp := &record.Checkpoint{}
				if err := proto.Unmarshal(data, cp); err != nil {
					b.Fatal(err)
				}
				if err := NewControl().Restore(cp); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
