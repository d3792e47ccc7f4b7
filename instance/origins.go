package instance

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"greengageferry/exchange"
	"greengageferry/netconn"
	"greengageferry/origin"
	"greengageferry/relay"
	"greengageferry/residency"
	"greengageferry/supervise"
	"greengageferry/topology"
)

const (
	// originsBatchTime is how long streams that began are collected before they are told.
	originsBatchTime = 2 * time.Millisecond
	// originsInterval is how often it is checked whether remembered streams have to be told
	// after all, since a second software version appeared, and which can be forgotten.
	originsInterval = 250 * time.Millisecond
	// tellOriginsTimeout and findOriginTimeout bound the calls of other instances.
	tellOriginsTimeout = 500 * time.Millisecond
	findOriginTimeout  = 150 * time.Millisecond
	// defaultStreamLifetime is how long a stream is assumed to live at most while no
	// configuration says so.
	defaultStreamLifetime = 30 * time.Second
	// maxMembersWait bounds how long an instance that has just started gets no new connections
	// because it doesn't know yet whom to ask for streams that began elsewhere: several calls of
	// the lease holder, if there is one.
	maxMembersWait = time.Second
	// maxOpenTellings bounds the calls of TellOrigins under way.
	maxOpenTellings = 32
)

// origins remembers where streams began that callers may take up again, and shares it with a
// few other instances while servers of several software versions serve, or may have. It
// implements relay.Origins.
type origins struct {
	instance *Instance
	client   *http.Client
	wake     chan struct{} // signaled after a stream began; buffers one signal
	start    time.Time     // of the instance

	mu      sync.Mutex
	history *origin.History
	records *origin.Records
	members origin.Members // the candidates for the lease
}

func newOrigins(i *Instance) *origins {
	return &origins{
		instance: i,
		client:   &http.Client{Transport: netconn.NewIdleClosingTransport(maxIdlePeerConns, time.Minute)},
		wake:     make(chan struct{}, 1),
		start:    time.Now(),
		history:  origin.NewHistory(defaultStreamLifetime),
		records:  origin.NewRecords(defaultStreamLifetime),
	}
}

// setMembers replaces the candidates for the lease.
func (o *origins) setMembers(candidates residency.Candidates) {
	members := make([]origin.Member, len(candidates))
	for n, c := range candidates {
		members[n] = origin.Member{Domain: c.Domain, Addr: c.Addr}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.members.Set(time.Now(), members)
}

// mayAsk reports whether the instance knows whom to ask for streams that began elsewhere, or has
// waited for that long enough.
func (o *origins) mayAsk(now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.members.List()) > 0 || now.Sub(o.start) > maxMembersWait
}

