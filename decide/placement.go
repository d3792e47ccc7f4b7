package decide

import (
	"slices"
	"time"

	"greengageferry/config"
	"greengageferry/platform"
)

// PlanServer is a backend server of the planner's failure domain.
type PlanServer struct {
	ID        string
	Pool      string
	MemoryMiB int64
	Slots     int
	Leaving   bool
	Reachable bool
	Assigned  []platform.Item // what the log says it may hold
	Lingering []platform.Item // memory not yet free
	Ready     []platform.Item
	Since     map[platform.Key]time.Time // when each assigned item was assigned, as far as the planner saw
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
	Servers   []PlanServer                    // of this failure domain
	Demand    map[string]Demand               // by model or adapter name
	Elsewhere map[string]int                  // replicas of each model or adapter in other failure domains
	Domains   []string                        // all failure domains that have servers, sorted
	Stores    map[string]platform.StoreLimits // by partner
	StoreDown bool
}

// Move is one change of a server's assignment: drop some items, add some.
type Move struct {
	Server string
	Add    []platform.Item
	Drop   []platform.Item
	Reason string  // for the log line
	Gain   float64 // expected gain in the objective
}

// homePatience is how long a domain waits for each domain that ranks before it
// to place a model that is nowhere: several plans of the home, and far less
// than the minutes that a lost domain lasts.
const homePatience = 10 * time.Second

// Planner decides what each backend server of a failure domain is assigned. It
// keeps what hysteresis needs between plans; it has one owner.
type Planner struct {
	missing map[string]time.Time // since when a model or adapter has had no replica anywhere
}

// NewPlanner returns a planner without history.
func NewPlanner() *Planner { return &Planner{missing: map[string]time.Time{}} }

// Plan returns the moves to make now, best first, within the store's limits. A
// move fits its server's memory at once, lingering items included: what has to
// wait for memory comes in a later plan.
func (p *Planner) Plan(in PlanInput) []Move {
	if in.Config == nil || in.StoreDown {
		return nil
	}
	free := map[string]int64{}
	for _, s := range in.Servers {
		free[s.ID] = s.MemoryMiB - held(s)
	}
	var moves []Move
	for _, name := range sortedNames(in.Config.Models) {
		moves = append(moves, p.placeModel(in, name, free)...)
	}
	return moves
}

func (p *Planner) placeModel(in PlanInput, name string, free map[string]int64) []Move {
	m := in.Config.Models[name]
	rank := slices.Index(homes(in.Config, name, in.Domains), in.Domain)
	if rank < 0 {
		return nil
	}
	item := platform.Item{Model: name, Version: m.Version, MiB: m.MiB}
	here := 0
	for _, s := range in.Servers {
		if !s.Leaving && slices.ContainsFunc(s.Assigned, func(i platform.Item) bool { return i.Model == name && i.Adapter == "" }) {
			here++
		}
	}
	if here > 0 || rank > min(in.Elsewhere[name], 1) && !p.waited(in, name, rank) {
		return nil
	}
	bundle := []platform.Item{item}
	size := m.MiB
	for _, a := range sortedNames(in.Config.Adapters) {
		if ad := in.Config.Adapters[a]; ad.Model == name {
			bundle = append(bundle, platform.Item{Model: name, Adapter: a, Version: ad.Version, MiB: ad.MiB})
			size += ad.MiB
		}
	}
	best := -1
	for i, s := range in.Servers {
		if s.Leaving || !s.Reachable || !slices.Contains(m.Pools, s.Pool) || free[s.ID] < size {
			continue
		}
		if best < 0 || free[s.ID] > free[in.Servers[best].ID] {
			best = i
		}
	}
	if best < 0 {
		return nil
	}
	free[in.Servers[best].ID] -= size
	return []Move{{Server: in.Servers[best].ID, Add: bundle, Reason: "first_replica", Gain: 1}}
}

// waited says whether the domain has waited long enough for those that rank
// before it to place a model that is nowhere.
func (p *Planner) waited(in PlanInput, name string, rank int) bool {
	if in.Elsewhere[name] > 0 {
		delete(p.missing, name)
		return false
	}
	if _, ok := p.missing[name]; !ok {
		p.missing[name] = in.Now
	}
	return in.Now.Sub(p.missing[name]) >= time.Duration(rank)*homePatience
}

// held returns the memory, in MiB, that is or may be taken on a server.
func held(s PlanServer) int64 {
	var mib int64
	for _, i := range s.Assigned {
		mib += i.MiB
	}
	for _, l := range s.Lingering {
		if !slices.ContainsFunc(s.Assigned, func(i platform.Item) bool { return i.Key() == l.Key() }) {
			mib += l.MiB
		}
	}
	return mib
}

func sortedNames[V any](m map[string]V) []string {
	names := make([]string, 0, len(m))
	for n := range m {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}
