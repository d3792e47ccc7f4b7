package instance

import (
	"cmp"
	"context"
	"maps"
	"math"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"greengageferry/exchange"
	"greengageferry/supervise"
	"greengageferry/topology"
)

const (
	// learnInterval is the pause between two rounds in which an instance that is out of
	// date asks others. Once no answer has brought anything new for learnPatience, it is
	// maxLearnInterval: nobody knows more while the store is away for all.
	learnInterval    = 200 * time.Millisecond
	maxLearnInterval = time.Second
	learnPatience    = 3 * time.Second
	// learnFanout is how many instances are asked in a round. If half of the others know
	// no more either, seven rounds in eight find one that does.
	learnFanout = 3
	// learnFanoutFew replaces learnFanout with up to manyInstances, which can all be asked.
	learnFanoutFew = manyInstances
	// freshAge is the age up to which the list of servers and the configuration are fresh,
	// as another instance keeps them that the store answers. Then that one alone is asked.
	freshAge = time.Second
	// failedPeerDelay is how long an instance that didn't answer is asked after the others.
	failedPeerDelay = 3 * time.Second
	// maxOpenQuestions bounds the questions under way: instances that are cut off answer
	// none, and must not hold up the next round.
	maxOpenQuestions = 3 * learnFanoutFew
	// outOfDateListAge and outOfDateConfigAge are the ages from which the list of servers
	// and the configuration count as out of date. Confirmed by the lease holder, they are
	// younger, also just after a change. With more than manyInstances the holder is asked
	// less often, and their ages are at most holderListTTL and configConfirmationTTL.
	outOfDateListAge   = 1200 * time.Millisecond
	outOfDateConfigAge = 1420 * time.Millisecond
	// unconfirmedAge replaces both while the store doesn't answer this instance or
	// the one that it syncs with.
	unconfirmedAge = 500 * time.Millisecond
)

// learner is the duty that asks other instances for what they know while neither the
// store nor the lease holder confirms what this instance knows. Without it, instances that
// the store refuses would share the old knowledge of a lease holder that is refused too,
// though others know better.
type learner struct {
	instance *Instance
	client   *http.Client
	asks     errgroup.Group // the questions under way

	mu        sync.Mutex
	preferred string               // address of the instance that last knew more; empty: none did
	newsAt    time.Time            // when an answer last brought something new, or nothing was missing
	failedAt  map[string]time.Time // by address: when a question was last not answered
	open      int                  // questions under way
}

func newLearner(i *Instance) *learner {
	l := &learner{
		instance: i,
		client:   newPeerClient(),
		failedAt: map[string]time.Time{},
	}
	l.asks.SetLimit(maxOpenQuestions)
	return l
}

// run is the duty. It asks in rounds while the instance is out of date.
func (l *learner) run(ctx context.Context) error {
	defer func() { _ = l.asks.Wait() }() // no error is returned
	outOfDate := false
	for supervise.Pause(ctx, l.interval(time.Now())) {
		if is := l.instance.isOutOfDate(time.Now()); is != outOfDate {
			outOfDate = is
			l.logState(outOfDate)
		}
		if !outOfDate {
			l.noteNews(l.preferredPeer())
			continue
		}
		for _, addr := range l.pickPeers() {
			l.asks.TryGo(func() error {
				l.ask(ctx, addr)
				return nil
			})
		}
	}
	return nil
}

// logState logs that the instance's knowledge is out of date, or no longer is.
func (l *learner) logState(outOfDate bool) {
	i := l.instance
	i.mu.Lock()
	fields := logrus.Fields{"confirmed_ms": ageMs(i.configConfirmedAt)}
	i.mu.Unlock()
	fields["list_ms"] = int64(i.servers.ageSeconds() * 1000)
	if outOfDate {
		i.log.WithFields(fields).Warn("knowledge out of date, asking other instances")
		return
	}
	fields["peer"] = l.preferredPeer()
	i.log.WithFields(fields).Info("knowledge confirmed again")
}

