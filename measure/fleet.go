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

// Dimensions and rates of a simulated fleet.
const (
	// The reference fleet is the size expected in two years. A measured fleet
	// keeps its proportions of models and entry instances to backend servers.
	referenceServers = 1900
	referenceModels  = 870
	referenceEntries = 370
	domainCount      = 9

	// The lease of each failure domain is renewed three times per lease duration.
	leaseDuration    = 8 * time.Second
	renewalsPerLease = 3
	// movesPerSecond is the rate of model moves over all failure domains: as
	// many as both weight stores together allow.
	movesPerSecond = 4

	serverMemoryMiB = 80000
	modelMiB        = 20000
	slotsPerServer  = 16
	// unreachableAddr is an address without a listener.
	unreachableAddr = "127.0.0.1:1"
	poolName        = "pool"
	modelVersion    = "v1"
)

// fleet simulates a fleet: stand-ins for the platform's services, served on
// loopback, whose log and instance list describe the fleet. Its entry instances
// and backend servers don't run. Entry instances that don't run hold every lease.
type fleet struct {
	servers   int
	log       *standin.Log
	standins  map[string]*standin.Server // by name: log, list or store
	sequences map[string]uint64          // number of the last record, by stream
}

// newFleet fills the stand-ins and serves them until close.
func newFleet(ctx context.Context, servers int) (*fleet, error) {
	f := &fleet{
		servers:   servers,
		log:       standin.NewLog(standin.LogOptions{AppendsPerSecond: 1e6}),
		standins:  map[string]*standin.Server{},
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
		f.standins[name] = server
	}
	return f, nil
}

func (f *fleet) close() {
	for _, server := range f.standins {
		_ = server.Close() // the stand-in isn't used again
	}
}

func domainName(n int) string { return fmt.Sprintf("domain-%d", n%domainCount) }
func serverName(n int) string { return fmt.Sprintf("server-%04d", n) }
func entryName(n int) string  { return fmt.Sprintf("entry-%04d", n) }
func modelName(n int) string  { return fmt.Sprintf("model-%03d", n) }

// scale returns n, a number of the reference fleet, in proportion to the size of
// this fleet; at least 1.
func (f *fleet) scale(n int) int { return max(n*f.servers/referenceServers, 1) }

// fillList puts the backend servers and the entry instances on the instance list.
func (f *fleet) fillList(list *standin.InstanceList) {
	instance := infra.Instance{State: infra.StateLive, Region: "region", Addr: unreachableAddr}
	for n := range f.servers {
		instance.ID, instance.FailureDomain = serverName(n), domainName(n)
		instance.Role, instance.Pool, instance.MemoryMiB = infra.RoleEngine, poolName, serverMemoryMiB
		list.Put(instance)
	}
	for n := range f.scale(referenceEntries) {
		instance.ID, instance.FailureDomain = entryName(n), domainName(n)
		instance.Role, instance.Pool, instance.MemoryMiB = infra.RoleEntry, "", 0
		list.Put(instance)
	}
}

// fillLog appends the configuration, the lease claims and each server's model
// assignment to the log.
func (f *fleet) fillLog(ctx context.Context) error {
	change := &record.ConfigChange{File: "10.toml", Partner: "partner", Author: "author", Content: []byte(f.configuration())}
	offset, err := f.appendRecords(ctx, infra.StreamConfig, &record.Record{Body: &record.Record_ConfigChange{ConfigChange: change}})
	if err != nil {
		return err
	}
	verdict := &record.ConfigVerdict{Change: uint64(offset), Accepted: true}
	if _, err := f.appendRecords(ctx, infra.StreamConfig, &record.Record{Body: &record.Record_ConfigVerdict{ConfigVerdict: verdict}}); err != nil {
		return err
	}
	for n := range domainCount {
		claim := &record.LeaseClaim{Holder: entryName(n), DurationMs: uint32(leaseDuration.Milliseconds())}
		if _, err := f.appendRecords(ctx, infra.ControlStream(domainName(n)), &record.Record{Body: &record.Record_LeaseClaim{LeaseClaim: claim}}); err != nil {
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

// configuration returns a partner's configuration file with one pool and all
// models.
func (f *fleet) configuration() string {
	var text strings.Builder
	fmt.Fprintf(&text, "[pools.%s]\nservers = %d\nmemory_mib = %d\nslots = %d\nfailure_domains = [", poolName, f.servers, serverMemoryMiB, slotsPerServer)
	for n := range domainCount {
		fmt.Fprintf(&text, "%q, ", domainName(n))
	}
	text.WriteString("]\n")
	for n := range f.scale(referenceModels) {
		fmt.Fprintf(&text, "[models.%s]\nversion = %q\npools = [%q]\nmib = %d\n", modelName(n), modelVersion, poolName, modelMiB)
	}
	return text.String()
}

// leaseOffset is the offset of the lease claim in each control stream. The claim
// is the stream's first record.
const leaseOffset = 1

// assign appends the assignment of a model to a server, and the server's
// readiness for the model.
func (f *fleet) assign(ctx context.Context, server, model int) error {
	items := []*record.Item{{Model: modelName(model % f.scale(referenceModels)), Version: modelVersion, Mib: modelMiB}}
	assignment := &record.Assignment{Lease: leaseOffset, Server: serverName(server), Pool: poolName, MemoryMib: serverMemoryMiB, Items: items}
	readiness := &record.Readiness{Lease: leaseOffset, Server: serverName(server), Boot: "1", Items: items}
	_, err := f.appendRecords(ctx, infra.ControlStream(domainName(server)),
		&record.Record{Body: &record.Record_Assignment{Assignment: assignment}},
		&record.Record{Body: &record.Record_Readiness{Readiness: readiness}})
	return err
}

// renew appends a renewal of a failure domain's lease.
func (f *fleet) renew(ctx context.Context, domain int) error {
	renewal := &record.LeaseRenewal{Lease: leaseOffset}
	_, err := f.appendRecords(ctx, infra.ControlStream(domainName(domain)), &record.Record{Body: &record.Record_LeaseRenewal{LeaseRenewal: renewal}})
	return err
}

// appendRecords appends records to a stream and returns the offset that the log
// reports.
func (f *fleet) appendRecords(ctx context.Context, stream string, records ...*record.Record) (infra.Offset, error) {
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

// churn renews leases and moves models at their fixed rates until ctx ends.
func (f *fleet) churn(ctx context.Context) error {
	moves := time.NewTicker(time.Second / movesPerSecond)
	defer moves.Stop()
	renewals := time.NewTicker(leaseDuration / (renewalsPerLease * domainCount))
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
