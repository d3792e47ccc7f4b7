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

// world is engines as the platform has them: they hold what they are ordered to
// hold, count their orders, and some orders are lost or carried out late.
type world struct {
	t       require.TestingT
	now     time.Time
	service topology.Service
	engines []*engine
	p       *Planner
	d       *Demand
	loads   []time.Time // from the weight store
	lost    func() bool // an order gets no answer and is carried out late
	late    []lateOrderOf
	asked   map[string]Asked
	silent  bool               // no entry reaches the store
	due     map[string]float64 // parts of requests, by target
	work    map[string]float64 // seconds of a whole server that a request takes, by target
	exact   bool               // asked names the requests of a step, and what is in flight stands for none
}

type engine struct {
	id       string
	born     time.Time
	sequence int64
	models   map[string]map[string]bool // adapters by model
	loading  string
	unloads  string
	ready    time.Time
	disk     map[string]bool
	leaving  bool
	told     topology.Server // its entry, which lags
	toldAt   time.Time
}

type lateOrderOf struct {
	order Order
	at    time.Time
}

const (
	modelMB  = 72_700
	loadTime = 1200 * time.Millisecond
)

func newWorld(t require.TestingT, engines, models, adapters int) *world {
	w := &world{t: t, now: start, d: NewDemand(), asked: map[string]Asked{}, due: map[string]float64{}, work: map[string]float64{}}
	e := &topology.Engine{Slots: 32, MemoryMB: 220_000, AdapterSlots: 8, LoadsPerSecond: 2.8}
	for i := range models {
		m := topology.Model{Name: fmt.Sprint("m", i), MemoryMB: modelMB, LoadTime: loadTime, AdapterMB: 66}
		if i == 0 {
			m.Adapters = adapters
		}
		e.Models = append(e.Models, m)
	}
	w.service = topology.Service{Name: "llm", Engine: e}
	for i := range engines {
		x := &engine{id: fmt.Sprint("s", i), born: start, models: map[string]map[string]bool{}, disk: map[string]bool{}}
		w.engines = append(w.engines, x)
	}
	w.p = NewPlanner(w.d)
	return w
}

// place puts a model on engines without an order.
func (w *world) place(model string, engines ...int) {
	for _, i := range engines {
		w.engines[i].models[model] = map[string]bool{}
		w.engines[i].disk[model] = true
	}
}

// ask sets what is asked for at once of a model.
func (w *world) ask(model string, inFlight, waiting int) {
	w.asked[topology.TargetName("llm", model, "")] = Asked{InFlight: inFlight, Waiting: waiting}
}

func (x *engine) entry() topology.Server {
	s := topology.Server{ID: x.id, Service: "llm", Addr: "10.0.0.1:1", Domain: "d", Slots: 32, Born: x.born, Leaving: x.leaving}
	s.Models = x.held()
	for m := range x.disk {
		s.OnDisk = append(s.OnDisk, m)
	}
	slices.Sort(s.OnDisk)
	return s
}

func (x *engine) held() []topology.HeldModel {
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

func (x *engine) find(w *world, o Order) bool { return x.id == o.Server }

// carryOut is an engine's own part: it checks the number, and dies of too much.
func (w *world) carryOut(o Order) bool {
	for _, x := range w.engines {
		if !x.find(w, o) || x.sequence != o.Sequence || x.loading != "" || x.unloads != "" {
			continue
		}
		if o.Adapter != "" && x.models[o.Model] == nil {
			return false // an adapter needs its model
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
			x.unloads, x.ready = o.Model, w.now.Add(300*time.Millisecond)
		default:
			x.loading, x.ready = o.Model, w.now.Add(w.loadTime(x, o.Model))
			require.LessOrEqual(w.t, float64(len(x.models)+1)*modelMB, w.service.Engine.MemoryMB, "models on %s", x.id)
			if !x.disk[o.Model] {
				w.loads = append(w.loads, w.now)
				x.disk[o.Model] = true
			}
		}
		return true
	}
	return false
}

// loadTime is how long an engine takes to load a model: a fifth where it has it on disk.
func (w *world) loadTime(x *engine, model string) time.Duration {
	for _, m := range w.service.Engine.Models {
		if m.Name == model && x.disk[model] {
			return m.LoadTime / 5
		}
		if m.Name == model {
			return m.LoadTime
		}
	}
	return loadTime
}

// arrivals returns what is asked for with the requests of one step: each holds
// its place for a second.
func (w *world) arrivals() map[string]Asked {
	out := map[string]Asked{}
	if w.exact {
		maps.Copy(out, w.asked)
		return out
	}
	for name, a := range w.asked {
		w.due[name] += float64(a.InFlight+a.Waiting) / 10
		a.Requests = int(w.due[name])
		w.due[name] -= float64(a.Requests)
		a.Work = time.Duration(float64(a.Requests) * w.work[name] * float64(time.Second))
		out[name] = a
	}
	return out
}

// step lets 100 ms pass, with one plan.
func (w *world) step() []Order {
	w.now = w.now.Add(100 * time.Millisecond)
	for _, l := range w.late {
		if !w.now.Before(l.at) {
			w.carryOut(l.order)
		}
	}
	w.late = slices.DeleteFunc(w.late, func(l lateOrderOf) bool { return !w.now.Before(l.at) })
	v := topology.View{Config: &topology.Config{Services: map[string]topology.Service{"llm": w.service}}}
	for _, x := range w.engines {
		if (x.loading != "" || x.unloads != "") && !w.now.Before(x.ready) {
			if x.loading != "" {
				x.models[x.loading] = map[string]bool{}
			}
			delete(x.models, x.unloads)
			x.loading, x.unloads, x.toldAt = "", "", time.Time{}
		}
		if !w.silent && w.now.Sub(x.toldAt) >= 1200*time.Millisecond {
			x.told, x.toldAt = x.entry(), w.now
		}
		v.Servers = append(v.Servers, x.told)
	}
	w.d.Said(w.now, Word{Instance: "i", Domain: "d", Asked: w.arrivals()})
	w.p.Update(w.now, &v)
	for _, q := range w.p.Unsure(w.now) {
		for _, x := range w.engines {
			if x.find(w, q) {
				w.p.Said(w.now, q.Server, State{Sequence: x.sequence, Busy: x.loading != "" || x.unloads != "", Models: x.held()})
			}
		}
	}
	orders := w.p.Plan(w.now)
	for _, o := range orders {
		switch {
		case w.lost != nil && w.lost():
			w.late = append(w.late, lateOrderOf{o, w.now.Add(time.Duration(2+len(w.late)%10) * time.Second)})
			w.p.Done(w.now, o, 0, true)
		case w.carryOut(o):
			w.p.Done(w.now, o, Accepted, false)
		default:
			w.p.Done(w.now, o, 0, false)
		}
	}
	return orders
}

func (w *world) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.step()
	}
}

func (w *world) replicas(model string) int {
	n := 0
	for _, x := range w.engines {
		if _, ok := x.models[model]; ok {
			n++
		}
	}
	return n
}
