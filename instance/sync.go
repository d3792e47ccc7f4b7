package instance

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/twitchtv/twirp"

	"greengageferry/exchange"
	"greengageferry/residency"
	"greengageferry/supervise"
	"greengageferry/topology"
)

const (
	// The interval between two syncs with the lease holder is syncIntervalPerInstance
	// times the number of instances, within minSyncInterval and maxSyncInterval. Demand,
	// loads and servers are reported with at most that delay, which is short enough to
	// serve streams in time, and the holder is sent no more syncs than it can answer.
	minSyncInterval = 200 * time.Millisecond
	maxSyncInterval = 500 * time.Millisecond
	// minSyncSpacing is the minimum time between two syncs while requests wait for a
	// model that no server holds. With many instances, syncIntervalPerInstance times
	// their number applies instead, so that the holder's link and processor bear it.
	minSyncSpacing          = 60 * time.Millisecond
	syncIntervalPerInstance = 6 * time.Millisecond
	// syncTimeout bounds one Sync call and one query of the store for the lease holder.
	syncTimeout = 400 * time.Millisecond
	// holderIdleTimeout is how long an instance that may not order is still considered
	// the lease holder. It is longer than a new holder waits before its first order.
	holderIdleTimeout = 2500 * time.Millisecond
	// onDemandLoadTimeout is how long requests for a model that no server holds wait
	// after a holder last reported that it may order. A new holder takes about five
	// seconds to take over; beyond that no load is in sight, and such requests are
	// refused.
	onDemandLoadTimeout = 6 * time.Second
)

// memberName returns the unique name of one start of an instance in the platform's group:
// the instance's name, its address for other instances, and its start time.
func memberName(n *topology.Node, started time.Time) string {
	return n.Name + "|" + n.PeerAddr + "|" + strconv.FormatInt(started.UnixNano(), 36)
}

// memberAddr returns the address in a member's name, empty if the name has none.
func memberAddr(member string) string {
	parts := strings.Split(member, "|")
	if len(parts) != 3 {
		return ""
	}
	return parts[1]
}

// syncer reports this instance's state to the lease holder, and applies the holder's
// summary of all instances.
type syncer struct {
	instance      *Instance
	client        *http.Client
	holderLocator holderLocator
	silent        silentHolder
	candidates    residency.Candidates // as last reported by the holder
}

func newSyncer(i *Instance) *syncer {
	n, now := i.opts.Node, time.Now()
	jitter := rand.N(baseQueryDelay) // so that equal instances don't query the store at the same time
	return &syncer{
		instance: i,
		client:   newHolderClient(),
		holderLocator: holderLocator{
			domain: n.Domain, queryFrom: now.Add(queryDelay(n.Cores) + jitter), competeFrom: now.Add(competeDelay(n.Cores) + jitter),
		},
	}
}

// run is the duty that syncs at intervals, and sooner when a request waits for a model
// that no server holds.
func (s *syncer) run(ctx context.Context) error {
	timer := time.NewTimer(maxSyncInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		case <-s.instance.relay.SyncNeeded():
		}
		if s.instance.ready() {
			s.instance.lease.SetBarred(s.instance.relay.CutOff())
			s.syncOnce(ctx)
			s.instance.mu.Lock()
			s.instance.updateExpected()
			s.instance.mu.Unlock()
		}
		timer.Reset(s.instance.syncInterval())
		supervise.Pause(ctx, min(max(minSyncSpacing, s.instance.scaledSyncInterval()), maxSyncInterval))
	}
}

// scaledSyncInterval is the interval at which the holder receives one sync per
// syncIntervalPerInstance.
func (i *Instance) scaledSyncInterval() time.Duration {
	return time.Duration(i.instanceCount()) * syncIntervalPerInstance
}

// syncInterval is the interval between two syncs while no request waits for a model that
// no server holds.
func (i *Instance) syncInterval() time.Duration {
	return min(max(i.scaledSyncInterval(), minSyncInterval), maxSyncInterval)
}

// syncOnce sends one report, and tries a second instance if the first doesn't answer or
// isn't the lease holder.
func (s *syncer) syncOnce(ctx context.Context) {
	i := s.instance
	report := i.report()
	report.Candidates = s.candidates.Digest()
	if i.lease.Holds() {
		report.Registration = i.lease.Register()
		summary, err := i.controller.HandleReport(time.Now(), report)
		if err == nil {
			i.allowances.syncOwn(time.Now())
			i.setPeers(summary.Candidates)
			i.setGateways(summary.Gateways)
			i.lease.ObserveHolder(summary.IsCandidate) // a holder that loses the lease stays a candidate
			i.update(time.Now(), summary)
			i.setPeerStatus(peerStatus{receivedAt: time.Now(), version: summary.Version})
		}
		return // on an error the lease was just lost, and the next sync finds the new holder
	}
	if t := i.lease.Token(); t.Holder != i.lease.Member() {
		s.holderLocator.onToken(time.Now(), t.Number, memberAddr(t.Holder))
	}
	for range 2 {
		if s.holderLocator.shouldQueryStore(time.Now(), i.lease.Competes(), i.instanceCount()) {
			s.queryStore(ctx)
		}
		addr := s.holderLocator.nextPeer(i.lease.Competes())
		if addr == "" || s.syncWith(ctx, addr, &report) {
			return
		}
	}
}

