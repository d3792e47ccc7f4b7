package decide

import (
	"time"

	"greengageferry/config"
	"greengageferry/infra"
)

// PlanServer is a backend server in the planner's failure domain.
type PlanServer struct {
	ID         string
	Pool       string
	MemoryMiB  int64
	Slots      int
	Leaving    bool
	Reachable  bool
	Assigned   []infra.Item // items that the log assigns to the server
	Lingering  []infra.Item // dropped items whose memory isn't confirmed free
	Ready      []infra.Item
	AssignedAt map[infra.Key]time.Time // by item: when it was assigned, as far as the planner observed
	Load       infra.Load              // last load report; Slots is 0 if there is none
}

// Demand is the recent request load for a model or adapter in this failure domain.
type Demand struct {
	RequestsPerSecond float64
	TokensPerSecond   float64
	RefusedPerSecond  float64 // refused for lack of capacity
}

// PlanInput is the complete input of one plan.
type PlanInput struct {
	Now                 time.Time
	Domain              string
	Config              *config.Config
	Servers             []PlanServer                 // of this failure domain
	Demand              map[string]Demand            // by model or adapter name
	OtherDomainReplicas map[string]int               // replicas of each model or adapter in other failure domains
	Domains             []string                     // all failure domains with servers, sorted
	Stores              map[string]infra.StoreLimits // weight store limits by partner
	StoreDown           bool
}

// Move is one change of a server's assignment.
type Move struct {
	Server string
	Add    []infra.Item
	Drop   []infra.Item
	Reason string  // for the log line
	Gain   float64 // expected gain in the objective
}

// Planner decides which models and adapters each backend server of a failure domain
// is assigned. It keeps state between plans for hysteresis and isn't safe for
// concurrent use.
//
// The objective is the number of requests that meet their deadline, less the cost of
// loads. A plan approximates it greedily in this order:
//   - drop items that are no longer declared;
//   - place a first replica of each model and adapter;
//   - replace old versions by new ones;
//   - place second replicas in another failure domain where memory is free;
//   - add replicas where the lost requests outweigh the cost of a load.
//
// An unneeded replica stays until its memory is needed.
type Planner struct {
	lastPlan         time.Time
	homes            homeDomainCache
	missingSince     map[string]time.Time // by name: since when it has had no replica anywhere
	unreachableSince map[string]time.Time // by server: since when it has been unreachable
	utilization      map[string]float64   // by server: requests per slot, smoothed
	lostDemand       map[string]float64   // by name: weighted number of requests recently lost for lack of a replica
	reservations     []reservation
	updateSource     map[string]string // by name: server whose replica is updated by a load on another server
	budget           loadBudget
}

// NewPlanner returns a planner without history.
func NewPlanner() *Planner {
	return &Planner{
		missingSince:     map[string]time.Time{},
		unreachableSince: map[string]time.Time{},
		utilization:      map[string]float64{},
		lostDemand:       map[string]float64{},
		updateSource:     map[string]string{},
		budget:           loadBudget{tokens: map[string]float64{}},
	}
}

// Plan returns the moves to make now, best first, within the weight store's limits.
// Each move fits into its server's memory at once, lingering items included. Loads
// that have to wait for memory come in a later plan.
func (p *Planner) Plan(in PlanInput) []Move {
	if in.Config == nil {
		return nil
	}
	w := p.newPlanState(in)
	p.recordLostDemand(w)
	if in.StoreDown {
		return nil
	}
	w.dropUndeclared()
	w.fulfillReservations()
	complete := w.placeFirstReplicas()
	w.updateVersions()
	if complete {
		w.placeSecondReplicas()
		w.rebalance()
	}
	return w.sortedMoves()
}