// interval returns the pause before the next round.
func (l *learner) interval(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.newsAt) > learnPatience {
		return maxLearnInterval
	}
	return learnInterval
}

// noteNews records that nothing is missing, and the instance to ask first from now on.
func (l *learner) noteNews(peer string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.preferred, l.newsAt = peer, time.Now()
}

func (l *learner) preferredPeer() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.preferred
}

// isOutOfDate reports whether neither the store nor another instance has confirmed the
// list of servers or the configuration lately.
func (i *Instance) isOutOfDate(now time.Time) bool {
	maxList, maxConfig := outOfDateListAge, outOfDateConfigAge
	if i.instanceCount() > manyInstances {
		maxList, maxConfig = holderListTTL, configConfirmationTTL
	}
	i.mu.Lock()
	configAge := now.Sub(i.configConfirmedAt)
	unconfirmed := i.storeDown || i.peerStatus.storeDown
	i.mu.Unlock()
	if unconfirmed {
		maxList, maxConfig = unconfirmedAge, unconfirmedAge
	}
	return configAge > maxConfig || i.servers.age(now) > maxList
}

// isFresh reports whether the store has just confirmed the list of servers and the
// configuration, to this instance or another.
func (i *Instance) isFresh(now time.Time) bool {
	i.mu.Lock()
	configAge := now.Sub(i.configConfirmedAt)
	i.mu.Unlock()
	return configAge < freshAge && i.servers.age(now) < freshAge
}

// pickPeers returns the known instances to ask in a round: the one that last knew more,
// and others at random. Those that lately didn't answer come last. One more is asked for
// each question of the last rounds that is still unanswered, since the way to that
// instance may be cut.
func (l *learner) pickPeers() []string {
	now := time.Now()
	fanout := learnFanout
	switch {
	case l.instance.instanceCount() <= manyInstances:
		fanout = learnFanoutFew
	case l.instance.isFresh(now):
		fanout = 1
	}
	peers := l.instance.somePeers(math.MaxInt)
	l.mu.Lock()
	defer l.mu.Unlock()
	rank := func(addr string) int {
		switch {
		case addr == l.preferred:
			return 0
		case now.Sub(l.failedAt[addr]) > failedPeerDelay:
			return 1
		}
		return 2
	}
	slices.SortStableFunc(peers, func(a, b string) int { return cmp.Compare(rank(a), rank(b)) })
	return peers[:min(fanout+l.open, len(peers))]
}

// addOpen adds to the number of questions under way.
func (l *learner) addOpen(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open += n
}

// noteFailure records that an instance didn't answer.
func (l *learner) noteFailure(addr string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	maps.DeleteFunc(l.failedAt, func(_ string, at time.Time) bool { return now.Sub(at) > failedPeerDelay })
	l.failedAt[addr] = now
}

// ask asks one instance and takes over what is newer than this instance's own knowledge.
func (l *learner) ask(ctx context.Context, addr string) {
	i := l.instance
	i.metrics.peerQuestions.Inc()
	l.addOpen(1)
	defer l.addOpen(-1)
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	sent := time.Now()
	req := i.stateRequest()
	res, err := exchange.NewExchangeProtobufClient("http://"+addr, l.client).State(ctx, req)
	if err != nil {
		l.noteFailure(addr)
		i.log.WithFields(logrus.Fields{"peer": addr, "error": err}).Debug("instance did not tell what it knows")
		return
	}
	if i.learnState(sent, addr, req, res) {
		l.noteNews(addr)
	}
}

// stateRequest tells another instance what this one knows.
func (i *Instance) stateRequest() *exchange.StateRequest {
	digest, at := i.servers.digestAndPosition()
	suspectsDigest, suspects := i.suspects.forPeer()
	return &exchange.StateRequest{
		SuspectsDigest: suspectsDigest, Suspects: suspects,
		ServersDigest: digest, ServersPosition: at.Offset, ServersEra: at.Era,
		ConfigVersion: i.configVersion(), StoreEra: i.storeEra(), Token: wireToken(i.lease.Token()),
		Leaving: wireStarts(i.leavingServers()), Addr: i.opts.Node.PeerAddr,
		RefusalLimits: wireRefusalLimits(i.relay.RefusalLimits()), GatewaysDigest: i.relay.Gateways().Digest(),
	}
}

