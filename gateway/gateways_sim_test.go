package gateway_test

import (
	"fmt"
	"strconv"
	"time"

	"greengageferry/decide"
	"greengageferry/gateway"
	"greengageferry/infra"
)

const (
	simMaxWait      = 150 * time.Millisecond // at a gateway
	simSyncInterval = 500 * time.Millisecond // between two syncs of an instance with the lease holder
	simService      = "p"
)

// addGateways gives the instances what they know of gateways.
func (f *fleetSim) addGateways() {
	var all []gateway.Member
	for n := range f.instances {
		all = append(all, gateway.Member{Domain: simDomain(n), Addr: fmt.Sprint("i", n)})
	}
	members := gateway.ChooseMembers(all)
	for n := range f.instances {
		g := &simInstance{addr: all[n].Addr, members: members, waiting: map[uint64]func(){}}
		if float64(n) < f.knownBy*float64(f.instances) {
			g.limits.Observe(f.now, simService, simRefusalLimit, f.now)
		}
		f.gateways = append(f.gateways, g)
		f.after(time.Duration(f.rng.Float64()*float64(simSyncInterval)), func() { f.sync(n) })
	}
	if f.leaveEvery > 0 {
		f.after(f.leaveEvery, func() { f.replaceMember(all) })
	}
}

// replaceMember has a random instance leave the members. Each instance learns of it at another
// time within simSyncInterval, and that instance is back with the next change.
func (f *fleetSim) replaceMember(all []gateway.Member) {
	left := f.rng.IntN(len(all))
	members := gateway.ChooseMembers(append(append([]gateway.Member(nil), all[:left]...), all[left+1:]...))
	for _, g := range f.gateways {
		f.after(time.Duration(f.rng.Float64()*float64(simSyncInterval)), func() { g.members = members })
	}
	f.after(f.leaveEvery, func() { f.replaceMember(all) })
}

// shown records that an answer to the instance showed the refusal limit.
func (f *fleetSim) shown(n int) {
	f.gateways[n].limits.Observe(f.now, simService, simRefusalLimit, f.now)
}

// sync has the instance tell the lease holder the refusal limits that it knows, and learn those
// that the holder knows.
func (f *fleetSim) sync(n int) {
	own := &f.gateways[n].limits
	for _, l := range own.List(f.now) {
		f.holder.Observe(f.now, l.Service, l.PerSecond, f.now.Add(-l.Age))
	}
	for _, l := range f.holder.List(f.now) {
		own.Observe(f.now, l.Service, l.PerSecond, f.now.Add(-l.Age))
	}
	f.after(simSyncInterval, func() { f.sync(n) })
}

// send sends a request from an instance to a server.
func (f *fleetSim) send(n int, s *simServer, r *simRequest) {
	if f.direct {
		f.after(simNetworkDelay, func() { f.deliver(s, r, func(gateway.Ending) {}) })
		return
	}
	limit, known := f.gateways[n].limits.Of(f.now, simService)
	if !known {
		limit = gateway.AssumedLimit
	}
	route := f.gateways[n].members.RouteTo(gateway.Server{ID: s.id, Domain: s.domain, Slots: f.slots, RefusalLimit: limit})
	order := route.Order(f.rng.IntN(len(route.Shares)))
	f.ask(s, r, known, order[:min(gateway.GatewayTries, len(route.Shares))])
}

// ask asks gateways one after the other to send the request. known says whether the instance that
// asks knows the refusal limit.
func (f *fleetSim) ask(s *simServer, r *simRequest, known bool, addrs []string) {
	if len(addrs) == 0 {
		f.fail(s, r, decide.Failure{Reason: infra.ReasonOverloaded, Effect: infra.EffectNone, Unsent: true})
		return
	}
	f.after(simNetworkDelay, func() { f.admit(s, r, known, addrs) })
}

// admit has the first of the gateways admit the request or not.
func (f *fleetSim) admit(s *simServer, r *simRequest, known bool, addrs []string) {
	n, _ := strconv.Atoi(addrs[0][1:])
	g := f.gateways[n]
	if known {
		g.limits.Observe(f.now, simService, simRefusalLimit, f.now)
	}
	limit, shown := g.limits.Of(f.now, simService)
	if !shown {
		limit = gateway.AssumedLimit
	}
	asked := limit
	if !known {
		asked = gateway.AssumedLimit
	}
	share := g.members.ShareFor(g.addr, gateway.Server{ID: s.id, Domain: s.domain, Slots: f.slots, RefusalLimit: limit}, asked)
	start := s.id + " " + strconv.Itoa(s.start)
	f.seq++
	id := uint64(f.seq)
	send := func() {
		f.after(simNetworkDelay, func() {
			f.deliver(s, r, func(how gateway.Ending) { f.release(g, start, how) })
		})
	}
	verdict, admitted := g.limiter.Request(f.now, start, share, id, len(addrs) == 1)
	g.sendWaiting(admitted)
	switch verdict {
	case gateway.Admitted:
		send()
	case gateway.Waiting:
		g.waiting[id] = send
		f.after(simMaxWait, func() {
			if g.limiter.Withdraw(f.now, start, id) {
				delete(g.waiting, id)
				f.ask(s, r, known, nil)
			}
		})
	default:
		f.ask(s, r, known, addrs[1:])
	}
}

func (f *fleetSim) release(g *simInstance, start string, how gateway.Ending) {
	g.sendWaiting(g.limiter.Release(f.now, start, how))
}

// sendWaiting sends attempts that waited and are admitted now.
func (g *simInstance) sendWaiting(admitted []uint64) {
	for _, id := range admitted {
		g.waiting[id]()
		delete(g.waiting, id)
	}
}
