package instance

import (
	"context"
	"maps"
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
	// told that late at most. 0.2 s in place of 0.5 among nine instances raised the
	// part of streams that are served in time (mean worth of 12 played days 0.624
	// to 0.654); the holder of 86 has as many words to answer as it can.
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
	// ownerEvery is the least time between two questions to the store who holds
	// the lease.
	ownerEvery = time.Second
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
	holder     string    // the holder's address; empty: not known
	askedAt    time.Time // when the store was last asked who it is
	ordered    time.Time // when a holder last said that it may order
	answeredAt time.Time // when the holder last answered
	silent     int       // words in a row that the holder didn't answer
}

func newSyncer(i *Instance) *syncer {
	return &syncer{instance: i, client: &http.Client{Transport: netconn.Transport(peerIdle, time.Minute)}}
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

func (s *syncer) once(ctx context.Context) {
	i := s.instance
	word := residency.Word{
		Instance: i.opts.Node.Name, Domain: i.opts.Node.Domain,
		Asked: i.relay.Demand(), Loads: i.relay.Loads(), StoreDown: i.storeIsDown(), Version: i.configVersion(),
		HeldDigest: i.currentView().Held.Digest(),
	}
	if i.lease.Holds() {
		summary, err := i.controller.Said(time.Now(), word)
		if err == nil {
			i.learn(summary)
		}
		return // the lease has just gone: the next word finds the new holder
	}
	if s.holder == "" && !s.findHolder(ctx) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	client := exchange.NewExchangeProtobufClient("http://"+s.holder, s.client)
	sent := time.Now()
	req := syncRequest(word)
	req.ServersDigest = i.servers.digest()
	res, err := client.Sync(ctx, req)
	if err != nil {
		s.failed(err)
		return
	}
	s.silent, s.answeredAt = 0, time.Now()
	summary := summaryOf(res)
	if res.GetServers() != nil {
		summary.Loads = i.servers.follow(sent, res.GetServers(), i.setServers)
	}
	i.learn(summary)
	if summary.Ordering {
		s.ordered = time.Now()
	} else if !word.StoreDown && time.Since(s.ordered) > idleHolder {
		s.holder = "" // it may have been cut off, and another have won the lease
	}
}

// failed notes that the holder didn't answer a word. It is asked once more before
// the store is asked for another: where many instances press upon a holder that
// is busy for a moment, all their questions to the store gain nothing.
func (s *syncer) failed(err error) {
	s.instance.servers.unfed()
	s.silent++
	var refused twirp.Error
	if s.silent < mostSilent && !(errors.As(err, &refused) && refused.Code() == twirp.FailedPrecondition) {
		return
	}
	s.instance.log.WithFields(logrus.Fields{
		"holder": s.holder, "last_answer_ms": ageMs(s.answeredAt), "error": err,
	}).Warn("lease holder lost")
	s.holder, s.silent = "", 0
}

// mostSilent is how many words in a row a holder may leave unanswered until
// another is looked for.
const mostSilent = 2

// findHolder asks the store who holds the lease, while it answers.
func (s *syncer) findHolder(ctx context.Context) bool {
	now := time.Now()
	if now.Sub(s.askedAt) < ownerEvery || s.instance.storeIsDown() {
		return false
	}
	s.askedAt = now
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	member, err := s.instance.lease.Owner(ctx)
	if err != nil {
		s.instance.log.WithField("error", err).Warn("lease holder not known")
		return false
	}
	s.holder = memberAddr(member)
	if s.holder != "" {
		s.instance.log.WithField("holder", s.holder).Info("lease holder found")
	}
	return s.holder != ""
}

func syncRequest(w residency.Word) *exchange.SyncRequest {
	req := &exchange.SyncRequest{Instance: w.Instance, FailureDomain: w.Domain, StoreDown: w.StoreDown, ConfigVersion: w.Version, HeldDigest: w.HeldDigest}
	for target, a := range w.Asked {
		req.Demand = append(req.Demand, &exchange.Demand{
			Target: target, Requests: uint32(a.Requests), Waiting: uint32(a.Waiting), InFlight: uint32(a.InFlight),
			WorkMs: uint32(a.Work.Milliseconds()),
		})
	}
	req.Loads = wireLoads(w.Loads)
	return req
}

func summaryOf(res *exchange.SyncResponse) residency.Summary {
	s := residency.Summary{Instances: map[string]int{}, Ordering: res.GetOrdering(), Version: res.GetConfigVersion()}
	for _, d := range res.GetInstances() {
		s.Instances[d.GetFailureDomain()] = int(d.GetCount())
	}
	s.Loads = loadsOfWire(res.GetLoads())
	s.Held, s.Lost, s.Since = heldOfWire(res.GetHeld()), heldOfWire(res.GetHeldLost()), res.GetHeldSince()
	return s
}

func loadsOfWire(loads []*exchange.ServerLoad) map[string]residency.Load {
	out := make(map[string]residency.Load, len(loads))
	for _, l := range loads {
		out[l.GetServer()] = residency.Load{InFlight: int(l.GetInFlight()), Unread: int(l.GetUnreadTokens())}
	}
	return out
}

func wireLoads(loads map[string]residency.Load) []*exchange.ServerLoad {
	var out []*exchange.ServerLoad
	for server, l := range loads {
		out = append(out, &exchange.ServerLoad{Server: server, InFlight: uint32(l.InFlight), UnreadTokens: uint32(l.Unread)})
	}
	return out
}

func heldOfWire(held []*exchange.Held) topology.HeldList {
	var out []topology.Held
	for _, h := range held {
		out = append(out, topology.Held{Server: h.GetServer(), Model: h.GetModel(), Adapter: h.GetAdapter(), Dropped: h.GetDropped()})
	}
	return topology.NewHeldList(out)
}

func wireHeld(held topology.HeldList) []*exchange.Held {
	var out []*exchange.Held
	for _, h := range held {
		out = append(out, &exchange.Held{Server: h.Server, Model: h.Model, Adapter: h.Adapter, Dropped: h.Dropped})
	}
	return out
}

// exchangeServer answers other instances' words. It implements exchange.Exchange.
type exchangeServer struct{ instance *Instance }

// Sync implements exchange.Exchange.
func (e exchangeServer) Sync(_ context.Context, req *exchange.SyncRequest) (*exchange.SyncResponse, error) {
	w := residency.Word{
		Instance: req.GetInstance(), Domain: req.GetFailureDomain(), StoreDown: req.GetStoreDown(), Version: req.GetConfigVersion(),
		HeldDigest: req.GetHeldDigest(),
		Asked:      make(map[string]residency.Asked, len(req.GetDemand())),
		Loads:      loadsOfWire(req.GetLoads()),
	}
	for _, d := range req.GetDemand() {
		w.Asked[d.GetTarget()] = residency.Asked{
			Requests: int(d.GetRequests()), Waiting: int(d.GetWaiting()), InFlight: int(d.GetInFlight()),
			Work: time.Duration(d.GetWorkMs()) * time.Millisecond,
		}
	}
	summary, err := e.instance.controller.Said(time.Now(), w)
	var notHolder *residency.NotHolderError
	if errors.As(err, &notHolder) {
		return nil, twirp.NewError(twirp.FailedPrecondition, notHolder.Error())
	}
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	res := &exchange.SyncResponse{Ordering: summary.Ordering, ConfigVersion: summary.Version}
	for domain, n := range summary.Instances {
		res.Instances = append(res.Instances, &exchange.DomainInstances{FailureDomain: domain, Count: uint32(n)})
	}
	res.Servers = e.instance.servers.steps(time.Now(), req.GetServersDigest(), summary.Loads)
	if res.Servers == nil {
		res.Loads = wireLoads(summary.Loads)
	}
	res.Held, res.HeldLost, res.HeldSince = wireHeld(summary.Held), wireHeld(summary.Lost), summary.Since
	return res, nil
}

// servePeers is the duty that answers other instances.
func (i *Instance) servePeers(ctx context.Context) error {
	l, err := net.Listen("tcp4", i.opts.Node.PeerAddr)
	if err != nil {
		return errors.Wrap(err, "listening for instances")
	}
	return i.front.serveOn(ctx, l, exchange.NewExchangeServer(exchangeServer{i}))
}

// learn takes in what the lease holder knows of all instances.
func (i *Instance) learn(s residency.Summary) {
	if version := i.configVersion(); version != 0 && s.Version > version {
		i.log.WithFields(logrus.Fields{"version": version, "newest": s.Version, "read_ms": i.configReadAge()}).Warn("configuration behind other instances")
		i.restartConfigRead(behindAge)
	}
	i.mu.Lock()
	if s.Ordering {
		i.orderedAt = time.Now()
	}
	if len(s.Instances) > 0 && !maps.Equal(i.view.Nodes, s.Instances) {
		i.view.Nodes = s.Instances
		i.log.WithField("instances", s.Instances).Info("instances counted")
		i.rebuild()
	}
	held := s.Held
	if s.Since {
		held = i.view.Held.Change(s.Lost, s.Held)
	}
	if !held.Equal(i.view.Held) {
		i.view.Held = held
		i.rebuild()
	}
	servers := i.view.Servers
	i.mu.Unlock()
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
