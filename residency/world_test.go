package residency

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/stretchr/testify/require"

	"greengageferry/topology"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// simulation is a set of simulated servers that behave as the platform's: they hold
// what they are ordered to hold and count their orders; some orders are lost or
// executed late.
type simulation struct {
	t             require.TestingT
	now           time.Time
	service       topology.Service
	servers       []*simServer
	planner       *Planner
	tracker       *DemandTracker
	storeLoads    []time.Time // start times of loads from the weight store
	loseOrder     func() bool // reports whether an order gets no answer and is executed late
	delayedOrders []delayedOrder
	demand        map[string]TargetDemand
	storeDown     bool               // no entry reaches the store
	fractions     map[string]float64 // of requests not reported yet, by target
	work          map[string]float64 // server time of a request in seconds, by target
	parallelLoads int                // concurrent loads from the weight store above which each takes longer; 0: no limit
	exactRequests bool               // demand holds the exact requests of a step; none are derived from concurrency
}

type simServer struct {
	id          string
	born        time.Time
	version     string // of its software
	sequence    int64
	models      map[string]map[string]bool // adapters by model
	loading     string
	unloading   string
	readyAt     time.Time
	onDisk      map[string]bool
	leaving     bool
	published   topology.Server // entry in the store, which lags
	publishedAt time.Time
}

type delayedOrder struct {
	order Order
	at    time.Time
}

const (
	modelMB  = 72_700
	loadTime = 1200 * time.Millisecond
)

func newSimulation(t require.TestingT, servers, models, adapters int) *simulation {
	w := &simulation{t: t, now: start, tracker: NewDemandTracker(), demand: map[string]TargetDemand{}, fractions: map[string]float64{}, work: map[string]float64{}}
	e := &topology.Engine{Slots: 32, MemoryMB: 220_000, AdapterSlots: 8, LoadsPerSecond: 2.8}
	for i := range models {
		m := topology.Model{Name: fmt.Sprint("m", i), MemoryMB: modelMB, LoadTime: loadTime, AdapterMB: 66}
		if i == 0 {
			m.Adapters = adapters
		}
		e.Models = append(e.Models, m)
	}
	w.service = topology.Service{Name: "llm", Engine: e}
	for i := range servers {
		x := &simServer{id: fmt.Sprint("s", i), born: start, models: map[string]map[string]bool{}, onDisk: map[string]bool{}}
		w.servers = append(w.servers, x)
	}
	w.planner = NewPlanner(w.tracker)
	return w
}

// placeModel puts a model on servers without an order.
func (w *simulation) placeModel(model string, servers ...int) {
	for _, i := range servers {
		w.servers[i].models[model] = map[string]bool{}
		w.servers[i].onDisk[model] = true
	}
}

// setDemand sets the concurrent requests for a model.
func (w *simulation) setDemand(model string, inFlight, waiting int) {
	w.demand[topology.TargetName("llm", model, "")] = TargetDemand{InFlight: inFlight, Waiting: waiting}
}

func (x *simServer) entry() topology.Server {
	s := topology.Server{ID: x.id, Service: "llm", Addr: "10.0.0.1:1", Domain: "d", Slots: 32, Born: x.born, Leaving: x.leaving, SoftwareVersion: x.version}
	s.Models = x.held()
	for m := range x.onDisk {
		s.OnDisk = append(s.OnDisk, m)
	}
	slices.Sort(s.OnDisk)
	return s
}

func (x *simServer) held() []topology.HeldModel {
	var out []topology.HeldModel
	for _, name := range sortedNames(x.models) {
		out = append(out, topology.HeldModel{Name: name, Version: 1, Adapters: sortedNames(x.models[name])})
	}
	return out
}