// setConfig takes over from a configuration how long streams live.
func (o *origins) setConfig(c *topology.Config) {
	lifetime := c.LongestResumable()
	if lifetime == 0 {
		lifetime = defaultStreamLifetime
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.history.SetLifetime(lifetime)
	o.records.SetLifetime(lifetime)
}

// setServers takes over the listed servers, and returns the software versions by service; see
// topology.View.Versions.
func (o *origins) setServers(now time.Time, servers []topology.Server) map[string][]string {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.history.Update(now, servers)
	out := map[string][]string{}
	for i := range servers {
		name := servers[i].Service
		if _, done := out[name]; done {
			continue
		}
		out[name] = o.history.Versions(now, name)
		slices.Sort(out[name])
	}
	return out
}

// Began implements relay.Origins.
func (o *origins) Began(id string, at relay.Origin) {
	o.mu.Lock()
	o.records.AddOwn(origin.Record{Stream: origin.StreamOf(id), Service: at.Service, Version: at.Version, Began: time.Now()})
	o.mu.Unlock()
	select {
	case o.wake <- struct{}{}:
	default: // a signal is already pending
	}
}

// Only implements relay.Origins.
func (o *origins) Only(service string) (string, bool) {
	now := time.Now()
	asOf := now.Add(-o.instance.servers.age(now))
	o.mu.Lock()
	defer o.mu.Unlock()
	o.history.Watch(now, asOf)
	return o.history.Only(now, service)
}

// Settled implements relay.Origins.
func (o *origins) Settled(service string) (string, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.history.Settled(time.Now(), service)
}

// Find implements relay.Origins.
func (o *origins) Find(ctx context.Context, id string) (relay.Origin, bool) {
	stream := origin.StreamOf(id)
	if at, ok := o.remembered(stream); ok {
		return at, true
	}
	at, asked, answered := o.ask(ctx, stream)
	if at == (relay.Origin{}) {
		o.instance.log.WithFields(logrus.Fields{"resumes": id, "asked": asked, "answered": answered}).Info("origin of a stream not known")
		return at, false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.records.Add(origin.Record{Stream: stream, Service: at.Service, Version: at.Version, Began: time.Now()})
	return at, true
}

func (o *origins) remembered(s origin.Stream) (relay.Origin, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	rec, ok := o.records.Find(s)
	return relay.Origin{Service: rec.Service, Version: rec.Version}, ok
}

// ask asks the instances that may remember the stream. The first that does decides. It also
// returns how many it asked, and how many of these don't remember the stream.
func (o *origins) ask(ctx context.Context, s origin.Stream) (at relay.Origin, asked, answered int) {
	ctx, cancel := context.WithTimeout(ctx, findOriginTimeout)
	defer cancel()
	peers := o.askable(s)
	answers := make(chan *exchange.OriginAnswer, len(peers)) // nil: no answer
	for _, addr := range peers {
		go func() {
			res, err := exchange.NewExchangeProtobufClient("http://"+addr, o.client).FindOrigin(ctx, &exchange.OriginQuestion{Stream: uint64(s)})
			if err != nil {
				o.instance.log.WithFields(logrus.Fields{"peer": addr, "error": err}).Debug("instance did not tell where a stream began")
			}
			answers <- res
		}()
	}
	for range peers {
		res := <-answers
		if res.GetService() != "" && res.GetSoftwareVersion() != "" {
			return relay.Origin{Service: res.GetService(), Version: res.GetSoftwareVersion()}, len(peers), answered
		}
		if res != nil {
			answered++
		}
	}
	return relay.Origin{}, len(peers), answered
}

// askable returns the addresses of the other instances that may remember the stream.
func (o *origins) askable(s origin.Stream) []string {
	o.mu.Lock()
	out := origin.Askable(o.members.List(), o.instance.opts.Node.Domain, s)
	o.mu.Unlock()
	return slices.DeleteFunc(out, func(addr string) bool { return addr == o.instance.opts.Node.PeerAddr })
}

// run is the duty that tells other instances where streams began.
func (o *origins) run(ctx context.Context) error {
	var tellings errgroup.Group
	tellings.SetLimit(maxOpenTellings)
	defer func() { _ = tellings.Wait() }() // no error is returned
	ticker := time.NewTicker(originsInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-o.wake:
			supervise.Pause(ctx, originsBatchTime)
		}
		for addr, report := range o.reports(time.Now()) {
			// What isn't told for want of room costs a refusal at most.
			tellings.TryGo(func() error {
				o.tell(ctx, addr, report)
				return nil
			})
		}
	}
}

// reports returns what to tell now, by the address of the instance.
func (o *origins) reports(now time.Time) map[string]*exchange.OriginsReport {
	asOf := now.Add(-o.instance.servers.age(now))
	o.mu.Lock()
	defer o.mu.Unlock()
	o.history.Watch(now, asOf)
	o.records.Expire(now)
	if len(o.members.List()) == 0 {
		return nil
	}
	out := map[string]*exchange.OriginsReport{}
	mayBeSeveral := func(service string) bool {
		_, only := o.history.Only(now, service)
		return !only
	}
	for _, rec := range o.records.TakeOwn(mayBeSeveral) {
		for _, addr := range origin.Holders(o.members.List(), o.instance.opts.Node.Domain, rec.Stream) {
			if addr == o.instance.opts.Node.PeerAddr {
				continue
			}
			if out[addr] == nil {
				out[addr] = &exchange.OriginsReport{}
			}
			addOrigin(out[addr], now, rec)
		}
	}
	return out
}

// addOrigin adds a stream to a report.
func addOrigin(report *exchange.OriginsReport, now time.Time, rec origin.Record) {
	age := uint32(now.Sub(rec.Began).Milliseconds())
	for _, x := range report.Origins {
		if x.GetService() == rec.Service && x.GetSoftwareVersion() == rec.Version {
			x.Streams = append(x.Streams, uint64(rec.Stream))
			x.AgeMs = max(x.AgeMs, age)
			return
		}
	}
	report.Origins = append(report.Origins, &exchange.StreamOrigin{
		Service: rec.Service, SoftwareVersion: rec.Version, Streams: []uint64{uint64(rec.Stream)}, AgeMs: age,
	})
}

func (o *origins) tell(ctx context.Context, addr string, report *exchange.OriginsReport) {
	ctx, cancel := context.WithTimeout(ctx, tellOriginsTimeout)
	defer cancel()
	if _, err := exchange.NewExchangeProtobufClient("http://"+addr, o.client).TellOrigins(ctx, report); err != nil {
		o.instance.log.WithFields(logrus.Fields{"peer": addr, "error": err}).Debug("instance was not told where streams began")
	}
}

// TellOrigins implements exchange.Exchange.
func (e exchangeServer) TellOrigins(_ context.Context, req *exchange.OriginsReport) (*exchange.OriginsReportResponse, error) {
	o, now := e.instance.origins, time.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, x := range req.GetOrigins() {
		if x.GetService() == "" || x.GetSoftwareVersion() == "" {
			continue
		}
		began := now.Add(-time.Duration(x.GetAgeMs()) * time.Millisecond)
		for _, s := range x.GetStreams() {
			o.records.Add(origin.Record{Stream: origin.Stream(s), Service: x.GetService(), Version: x.GetSoftwareVersion(), Began: began})
		}
	}
	return &exchange.OriginsReportResponse{}, nil
}

// FindOrigin implements exchange.Exchange.
func (e exchangeServer) FindOrigin(_ context.Context, req *exchange.OriginQuestion) (*exchange.OriginAnswer, error) {
	at, _ := e.instance.origins.remembered(origin.Stream(req.GetStream()))
	return &exchange.OriginAnswer{Service: at.Service, SoftwareVersion: at.Version}, nil
}
