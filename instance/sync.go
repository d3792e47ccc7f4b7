package instance

import (
	"context"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/twitchtv/twirp"

	"greengageferry/exchange"
	"greengageferry/netconn"
	"greengageferry/residency"
	"greengageferry/supervise"
	"greengageferry/topology"
)

const (
	// The time between two words to the lease holder is syncShare for each instance
	// that there is, within syncLeast and syncMost: demand, loads and servers are
	// told that late at most, and streams are served in time by it; the holder has
	// as many words to answer as it can.
	syncLeast = 200 * time.Millisecond
	syncMost  = 500 * time.Millisecond
	// syncSpacing is the least time between two of them, where requests wait for
	// a model that no server holds; with many instances it is syncShare for each.
	// With 86 on links of 10 Mbit/s, 60 ms brought 1,400 words a second, and the
	// holder's own renewals timed out.
	syncSpacing = 60 * time.Millisecond
	syncShare   = 6 * time.Millisecond
	// syncTimeout bounds one.
	syncTimeout = 400 * time.Millisecond
	// idleHolder is how long a holder that may not order is believed to be the
	// holder: longer than a new one waits before its first order.
	idleHolder = 2500 * time.Millisecond
	// expectedFor is how long after a holder last said that it may order requests
	// wait for a model that no server holds. A new holder takes some five
	// seconds; after that an answer is not in sight, and they are refused.
	expectedFor = 6 * time.Second
	// peerIdle bounds the unused connections to another instance.
	peerIdle = 2
)

// memberName names a start of an instance in the platform's group: its name,
// its address for other instances, and when it started.
func memberName(n *topology.Node, started time.Time) string {
	return n.Name + "|" + n.PeerAddr + "|" + strconv.FormatInt(started.UnixNano(), 36)
}

// memberAddr returns the address in a member's name, empty if it bears none.
func memberAddr(member string) string {
	parts := strings.Split(member, "|")
	if len(parts) != 3 {
		return ""
	}
	return parts[1]
}

// syncer tells the lease holder what this instance is asked for, and takes in
// what the holder knows of all.
type syncer struct {
	instance   *Instance
	client     *http.Client
	directory  directory
	candidates residency.Candidates // as the holder last told them
}

func newSyncer(i *Instance) *syncer {
	n, now := i.opts.Node, time.Now()
	apart := rand.N(askFirst) // so that instances alike don't all ask at once
	return &syncer{
		instance: i,
		client:   &http.Client{Transport: netconn.NewIdleClosingTransport(peerIdle, time.Minute)},
		directory: directory{
			domain: n.Domain, begun: now.Add(askAfter(n.Cores) + apart), stands: now.Add(standAfter(n.Cores) + apart),
		},
	}
}

// run is the duty.
func (s *syncer) run(ctx context.Context) error {
	timer := time.NewTimer(syncMost)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		case <-s.instance.relay.Wanted():
		}
		if s.instance.ready() {
			s.once(ctx)
			s.instance.mu.Lock()
			s.instance.noteExpected()
			s.instance.mu.Unlock()
		}
		timer.Reset(s.instance.syncEvery())
		supervise.Pause(ctx, min(max(syncSpacing, s.instance.syncShared()), syncMost))
	}
}

// syncShared is the time between two words with which the holder gets one for
// each syncShare.
func (i *Instance) syncShared() time.Duration { return time.Duration(i.instances()) * syncShare }

// syncEvery is the time between two words where no request waits.
func (i *Instance) syncEvery() time.Duration { return min(max(i.syncShared(), syncLeast), syncMost) }

// once says one word, to a second instance where the first doesn't answer or
// isn't the holder.
func (s *syncer) once(ctx context.Context) {
	i := s.instance
	word := i.word()
	word.Candidates = s.candidates.Digest()
	if i.lease.Holds() {
		summary, err := i.controller.HandleReport(time.Now(), word)
		if err == nil {
			i.lease.ObserveHolder(summary.Chosen) // a holder that loses the lease stays a candidate
			i.learn(time.Now(), summary)
			i.heard(told{at: time.Now(), version: summary.Version})
		}
		return // the lease has just gone: the next word finds the new holder
	}
	for range 2 {
		if s.directory.asksStore(time.Now(), i.lease.Stands(), i.instances()) {
			s.askStore(ctx)
		}
		addr := s.directory.peer(i.lease.Stands())
		if addr == "" || s.tell(ctx, addr, word) {
			return
		}
	}
}

// word is what this instance says now.
func (i *Instance) word() residency.InstanceReport {
	n := i.opts.Node
	return residency.InstanceReport{
		Instance: n.Name, Domain: n.Domain, Addr: n.PeerAddr, Cores: n.Cores,
		TargetDemand: i.relay.Demand(), Loads: i.relay.Loads(), StoreDown: i.storeIsDown(), Version: i.configVersion(),
		Leaving: i.leavingServers(),
		Rates:   i.relay.Rates(), HeldDigest: i.currentView().Held.Digest(), Stands: i.lease.Stands(),
	}
}