func sortedNames[V any](m map[string]V) []string {
	var out []string
	for k := range m {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}

func (x *simServer) receives(w *simulation, o Order) bool { return x.id == o.Server }

// execute simulates a server that receives an order: it checks the sequence number and
// fails the test if it would hold too much.
func (w *simulation) execute(o Order) bool {
	for _, x := range w.servers {
		if !x.receives(w, o) || x.sequence != o.Sequence || x.loading != "" || x.unloading != "" {
			continue
		}
		if o.Adapter != "" && x.models[o.Model] == nil {
			return false // an adapter requires its model
		}
		x.sequence++
		switch {
		case o.Adapter != "" && o.Unload:
			delete(x.models[o.Model], o.Adapter)
		case o.Adapter != "":
			x.models[o.Model][o.Adapter] = true
			n := 0
			for _, a := range x.models {
				n += len(a)
			}
			require.LessOrEqual(w.t, n, w.service.Engine.AdapterSlots, "adapters on %s", x.id)
		case o.Unload:
			x.unloading, x.readyAt = o.Model, w.now.Add(300*time.Millisecond)
		default:
			x.loading, x.readyAt = o.Model, w.now.Add(w.loadTime(x, o.Model))
			require.LessOrEqual(w.t, float64(len(x.models)+1)*modelMB, w.service.Engine.MemoryMB, "models on %s", x.id)
			if !x.onDisk[o.Model] {
				w.storeLoads = append(w.storeLoads, w.now)
				x.onDisk[o.Model] = true
			}
		}
		return true
	}
	return false
}

// loadTime returns how long a server takes to load a model: a fifth if the model is on
// its disk.
func (w *simulation) loadTime(x *simServer, model string) time.Duration {
	for _, m := range w.service.Engine.Models {
		if m.Name == model && x.onDisk[model] {
			return m.LoadTime / 5
		}
		if m.Name == model {
			return time.Duration(float64(m.LoadTime) * w.slowdown())
		}
	}
	return loadTime
}

// slowdown returns how much longer one more load from the weight store takes beside the others.
func (w *simulation) slowdown() float64 {
	loading := 1
	for _, x := range w.servers {
		if x.loading != "" {
			loading++
		}
	}
	if w.parallelLoads == 0 {
		return 1
	}
	return max(1, float64(loading)/float64(w.parallelLoads))
}

// reportedDemand returns the demand with the requests of one step; each request
// occupies a slot for a second.
func (w *simulation) reportedDemand() map[string]TargetDemand {
	out := map[string]TargetDemand{}
	if w.exactRequests {
		maps.Copy(out, w.demand)
		return out
	}
	for name, a := range w.demand {
		w.fractions[name] += float64(a.InFlight+a.Waiting) / 10
		a.Requests = int(w.fractions[name])
		w.fractions[name] -= float64(a.Requests)
		a.Work = time.Duration(float64(a.Requests) * w.work[name] * float64(time.Second))
		out[name] = a
	}
	return out
}

// step advances the simulation by 100 ms, with one plan.
func (w *simulation) step() []Order {
	w.now = w.now.Add(100 * time.Millisecond)
	for _, l := range w.delayedOrders {
		if !w.now.Before(l.at) {
			w.execute(l.order)
		}
	}
	w.delayedOrders = slices.DeleteFunc(w.delayedOrders, func(l delayedOrder) bool { return !w.now.Before(l.at) })
	v := topology.View{Config: &topology.Config{Services: map[string]topology.Service{"llm": w.service}}}
	for _, x := range w.servers {
		if (x.loading != "" || x.unloading != "") && !w.now.Before(x.readyAt) {
			if x.loading != "" {
				x.models[x.loading] = map[string]bool{}
			}
			delete(x.models, x.unloading)
			x.loading, x.unloading, x.publishedAt = "", "", time.Time{}
		}
		if !w.storeDown && w.now.Sub(x.publishedAt) >= 1200*time.Millisecond {
			x.published, x.publishedAt = x.entry(), w.now
		}
		v.Servers = append(v.Servers, x.published)
	}
	w.tracker.HandleReport(w.now, InstanceReport{Instance: "i", Domain: "d", TargetDemand: w.reportedDemand()})
	w.planner.Update(w.now, &v)
	for _, q := range w.planner.StateQueries(w.now) {
		for _, x := range w.servers {
			if x.receives(w, q) {
				w.planner.HandleReport(w.now, q.Server, State{Sequence: x.sequence, Busy: x.loading != "" || x.unloading != "", Models: x.held()})
			}
		}
	}
	orders := w.planner.Plan(w.now)
	for _, o := range orders {
		switch {
		case w.loseOrder != nil && w.loseOrder():
			w.delayedOrders = append(w.delayedOrders, delayedOrder{o, w.now.Add(time.Duration(2+len(w.delayedOrders)%10) * time.Second)})
			w.planner.HandleOrderResult(w.now, o, 0, true)
		case w.execute(o):
			w.planner.HandleOrderResult(w.now, o, Accepted, false)
		default:
			w.planner.HandleOrderResult(w.now, o, 0, false)
		}
	}
	return orders
}

func (w *simulation) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.step()
	}
}

func (w *simulation) replicas(model string) int {
	n := 0
	for _, x := range w.servers {
		if _, ok := x.models[model]; ok {
			n++
		}
	}
	return n
}