// learnState takes over what another instance knows and this one doesn't, and reports
// whether its list of servers or its configuration was confirmed later than this one's.
func (i *Instance) learnState(sent time.Time, addr string, req *exchange.StateRequest, res *exchange.StateResponse) bool {
	i.lease.ObserveToken(tokenFromWire(res.GetToken()))
	i.addLeavingServers(startsFromWire(res.GetLeaving()))
	i.relay.ObserveRefusalLimits(sent, refusalLimitsFromWire(res.GetRefusalLimits()))
	if len(i.relay.Gateways()) == 0 {
		i.setGateways(gatewaysFromWire(res.GetGateways()))
	}
	i.suspects.onPeerAnswer(req.GetSuspectsDigest(), res.GetSuspectsDigest(), res.GetSuspects())
	i.notePeers(res.GetPeers()[:min(len(res.GetPeers()), maxNamedPeers)]...)
	if i.observeEra(res.GetStoreEra(), "instance") == eraStale {
		return false // the rest predates the restore of the store
	}
	now := time.Now()
	age := i.servers.age(now)
	if res.GetServers() != nil {
		i.servers.applySteps(sent, req.GetServersDigest(), res.GetServers(), i.setServers)
	}
	news := i.servers.age(now) < age
	if len(res.GetConfig()) > 0 {
		i.learnConfig(addr, res.GetConfig())
	}
	if res.ConfigAgeMs != nil && res.GetConfigVersion() == i.configVersion() {
		news = i.noteConfigConfirmed(sent.Add(-time.Duration(res.GetConfigAgeMs())*time.Millisecond)) || news
	}
	return news
}

// learnConfig puts a configuration in force that another instance has read.
func (i *Instance) learnConfig(addr string, record []byte) {
	c, err := i.opts.Source.DecodeConfig(record)
	if err != nil {
		i.log.WithFields(logrus.Fields{"peer": addr, "error": err}).Warn("instance's configuration not usable")
		return
	}
	i.setConfig(c)
}

// State implements exchange.Exchange.
func (e exchangeServer) State(_ context.Context, req *exchange.StateRequest) (*exchange.StateResponse, error) {
	i := e.instance
	i.observeEra(req.GetStoreEra(), "instance")
	i.lease.ObserveToken(tokenFromWire(req.GetToken()))
	i.addLeavingServers(startsFromWire(req.GetLeaving()))
	peers := i.somePeers(maxNamedPeers)
	i.notePeers(req.GetAddr())
	i.relay.ObserveRefusalLimits(time.Now(), refusalLimitsFromWire(req.GetRefusalLimits()))
	version, age := i.confirmedConfig()
	suspectsDigest, suspects := i.suspects.exchange(req.GetSuspectsDigest(), req.GetSuspects())
	res := &exchange.StateResponse{
		SuspectsDigest: suspectsDigest, Suspects: suspects,
		Servers:       i.servers.stepsOrAll(time.Now(), req.GetServersDigest(), topology.Position{Era: req.GetServersEra(), Offset: req.GetServersPosition()}),
		ConfigVersion: version, ConfigAgeMs: age,
		StoreEra: i.storeEra(), Token: wireToken(i.lease.Token()), Leaving: wireStarts(i.leavingServers()),
		Peers: peers, RefusalLimits: wireRefusalLimits(i.relay.RefusalLimits()), Gateways: i.gatewaysFor(req.GetGatewaysDigest()),
	}
	if c := i.currentView().Config; c != nil && version > req.GetConfigVersion() {
		res.ConfigVersion, res.Config = c.Version, c.Record
		if c.Version != version {
			res.ConfigAgeMs = nil // another one came in force meanwhile
		}
	}
	return res, nil
}
