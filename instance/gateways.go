package instance

import (
	"time"

	"greengageferry/exchange"
	"greengageferry/gateway"
)

// setGateways takes over the instances that may be gateways, unless there are none.
func (i *Instance) setGateways(m gateway.Members) {
	if len(m) > 0 {
		i.relay.SetGateways(m)
	}
}

// gatewaysFor returns the instances that may be gateways for an instance that knows those of the
// digest: nothing unless it knows none, since it may know newer ones.
func (i *Instance) gatewaysFor(digest uint64) []*exchange.Candidate {
	if digest != 0 {
		return nil
	}
	return wireGateways(i.relay.Gateways())
}

func wireGateways(m gateway.Members) []*exchange.Candidate {
	var out []*exchange.Candidate
	for _, x := range m {
		out = append(out, &exchange.Candidate{FailureDomain: x.Domain, Addr: x.Addr})
	}
	return out
}

func gatewaysFromWire(list []*exchange.Candidate) gateway.Members {
	var out gateway.Members
	for _, x := range list {
		out = append(out, gateway.Member{Domain: x.GetFailureDomain(), Addr: x.GetAddr()})
	}
	return out
}

func wireRefusalLimits(limits []gateway.Limit) []*exchange.RefusalLimit {
	var out []*exchange.RefusalLimit
	for _, l := range limits {
		out = append(out, &exchange.RefusalLimit{Service: l.Service, PerSecond: uint32(l.PerSecond), AgeMs: uint32(l.Age.Milliseconds())})
	}
	return out
}

func refusalLimitsFromWire(limits []*exchange.RefusalLimit) []gateway.Limit {
	var out []gateway.Limit
	for _, l := range limits {
		out = append(out, gateway.Limit{Service: l.GetService(), PerSecond: int(l.GetPerSecond()), Age: time.Duration(l.GetAgeMs()) * time.Millisecond})
	}
	return out
}