// tell says a word to an instance, and returns whether that was the lease holder,
// or nobody else can be asked.
func (s *syncer) tell(ctx context.Context, addr string, word residency.InstanceReport) bool {
	i := s.instance
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	client := exchange.NewExchangeProtobufClient("http://"+addr, s.client)
	sent := time.Now()
	req := syncRequest(word)
	req.ServersDigest, req.StoreEra, req.Token = i.servers.digest(), i.storeEra(), wireToken(i.lease.Token())
	res, err := client.Sync(ctx, req)
	if err != nil {
		s.failed(addr, err)
		return false
	}
	now := time.Now()
	if i.observeEra(res.GetStoreEra(), "instance") == eraStale {
		res.Servers, res.ConfigAgeMs = nil, nil // they predate the restore of the store
	}
	i.lease.ObserveToken(tokenOfWire(res.GetToken()))
	i.addLeavingServers(startsOfWire(res.GetLeaving()))
	var loads map[string]residency.Load
	if res.GetServers() != nil {
		loads = i.servers.follow(sent, res.GetServers(), i.setServers)
	}
	if res.GetNotHolder() {
		s.directory.referred(now, res.GetHolder())
		i.heard(toldOf(sent, res, ""))
		return s.directory.holder == ""
	}
	summary := summaryOf(res)
	if res.GetServers() != nil {
		summary.Loads = loads
	}
	s.directory.answered(now, addr, summary.Ordering, word.StoreDown)
	if len(summary.Candidates) > 0 {
		s.candidates = summary.Candidates
		i.log.WithFields(logrus.Fields{"candidates": len(s.candidates), "chosen": summary.Chosen}).Info("lease candidates told")
		s.directory.learn(s.candidates)
	}
	i.lease.ObserveHolder(summary.Chosen)
	i.learn(sent, summary)
	i.heard(toldOf(sent, res, addr))
	return true
}

// failed notes that an instance didn't answer a word.
func (s *syncer) failed(addr string, err error) {
	var refused twirp.Error
	named := s.directory.named
	lost := s.directory.failed(addr, errors.As(err, &refused) && refused.Code() == twirp.FailedPrecondition, s.instance.lease.Stands())
	if lost || addr == s.directory.holder {
		s.instance.servers.unfed()
	}
	if lost && named && s.directory.vacant(time.Now()) {
		s.instance.lease.ObserveVacancy()
	}
	if lost {
		s.instance.log.WithFields(logrus.Fields{
			"holder": addr, "last_answer_ms": ageMs(s.directory.heardAt), "error": err,
		}).Warn("lease holder lost")
	}
}

// askStore asks the store who holds the lease, while it answers. Where nobody
// does, this instance stands for it.
func (s *syncer) askStore(ctx context.Context) {
	if s.instance.storeIsDown() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	began := time.Now()
	member, err := s.instance.lease.Owner(ctx)
	s.instance.metrics.storeCall("owner", began)
	if err != nil {
		s.instance.log.WithField("error", err).Warn("lease holder not known")
		return
	}
	s.directory.found(time.Now(), memberAddr(member))
	if s.directory.vacant(time.Now()) {
		s.instance.lease.ObserveVacancy()
	}
	if s.directory.holder == "" {
		return
	}
	s.instance.log.WithField("holder", s.directory.holder).Info("lease holder found")
}

// told is what the lease holder, or a candidate, last told this instance.
type told struct {
	at        time.Time
	version   int64  // the newest of the configuration that it knows of
	storeDown bool   // it doesn't reach the platform's store
	holder    string // the holder's address; empty: it isn't the one that told
	// confirmedAt is when the store confirmed to that instance that no version newer
	// than version existed; zero: not reported.
	confirmedAt time.Time
}

// toldOf returns what the answer to a word sent at the given time reports. holder is
// the address of the instance that answered if it holds the lease, empty otherwise.
// The confirmation's age is subtracted from the time of sending, so that the time
// in transit never makes it appear more recent.
func toldOf(sent time.Time, res *exchange.SyncResponse, holder string) told {
	t := told{at: time.Now(), version: res.GetConfigVersion(), storeDown: res.GetStoreDown(), holder: holder}
	if res.ConfigAgeMs != nil {
		t.confirmedAt = sent.Add(-time.Duration(res.GetConfigAgeMs()) * time.Millisecond)
	}
	return t
}

// heard takes in what another instance told.
func (i *Instance) heard(t told) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.told = t
	if i.view.Config != nil && i.view.Config.Version >= t.version && t.confirmedAt.After(i.configConfirmedAt) {
		i.configConfirmedAt = t.confirmedAt
	}
}

// confirmedConfig returns the version of the configuration in force and how long ago
// the store last confirmed that it was the newest, in milliseconds; 0 and nil before
// the first confirmation. Both are read under one lock, so that the confirmation of a
// newer version is never reported with an older one.
func (i *Instance) confirmedConfig() (version int64, configAgeMs *uint32) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.view.Config == nil || i.configConfirmedAt.IsZero() {
		return 0, nil
	}
	age := uint32(ageMs(i.configConfirmedAt))
	return i.view.Config.Version, &age
}

// exchangeServer answers other instances' words. It implements exchange.Exchange.
type exchangeServer struct{ instance *Instance }

