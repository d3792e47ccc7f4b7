package replay

import (
	"fmt"
	"runtime"
	"testing"

	"google.golang.org/protobuf/proto"

	"greengageferry/infra"
	"greengageferry/record"
)

// The sizes of two years on: 1,900 servers in nine failure domains, 870 models
// with their adapters, 2,700 configuration changes a day, and a log that keeps
// a day.
const (
	itemsPerServer   = 20
	renewalsPerDay   = 24 * 3600 * 3 / 8 // one in a third of an 8 s lease
	changesPerServer = 20                // assignments a day; each with a removal and two readinesses
	fileBytes        = 2000
)

// encode returns the records as the log keeps them.
func encode(b *testing.B, records []*record.Record) [][]byte {
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

func replayAll(b *testing.B, m Machine, data [][]byte) {
	for i, d := range data {
		r := &record.Record{}
		if err := proto.Unmarshal(d, r); err != nil {
			b.Fatal(err)
		}
		m.Apply(infra.Offset(i+1), r)
	}
}

// benchReplay measures decoding and applying the records, and reports what the
// state then takes in memory and as a checkpoint.
func benchReplay(b *testing.B, make func() Machine, records []*record.Record) {
	data := encode(b, records)
	var m Machine
	for b.Loop() {
		m = make()
		replayAll(b, m, data)
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*len(data)), "ns/record")
	b.ReportMetric(float64(len(data)), "records")
	b.ReportMetric(float64(proto.Size(m.Checkpoint())), "checkpoint-B")
	m = nil
	before := heap()
	m = make()
	replayAll(b, m, data)
	b.ReportMetric(float64(heap()-before), "state-B")
	runtime.KeepAlive(m)
	runtime.KeepAlive(data)
	runtime.KeepAlive(records)
}

func heap() int64 {
	runtime.GC()
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return int64(s.HeapAlloc)
}

func serverItems(server, round int) []infra.Item {
	var out []infra.Item
	for i := range itemsPerServer {
		name := fmt.Sprintf("model-%d", (server*7+i*41+round)%870)
		out = append(out, infra.Item{Model: name, Version: "2026-11", MiB: 4000})
	}
	return out
}

// controlDay is a day of a control stream with that many servers.
func controlDay(servers int) []*record.Record {
	out := []*record.Record{claimLease("entry-17", 0, 0)}
	perRenewal := max(1, renewalsPerDay/(servers*changesPerServer))
	for round := range changesPerServer {
		for s := range servers {
			id, items := fmt.Sprintf("galley-models-%d", s), serverItems(s, round)
			out = append(out, assignment(1, id, 200_000, items...))
			at := uint64(len(out))
			gone := serverItems(s, round-1)
			out = append(out, removal(1, id, at, gone...), readiness(1, id, "boot", items[1:]...), readiness(1, id, "boot", items...))
			for range perRenewal {
				out = append(out, renewal(1))
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

// configDay is a day of the config stream, over 400 files.
func configDay(changes int) []*record.Record {
	var out []*record.Record
	content := string(make([]byte, fileBytes))
	for i := range changes {
		out = append(out, change(fmt.Sprintf("%03d-models.toml", i%400), content, 0))
		out = append(out, judged(uint64(len(out)), true))
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

// BenchmarkControlView measures what a change of one server's assignment costs
// a follower: the record and the new view.
func BenchmarkControlView(b *testing.B) {
	for _, servers := range []int{211, 633, 1900} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			c := NewControl()
			c.Apply(1, claimLease("h", 0, 0))
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

// BenchmarkRestoreControl measures a start from a checkpoint.
func BenchmarkRestoreControl(b *testing.B) {
	for _, servers := range []int{211, 633, 1900} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			c := NewControl()
			c.Apply(1, claimLease("h", 0, 0))
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