// report returns this instance's current report to the lease holder.
func (i *Instance) report() residency.InstanceReport {
	n := i.opts.Node
	return residency.InstanceReport{
		Instance: n.Name, Domain: n.Domain, Addr: n.PeerAddr, Cores: n.Cores,
		TargetDemand: i.relay.Demand(), Loads: i.relay.Loads(), StoreDown: i.storeIsDown(), Version: i.configVersion(),
		Leaving: i.leavingServers(),
		Speeds:  i.relay.TakeSpeedSamples(), Accounts: i.relay.AccountDemands(),
		Rates: i.relay.Rates(), HeldDigest: i.currentView().Held.Digest(), Competes: i.lease.Competes(),
		Registration: i.lease.Registration(),
	}
}

// syncWith sends a report to an instance. It returns true if that instance holds the
// lease, or doesn't know who does, so that there is nobody else to ask. If there is
// no answer, it removes the speed samples from the report, since the lease holder may have counted
// them.
func (s *syncer) syncWith(ctx context.Context, addr string, report *residency.InstanceReport) bool {
	i := s.instance
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	client := exchange.NewExchangeProtobufClient("http://"+addr, s.client)
	sent, sentAt := time.Now(), i.lease.Now()
	req := i.syncRequest(sent, *report)
	res, err := client.Sync(ctx, req)
	if err != nil {
		s.onPeerFailure(addr, err)
		report.Speeds = nil
		return false
	}
	now := time.Now()
	i.observeSyncResponse(sent, addr, req, res)
	var loads map[string]residency.Load
	if res.GetServers() != nil {
		loads = i.servers.applySteps(sent, req.GetServersDigest(), res.GetServers(), i.setServers)
	}
	if res.GetNotHolder() {
		s.holderLocator.onReferral(now, res.GetHolder())
		i.setPeerStatus(peerStatusFromWire(sent, res, ""))
		return s.holderLocator.holder == ""
	}
	if res.GetAllowances() != nil {
		i.allowances.meter.Apply(sent, grantsFromWire(res.GetAllowances()))
	}
	summary := summaryFromWire(res)
	if res.GetServers() != nil {
		summary.Loads = loads
	}
	i.lease.ObserveRegistration(summary.Registration, sentAt)
	s.silent.onAnswer()
	s.holderLocator.onHolderAnswer(now, addr, summary.Ordering || summary.Waiting, report.StoreDown)
	s.setCandidates(summary)
	i.lease.ObserveHolder(summary.IsCandidate)
	i.update(sent, summary)
	i.setPeerStatus(peerStatusFromWire(sent, res, addr))
	return true
}

// syncRequest returns the request that carries a report, with what else the instance tells the lease
// holder.
func (i *Instance) syncRequest(now time.Time, report residency.InstanceReport) *exchange.SyncRequest {
	req := newSyncRequest(report)
	req.ServersDigest, req.StoreEra, req.Token = i.servers.digest(), i.storeEra(), wireToken(i.lease.Token())
	req.SuspectsDigest, req.Suspects = i.suspects.forHolder()
	req.RefusalLimits, req.GatewaysDigest = wireRefusalLimits(i.relay.RefusalLimits()), i.relay.Gateways().Digest()
	if usage, ok := i.allowances.report(now); ok {
		req.Allowances = wireAllowances(usage)
	}
	return req
}

// observeSyncResponse applies what any instance tells, whether or not it holds the lease. It removes
// from the response what predates a restore of the store. sent is when the request was sent.
func (i *Instance) observeSyncResponse(sent time.Time, addr string, req *exchange.SyncRequest, res *exchange.SyncResponse) {
	if i.observeEra(res.GetStoreEra(), "instance") == eraStale {
		res.Servers, res.ConfigAgeMs = nil, nil
	}
	i.lease.ObserveToken(tokenFromWire(res.GetToken()))
	i.addLeavingServers(startsFromWire(res.GetLeaving()))
	i.suspects.onHolderAnswer(req.GetSuspectsDigest(), res.GetSuspectsDigest(), res.GetSuspects())
	i.relay.ObserveRefusalLimits(sent, refusalLimitsFromWire(res.GetRefusalLimits()))
	i.setGateways(gatewaysFromWire(res.GetGateways()))
	i.notePeers(addr)
	i.notePeers(res.GetPeers()[:min(len(res.GetPeers()), maxNamedPeers)]...)
}

// setCandidates applies the lease candidates of a lease holder's answer, if it names any.
func (s *syncer) setCandidates(summary residency.Summary) {
	if len(summary.Candidates) == 0 {
		return
	}
	s.candidates = summary.Candidates
	s.instance.log.WithFields(logrus.Fields{"candidates": len(s.candidates), "chosen": summary.IsCandidate}).Info("lease candidates told")
	s.holderLocator.update(s.candidates)
	s.instance.setPeers(s.candidates)
}

