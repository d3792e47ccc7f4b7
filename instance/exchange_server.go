package instance

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/twitchtv/twirp"

	"greengageferry/exchange"
	"greengageferry/residency"
)

// exchangeServer answers other instances' Sync calls. It implements exchange.Exchange.
type exchangeServer struct{ instance *Instance }

// Sync implements exchange.Exchange.
func (e exchangeServer) Sync(_ context.Context, req *exchange.SyncRequest) (*exchange.SyncResponse, error) {
	report := reportFromWire(req)
	e.instance.notePeers(req.GetAddr())
	e.instance.observeEra(req.GetStoreEra(), "instance")
	e.instance.lease.ObserveToken(tokenFromWire(req.GetToken()))
	e.instance.addLeavingServers(report.Leaving)
	e.instance.relay.ObserveRefusalLimits(time.Now(), refusalLimitsFromWire(req.GetRefusalLimits()))
	summary, err := e.instance.controller.HandleReport(time.Now(), report)
	var notHolder *residency.NotHolderError
	if errors.As(err, &notHolder) && e.instance.lease.Competes() {
		return e.instance.candidateResponse(time.Now(), req), nil
	}
	if errors.As(err, &notHolder) {
		return nil, twirp.NewError(twirp.FailedPrecondition, notHolder.Error())
	}
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	return e.instance.holderResponse(req, report.Candidates, summary), nil
}

// holderResponse returns the lease holder's response to a report. candidates is the digest of the
// candidates known to the instance that reported.
func (i *Instance) holderResponse(req *exchange.SyncRequest, candidates uint64, summary residency.Summary) *exchange.SyncResponse {
	version, age := i.confirmedConfig()
	res := &exchange.SyncResponse{
		Ordering: summary.Ordering, Waiting: summary.Waiting, Registration: wireRegistration(summary.Registration), Chosen: summary.IsCandidate, StoreDown: i.storeIsDown(),
		ConfigVersion: max(summary.Version, version), ConfigAgeMs: age,
	}
	named := 1
	if summary.Candidates.Digest() != candidates {
		res.Candidates = wireCandidates(summary.Candidates)
		named = maxNamedPeers // the instance may have just started
	}
	res.Peers = i.somePeers(named)
	for domain, n := range summary.Instances {
		res.Instances = append(res.Instances, &exchange.DomainInstances{FailureDomain: domain, Count: uint32(n)})
	}
	res.Servers = i.servers.stepsSince(time.Now(), req.GetServersDigest(), summary.Loads)
	if res.Servers == nil {
		res.Loads = wireLoads(summary.Loads)
	}
	res.Rates, res.Place = convertAll(summary.Rates.Shares, wireRateShare), uint32(summary.Rates.Position)
	res.Backlogs, res.Speeds = convertAll(summary.Backlogs, wireBacklog), convertAll(summary.Speeds, wireSpeed)
	res.Accounts = convertAll(summary.Accounts, wireAccountDemand)
	res.Leaving, res.StoreEra = wireStarts(i.leavingServers()), i.storeEra()
	res.Token = wireToken(i.lease.Token())
	res.RefusalLimits = wireRefusalLimits(i.relay.RefusalLimits())
	if summary.Gateways.Digest() != req.GetGatewaysDigest() {
		res.Gateways = wireGateways(summary.Gateways)
	}
	res.SuspectsDigest, res.Suspects = i.suspects.exchange(req.GetSuspectsDigest(), req.GetSuspects())
	if req.GetAllowances() != nil {
		if grants, ok := i.allowances.grant(time.Now(), allowancesFromWire(req.GetInstance(), req.GetAllowances())); ok {
			res.Allowances = wireGrants(grants)
		}
	}
	res.Held, res.HeldLost, res.HeldSince = wireHeld(summary.Held), wireHeld(summary.HeldRemoved), summary.HeldIncremental
	return res
}

// candidateResponse is the response of a candidate that doesn't hold the lease.
// Candidates read the store for the instances of their failure domain while there is no
// holder.
func (i *Instance) candidateResponse(now time.Time, req *exchange.SyncRequest) *exchange.SyncResponse {
	i.mu.Lock()
	holder := ""
	if now.Sub(i.peerStatus.receivedAt) <= minHolderQueryInterval {
		holder = i.peerStatus.holder
	}
	i.mu.Unlock()
	version, age := i.confirmedConfig()
	digest, suspects := i.suspects.exchange(req.GetSuspectsDigest(), req.GetSuspects())
	return &exchange.SyncResponse{
		SuspectsDigest: digest, Suspects: suspects,
		NotHolder: true, Holder: holder, ConfigVersion: version, StoreDown: i.storeIsDown(), ConfigAgeMs: age,
		Servers: i.servers.stepsSince(now, req.GetServersDigest(), nil),
		Leaving: wireStarts(i.leavingServers()), StoreEra: i.storeEra(), Token: wireToken(i.lease.Token()),
		Peers: i.somePeers(1), RefusalLimits: wireRefusalLimits(i.relay.RefusalLimits()), Gateways: i.gatewaysFor(req.GetGatewaysDigest()),
	}
}

// servePeers is the duty that serves other instances.
func (i *Instance) servePeers(ctx context.Context) error {
	l, err := net.Listen("tcp4", i.opts.Node.PeerAddr)
	if err != nil {
		return errors.Wrap(err, "listening for instances")
	}
	return i.frontend.serveOn(ctx, l, i.forwards)
}
