package measure

import (
	"context"
	"fmt"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"greengageferry/infra"
	"greengageferry/record"
	"greengageferry/standin"
)

// The two-year size, whose proportions every measured fleet has.
const (
	fullServers = 1900
	fullModels  = 870
	fullEntries = 370
	domains     = 9

	// Each failure domain's lease is renewed three times in its 8 s.
	leaseTime        = 8 * time.Second
	renewalsPerLease = 3
	// movesPerSecond over all failure domains is what both weight stores
	// together allow.
	movesPerSecond = 4

	memoryMiB = 80000
	modelMiB  = 20000
	slots     = 16
	// nowhere is an address on which nobody listens.
	nowhere = "127.0.0.1:1"
	pool    = "pool"
	version = "v1"
)

// fleet is a platform whose log and list hold a fleet of some size, served on
// loopback. Instances that don't run hold every lease.
type fleet struct {
	servers   int
	log       *standin.Log
	running   map[string]*standin.Server
	sequences map[string]uint64 // by stream
}

// newFleet fills a platform and serves it. close ends it.
func newFleet(ctx context.Context, servers int) (*fleet, error) {
	f := &fleet{
		servers:   servers,
		log:       standin.NewLog(standin.LogOptions{AppendsPerSecond: 1e6}),
		running:   map[string]*standin.Server{},
		sequences: map[string]uint64{},
	}
	list := standin.NewInstanceList(0)
	f.fillList(list)
	if err := f.fillLog(ctx); err != nil {
		return nil, err
	}
	parts := map[string]standin.Fake{
		"log":   f.log,
		"list":  list,
		"store": standin.NewWeightStore(standin.StoreOptions{}),
	}
	for name, part := range parts {
		server, err := standin.Start(loopback, part)
		if err != nil {
			f.close()
			return nil, err
		}
		f.running[name] = server
	}
	return f, nil
}

func (f *fleet) close() {
	for _, server := range f.running {
		_ = server.Close() // it is the end of the process's use of it
	}
}

func domainName(n int) string { return fmt.Sprintf("domain-%d", n%domains) }
func serverName(n int) string { return fmt.Sprintf("server-%04d", n) }
func entryName(n int) string  { return fmt.Sprintf("entry-%04d", n) }
func modelName(n int) string  { return fmt.Sprintf("model-%03d", n) }

// scaled returns n in the fleet's proportion to the full size, at least 1.
func (f *fleet) scaled(n int) int { return max(n*f.servers/fullServers, 1) }

func (f *fleet) fillList(list *standin.InstanceList) {
	instance := infra.Instance{State: infra.StateLive, Region: "region", Addr: nowhere}
	for n := range f.servers {
		instance.ID, instance.FailureDomain = serverName(n), domainName(n)
		instance.Role, instance.Pool, instance.MemoryMiB = infra.RoleEngine, pool, memoryMiB
		list.Put(instance)
	}
	for n := range f.scaled(fullEntries) {
		instance.ID, instance.FailureDomain = entryName(n), domainName(n)
		instance.Role, instance.Pool, instance.MemoryMiB = infra.RoleEntry, "", 0
		list.Put(instance)
	}
}

// fillLog puts the configuration, the leases and each server's model on the log.
func (f *fleet) fillLog(ctx context.Context) error {
	change := &record.ConfigChange{File: "10.toml", Partner: "partner", Author: "author", Content: []byte(f.configuration())}
	offset, err := f.put(ctx, infra.StreamConfig, &record.Record{Body: &record.Record_ConfigChange{ConfigChange: change}})
	if err != nil {
		return err
	}
	verdict := &record.ConfigVerdict{Change: uint64(offset), Accepted: true}
	if _, err := f.put(ctx, infra.StreamConfig, &record.Record{Body: &record.Record_ConfigVerdict{ConfigVerdict: verdict}}); err != nil {
		return err
	}
	for n := range domains {
		claim := &record.LeaseClaim{Holder: entryName(n), DurationMs: uint32(leaseTime.Milliseconds())}
		if _, err := f.put(ctx, infra.ControlStream(domainName(n)), &record.Record{Body: &record.Record_LeaseClaim{LeaseClaim: claim}}); err != nil {
			return err
		}
	}
	for n := range f.servers {
		if err := f.assign(ctx, n, n); err != nil {
			return err
		}
	}
	return nil
}

// configuration returns a partner's file with one pool and all models.
func (f *fleet) configuration() string {
	var text strings.Builder
	fmt.Fprintf(&text, "[pools.%s]\nservers = %d\nmemory_mib = %d\nslots = %d\nfailure_domains = [", pool, f.servers, memoryMiB, slots)
	for n := range domains {
		fmt.Fprintf(&text, "%q, ", domainName(n))
	}
	text.WriteString("]\n")
	for n := range f.scaled(fullModels) {
		fmt.Fprintf(&text, "[models.%s]\nversion = %q\npools = [%q]\nmib = %d\n", modelName(n), version, pool, modelMiB)
	}
	return text.String()
}

// claimed is the offset of each stream's lease: its first record.
const claimed = 1

// assign gives a server a model and says that it is ready.
func (f *fleet) assign(ctx context.Context, server, model int) error {
	items := []*record.Item{{Model: modelName(model % f.scaled(fullModels)), Version: version, Mib: modelMiB}}
	assignment := &record.Assignment{Lease: claimed, Server: serverName(server), Pool: pool, MemoryMib: memoryMiB, Items: items}
	readiness := &record.Readiness{Lease: claimed, Server: serverName(server), Boot: "1", Items: items}
	_, err := f.put(ctx, infra.ControlStream(domainName(server)),
		&record.Record{Body: &record.Record_Assignment{Assignment: assignment}},
		&record.Record{Body: &record.Record_Readiness{Readiness: readiness}})
	return err
}

func (f *fleet) renew(ctx context.Context, domain int) error {
	renewal := &record.LeaseRenewal{Lease: claimed}
	_, err := f.put(ctx, infra.ControlStream(domainName(domain)), &record.Record{Body: &record.Record_LeaseRenewal{LeaseRenewal: renewal}})
	return err
}

// put appends records to a stream.
func (f *fleet) put(ctx context.Context, stream string, records ...*record.Record) (infra.Offset, error) {
	var encoded [][]byte
	for _, r := range records {
		f.sequences[stream]++
		r.Origin, r.Sequence = "measure", f.sequences[stream]
		data, err := proto.Marshal(r)
		if err != nil {
			return 0, err
		}
		encoded = append(encoded, data)
	}
	return f.log.Append(ctx, stream, encoded)
}

// churn renews the leases and moves models at their rates until ctx ends.
func (f *fleet) churn(ctx context.Context) error {
	moves := time.NewTicker(time.Second / movesPerSecond)
	defer moves.Stop()
	renewals := time.NewTicker(leaseTime / (renewalsPerLease * domains))
	defer renewals.Stop()
	for n := 0; ; n++ {
		var err error
		select {
		case <-ctx.Done():
			return nil
		case <-moves.C:
			err = f.assign(ctx, n%f.servers, n+1)
		case <-renewals.C:
			err = f.renew(ctx, n)
		}
		if err != nil && ctx.Err() == nil {
			return err
		}
	}
}