// Sync implements exchange.Exchange.
func (e exchangeServer) Sync(_ context.Context, req *exchange.SyncRequest) (*exchange.SyncResponse, error) {
	w := wordOf(req)
	e.instance.observeEra(req.GetStoreEra(), "instance")
	e.instance.lease.ObserveToken(tokenOfWire(req.GetToken()))
	e.instance.addLeavingServers(w.Leaving)
	summary, err := e.instance.controller.HandleReport(time.Now(), w)
	var notHolder *residency.NotHolderError
	if errors.As(err, &notHolder) && e.instance.lease.Stands() {
		return e.instance.refer(time.Now(), req), nil
	}
	if errors.As(err, &notHolder) {
		return nil, twirp.NewError(twirp.FailedPrecondition, notHolder.Error())
	}
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	version, age := e.instance.confirmedConfig()
	res := &exchange.SyncResponse{
		Ordering: summary.Ordering, Chosen: summary.Chosen, StoreDown: e.instance.storeIsDown(),
		ConfigVersion: max(summary.Version, version), ConfigAgeMs: age,
	}
	if summary.Candidates.Digest() != w.Candidates {
		res.Candidates = wireCandidates(summary.Candidates)
	}
	for domain, n := range summary.Instances {
		res.Instances = append(res.Instances, &exchange.DomainInstances{FailureDomain: domain, Count: uint32(n)})
	}
	res.Servers = e.instance.servers.steps(time.Now(), req.GetServersDigest(), summary.Loads)
	if res.Servers == nil {
		res.Loads = wireLoads(summary.Loads)
	}
	res.Rates, res.Place = wireRates(summary.Rates.Shares), uint32(summary.Rates.Position)
	res.Leaving, res.StoreEra = wireStarts(e.instance.leavingServers()), e.instance.storeEra()
	res.Token = wireToken(e.instance.lease.Token())
	res.Held, res.HeldLost, res.HeldSince = wireHeld(summary.Held), wireHeld(summary.HeldRemoved), summary.HeldIncremental
	return res, nil
}

// refer answers a word as a candidate that doesn't hold the lease: it reads the
// store for the instances of its failure domain while no holder does.
func (i *Instance) refer(now time.Time, req *exchange.SyncRequest) *exchange.SyncResponse {
	i.mu.Lock()
	holder := ""
	if now.Sub(i.told.at) <= ownerEvery {
		holder = i.told.holder
	}
	i.mu.Unlock()
	version, age := i.confirmedConfig()
	return &exchange.SyncResponse{
		NotHolder: true, Holder: holder, ConfigVersion: version, StoreDown: i.storeIsDown(), ConfigAgeMs: age,
		Servers: i.servers.steps(now, req.GetServersDigest(), nil),
		Leaving: wireStarts(i.leavingServers()), StoreEra: i.storeEra(), Token: wireToken(i.lease.Token()),
	}
}

// servePeers is the duty that answers other instances.
func (i *Instance) servePeers(ctx context.Context) error {
	l, err := net.Listen("tcp4", i.opts.Node.PeerAddr)
	if err != nil {
		return errors.Wrap(err, "listening for instances")
	}
	return i.front.serveOn(ctx, l, exchange.NewExchangeServer(exchangeServer{i}))
}

// learn takes in what the lease holder knows of all instances, told in answer to a
// word that was sent at a time.
func (i *Instance) learn(sent time.Time, s residency.Summary) {
	if version := i.configVersion(); version != 0 && s.Version > version {
		i.log.WithFields(logrus.Fields{"version": version, "newest": s.Version, "read_ms": i.configReadAge()}).Warn("configuration behind other instances")
		i.restartConfigRead(behindAge)
	}
	i.mu.Lock()
	if s.Ordering {
		i.orderedAt = time.Now()
	}
	if len(s.Instances) > 0 && !(i.view.Counted && maps.Equal(i.view.Nodes, s.Instances)) {
		i.view.Nodes, i.view.Counted = s.Instances, true
		i.log.WithField("instances", s.Instances).Info("instances counted")
		i.rebuild()
	}
	held := s.Held
	if s.HeldIncremental {
		held = i.view.Held.Change(s.HeldRemoved, s.Held)
	}
	if !held.Equal(i.view.Held) {
		i.view.Held = held
		i.rebuild()
	}
	servers := i.view.Servers
	i.mu.Unlock()
	i.relay.RatesTold(sent, s.Rates)
	if s.Loads == nil {
		return // told for another list of servers: the next word brings them
	}
	age := i.syncEvery() / 2 // the others' words are that old
	for n := range servers {
		i.relay.Reported(servers[n].ID, s.Loads[servers[n].ID], age)
	}
}

// noteExpected works out whether requests should wait for a model that no server
// holds. The lock is held.
func (i *Instance) noteExpected() {
	expected := i.orderedAt.IsZero() || time.Since(i.orderedAt) < expectedFor
	if expected != i.view.Expected {
		i.view.Expected = expected
		i.log.WithField("expected", expected).Info("models that no server holds are loaded on demand")
		i.rebuild()
	}
}
