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
	// moreOriginsTime is how long further answers are awaited after one that knows a stream:
	// another may know a later version of the weights.
	moreOriginsTime = 30 * time.Millisecond
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
		client:   newPeerClient(),
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
	o.records.AddOwn(recordOf(origin.StreamOf(id), at, time.Now()))
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

// Weights implements relay.Origins.
func (o *origins) Weights(service, model string) relay.ModelWeights {
	now := time.Now()
	age := o.instance.servers.age(now)
	m := origin.Model{Service: service, Name: model}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.history.Watch(now, now.Add(-age))
	out := relay.ModelWeights{Fresh: age <= origin.MaxListAge}
	if only, ok := o.history.OneOfWeights(now, m); ok {
		out.Only = only
	}
	if settled, ok := o.history.SettledWeights(now, m); ok {
		out.Settled = settled
	}
	return out
}

// SawWeights implements relay.Origins.
func (o *origins) SawWeights(service, model string, version int64) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.history.NoteWeights(time.Now(), origin.Model{Service: service, Name: model}, version)
}

// severalWeights returns the versions of the weights by model; see topology.View.Weights.
func (o *origins) severalWeights(now time.Time) map[string][]int64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := map[string][]int64{}
	for m, versions := range o.history.SeveralWeights(now) {
		out[topology.TargetName(m.Service, m.Name, "")] = versions
	}
	return out
}

// Find implements relay.Origins. Another instance may know a later version of the weights than this
// one remembers.
func (o *origins) Find(ctx context.Context, id, model string) (relay.Origin, bool) {
	stream := origin.StreamOf(id)
	at, known := o.remembered(stream)
	if known && !o.mayHaveChanged(at.Service, model) {
		return at, true
	}
	told, asked, answered := o.ask(ctx, stream, known)
	switch {
	case known && told.Weights <= at.Weights:
		return at, true
	case told == (relay.Origin{}):
		o.instance.log.WithFields(logrus.Fields{"resumes": id, "asked": asked, "answered": answered}).Info("origin of a stream not known")
		return told, false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.records.Add(recordOf(stream, told, time.Now()))
	return told, true
}

// mayHaveChanged reports whether events of one stream may have been written by several versions of
// the model's weights.
func (o *origins) mayHaveChanged(service, model string) bool {
	now := time.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	_, one := o.history.OneOfWeights(now, origin.Model{Service: service, Name: model})
	return !one && len(o.history.Weights(now, origin.Model{Service: service, Name: model})) > 1
}

func (o *origins) remembered(s origin.Stream) (relay.Origin, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	rec, ok := o.records.Find(s)
	return relay.Origin{Service: rec.Service, Version: rec.Version, Model: rec.Model, Weights: rec.Weights, Server: rec.Server}, ok
}

// recordOf returns the record of a stream.
func recordOf(s origin.Stream, at relay.Origin, began time.Time) origin.Record {
	return origin.Record{
		Stream: s, Service: at.Service, Version: at.Version, Began: began,
		Model: at.Model, Weights: at.Weights, Server: at.Server,
	}
}

// ask asks the instances that may remember the stream. The first that does decides where it began,
// and the highest version of the weights counts that is told soon after; known says that this
// instance remembers it too. It also returns how many it asked, and how many of these don't remember
// the stream.
func (o *origins) ask(ctx context.Context, s origin.Stream, known bool) (at relay.Origin, asked, answered int) {
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
	var enough <-chan time.Time // nil: nobody knows it yet
	if known {
		enough = time.After(moreOriginsTime)
	}
	for range peers {
		select {
		case <-enough:
			return at, len(peers), answered
		case res := <-answers:
			if res.GetService() != "" && res.GetSoftwareVersion() != "" {
				at = laterOrigin(at, res)
				if enough == nil {
					enough = time.After(moreOriginsTime)
				}
			} else if res != nil {
				answered++
			}
		}
	}
	return at, len(peers), answered
}

// laterOrigin returns what an answer tells if it is the first or names a later version of the weights,
// else what is known.
func laterOrigin(at relay.Origin, res *exchange.OriginAnswer) relay.Origin {
	if at.Service != "" && res.GetWeights() <= at.Weights {
		return at
	}
	return relay.Origin{Service: res.GetService(), Version: res.GetSoftwareVersion(), Weights: res.GetWeights(), Server: res.GetServer()}
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
	mayBeSeveral := func(rec origin.Record) bool {
		_, only := o.history.Only(now, rec.Service)
		_, oneOfWeights := o.history.OneOfWeights(now, origin.Model{Service: rec.Service, Name: rec.Model})
		return !only || !oneOfWeights
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
		if x.GetService() == rec.Service && x.GetSoftwareVersion() == rec.Version && x.GetModel() == rec.Model && x.GetWeights() == rec.Weights && x.GetServer() == rec.Server {
			x.Streams = append(x.Streams, uint64(rec.Stream))
			x.AgeMs = max(x.AgeMs, age)
			return
		}
	}
	report.Origins = append(report.Origins, &exchange.StreamOrigin{
		Service: rec.Service, SoftwareVersion: rec.Version, Streams: []uint64{uint64(rec.Stream)}, AgeMs: age,
		Model: rec.Model, Weights: rec.Weights, Server: rec.Server,
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
		at := relay.Origin{Service: x.GetService(), Version: x.GetSoftwareVersion(), Model: x.GetModel(), Weights: x.GetWeights(), Server: x.GetServer()}
		o.history.NoteWeights(now, origin.Model{Service: at.Service, Name: at.Model}, at.Weights)
		began := now.Add(-time.Duration(x.GetAgeMs()) * time.Millisecond)
		for _, s := range x.GetStreams() {
			o.records.Add(recordOf(origin.Stream(s), at, began))
		}
	}
	return &exchange.OriginsReportResponse{}, nil
}

// FindOrigin implements exchange.Exchange.
func (e exchangeServer) FindOrigin(_ context.Context, req *exchange.OriginQuestion) (*exchange.OriginAnswer, error) {
	at, _ := e.instance.origins.remembered(origin.Stream(req.GetStream()))
	return &exchange.OriginAnswer{Service: at.Service, SoftwareVersion: at.Version, Weights: at.Weights, Server: at.Server}, nil
}