// onPeerFailure handles a Sync call that an instance refused or didn't answer.
func (s *syncer) onPeerFailure(addr string, err error) {
	var twirpErr twirp.Error
	refused := errors.As(err, &twirpErr) && twirpErr.Code() == twirp.FailedPrecondition
	namedByStore := s.holderLocator.namedByStore
	if addr == s.holderLocator.holder {
		s.silent.onFailure(time.Now(), addr, refused)
	}
	lost := s.holderLocator.onPeerFailure(addr, refused, s.instance.lease.Competes())
	if lost || addr == s.holderLocator.holder {
		s.instance.servers.invalidateHolderList()
	}
	if lost && namedByStore {
		s.competeAfterLoss(time.Now())
	}
	if lost {
		s.instance.log.WithFields(logrus.Fields{
			"holder": addr, "last_answer_ms": ageMs(s.holderLocator.holderAnsweredAt), "error": err,
		}).Warn("lease holder lost")
	}
}

// queryStore queries the store for the lease holder, unless the store is down. If there
// is none, this instance competes for the lease.
func (s *syncer) queryStore(ctx context.Context) {
	if s.instance.storeIsDown() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	began := time.Now()
	member, err := s.instance.lease.Owner(ctx)
	s.instance.metrics.observeStoreCall("owner", began, err)
	if err != nil {
		s.instance.log.WithField("error", err).Warn("lease holder not known")
		return
	}
	s.holderLocator.setStoreHolder(time.Now(), memberAddr(member))
	s.silent.onHolder(s.holderLocator.holder)
	if s.shouldCompete(time.Now()) {
		s.instance.lease.ObserveVacancy()
	}
	if s.holderLocator.holder == "" {
		return
	}
	s.instance.log.WithField("holder", s.holderLocator.holder).Info("lease holder found")
}

// update applies the lease holder's summary of all instances, received in response to a
// report that was sent at the given time.
func (i *Instance) update(sent time.Time, s residency.Summary) {
	if i.noteConfigBehind(s.Version) {
		i.restartConfigRead(minCancelableReadAge)
	}
	i.mu.Lock()
	if s.Ordering {
		i.orderingAt = time.Now()
	}
	i.applyCount(s)
	held := s.Held
	if s.HeldIncremental {
		held = i.view.Held.Change(s.HeldRemoved, s.Held)
	}
	if !held.Equal(i.view.Held) {
		i.view.Held = held
		i.signalViewChanged()
	}
	servers := i.view.Servers
	i.mu.Unlock()
	i.relay.ApplyRateShares(sent, s.Rates)
	i.relay.UpdateShared(s, i.syncInterval()/2)
	if s.Loads == nil {
		return // the loads refer to another list of servers; the next sync brings matching ones
	}
	age := i.syncInterval() / 2 // average age of the other instances' reports
	for n := range servers {
		i.relay.UpdateRemoteLoad(servers[n].ID, s.Loads[servers[n].ID], age)
	}
}

// applyCount applies a lease holder's count of the instances, if it has counted all: a count
// that has only begun would give this instance several times its share. The caller must hold
// mu.
func (i *Instance) applyCount(s residency.Summary) {
	if len(s.Instances) == 0 {
		return
	}
	v := &i.view
	same := v.InstancesKnown && maps.Equal(v.InstancesByDomain, s.Instances)
	if same && v.Position == s.Rates.Position {
		return
	}
	v.InstancesByDomain, v.InstancesKnown, v.Position = s.Instances, true, s.Rates.Position
	if !same {
		i.log.WithFields(logrus.Fields{"instances": s.Instances, "position": v.Position}).Info("instances counted")
	}
	i.signalViewChanged()
}

// noteConfigBehind reports whether another instance has a newer configuration in force
// than this one, and logs each time that the two versions change.
func (i *Instance) noteConfigBehind(newest int64) bool {
	version, readMs := i.configVersion(), i.configReadAge()
	if version == 0 || newest <= version {
		return false
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	behind := configGap{version, newest}
	if behind != i.loggedGap {
		i.log.WithFields(logrus.Fields{"version": version, "newest": newest, "read_ms": readMs, "together": i.gapReports}).Warn("configuration behind other instances")
		i.loggedGap, i.gapReports = behind, 0
	}
	i.gapReports++
	return true
}

// configGap is the version of the configuration in force and a newer one that another
// instance has.
type configGap struct{ version, newest int64 }

// updateExpected recomputes whether requests should wait for a model that no server
// holds. The caller must hold mu.
func (i *Instance) updateExpected() {
	expected := i.orderingAt.IsZero() || time.Since(i.orderingAt) < onDemandLoadTimeout
	if expected != i.view.LoadOnDemand {
		i.view.LoadOnDemand = expected
		i.log.WithField("expected", expected).Info("models that no server holds are loaded on demand")
		i.signalViewChanged()
	}
}
