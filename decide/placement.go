package decide

import (
	"time"

	"greengageferry/config"
	"greengageferry/infra"
)

// PlanServer is a backend server of the planner's failure domain.
type PlanServer struct {
	ID        string
	Pool      string
	MemoryMiB int64
	Slots     int
	Leaving   bool
	Reachable bool
	Assigned  []infra.Item // what the log says it may hold
	Lingering []infra.Item // memory not yet free
	Ready     []infra.Item
	Since     map[infra.Key]time.Time // when each assigned item was assigned, as far as the planner saw
	Load      infra.Load              // its last report; Slots of 0: none
}

// Demand is what callers lately asked of a model or adapter in this failure domain.
type Demand struct {
	RequestsPerSecond float64
	TokensPerSecond   float64
	RefusedPerSecond  float64 // refused for want of capacity
}

// PlanInput is everything that placement decides on.
type PlanInput struct {
	Now       time.Time
	Domain    string
	Config    *config.Config
	Servers   []PlanServer                 // of this failure domain
	Demand    map[string]Demand            // by model or adapter name
	Elsewhere map[string]int               // replicas of each model or adapter in other failure domains
	Domains   []string                     // all failure domains that have servers, sorted
	Stores    map[string]infra.StoreLimits // by partner
	StoreDown bool
}

// Move is one change of a server's assignment: drop some items, add some.
type Move struct {
	Server string
	Add    []infra.Item
	Drop   []infra.Item
	Reason string  // for the log line
	Gain   float64 // expected gain in the objective
}

// Planner decides what each backend server of a failure domain is assigned. It
// keeps what hysteresis needs between plans; it has one owner.
//
// The objective is requests within their deadline, less loads. It is
// approximated greedily, each step after the ones before it: what isn't
// declared goes; each model and adapter gets a replica; new versions replace
// old ones; each gets a second replica in another failure domain where room
// allows; and replicas are added where callers lose more requests than a load
// is worth. A replica that isn't needed stays until its memory is.
type Planner struct {
	last        time.Time
	homes       homeDomainCache
	missing     map[string]time.Time // since when a name has had no replica anywhere
	unreachable map[string]time.Time // since when a server hasn't been reached
	pressure    map[string]float64   // by server: requests there for each slot, smoothed
	regret      map[string]float64   // by name: worth of the requests lately lost for want of a replica
	reserved    []reservation
	copied      map[string]string // by name: the server whose replica's new version was placed on another
	budget      loadBudget
}

// NewPlanner returns a planner without history.
func NewPlanner() *Planner {
	return &Planner{
		missing:     map[string]time.Time{},
		unreachable: map[string]time.Time{},
		pressure:    map[string]float64{},
		regret:      map[string]float64{},
		copied:      map[string]string{},
		budget:      loadBudget{tokens: map[string]float64{}},
	}
}

// Plan returns the moves to make now, best first, within the store's limits. A
// move fits its server's memory at once, lingering items included: what has to
// wait for memory comes in a later plan.
func (p *Planner) Plan(in PlanInput) []Move {
	if in.Config == nil {
		return nil
	}
	w := p.view(in)
	p.observe(w)
	if in.StoreDown {
		return nil
	}
	w.dropUndeclared()
	w.useReservations()
	complete := w.placeFirst()
	w.changeVersions()
	if complete {
		w.placeSecond()
		w.shift()
	}
	return w.result()
}
