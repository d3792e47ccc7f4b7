package residency

import (
	"slices"
	"time"

	"greengageferry/topology"
)

const (
	// orderTimeout bounds the call for one order or one state query.
	orderTimeout = 600 * time.Millisecond
	// lateOrderWindow is how long after sending an unanswered order the server may
	// still execute it.
	lateOrderWindow = 15 * time.Second
	// loadTimeoutFactor is how long to wait for a load before the server is queried, as
	// a multiple of its usual time: loads slow each other down.
	loadTimeoutFactor = 4
	// unloadTimeout is how long to wait for an unload, which starts only after the
	// running requests for its model have ended.
	unloadTimeout = 8 * time.Second
	// stateLag is the maximum age of the state that a server reports; a server is
	// queried that long after its last order.
	stateLag = 400 * time.Millisecond
	// stateQueryInterval is the time between two queries to a server on whether an
	// order for a model has been executed.
	stateQueryInterval = 500 * time.Millisecond
	// entryLag is how long a server's entry may lag behind the orders that the server
	// accepted: two heartbeats and a read.
	entryLag = 4 * time.Second
)

// server is the lease holder's knowledge of a server.
type server struct {
	topology.Server                      // from its entry, with the models from the server's own state report if that is newer
	entry           topology.Server      // the newest entry
	entryPending    bool                 // the entry's models have not been adopted yet
	stateAt         time.Time            // when the server last reported its state
	stateKnown      bool                 // sequence was reported by the server, or counted from a reported one
	sequence        int64                // number of orders that the server accepted
	adapterChanges  []adapterChange      // accepted adapter orders that its models don't include yet
	executing       *Order               // an accepted order for a model that is still being executed
	priorStateSeen  bool                 // an entry has shown, or still shows, the models from before that order
	timeout         time.Time            // when to stop waiting for that order
	nextQueryAt     time.Time            // when to query whether that order has been executed
	unanswered      []unansweredOrder    // unanswered orders that the server may still execute
	draining        *drainingModel       // a model that drains before it is unloaded
	successor       string               // the model to load once the one being unloaded is gone
	dropped         []droppedModel       // models that instances must not use on the server any more
	firstSeen       map[string]time.Time // when each model was first seen, by name; zero: before this lease
	callInFlight    bool                 // an order or a state query is in flight
	orderInFlight   *Order               // the order in flight
	callVoid        bool                 // the call in flight was made to an earlier start of the server
	idleUntil       time.Time            // no order or state query before that time
}

// drainingModel is a model that instances have been told not to use on a server any
// more. It is unloaded once all instances know.
type drainingModel struct {
	model       string
	successor   string // the model that replaces it
	startedAt   time.Time
	announcedAt time.Time // when all instances had been told
}

// droppedModel is a model that instances must not use on a server until the given time.
type droppedModel struct {
	model string
	until time.Time
}

// adapterChange is an adapter order that the server accepted.
type adapterChange struct {
	order      Order
	acceptedAt time.Time
}

// unansweredOrder is an order that the server may execute until the given time.
type unansweredOrder struct {
	order Order
	until time.Time
}

// update processes the server's entry, which may be unchanged.
func (s *server) update(now time.Time, e topology.Server) {
	if !e.Born.Equal(s.entry.Born) {
		s.forgetStart()
	}
	if !e.Equal(&s.entry) {
		s.entry, s.entryPending = e, true
		if o := s.executing; o != nil && e.Holds(o.Model, "") == o.Unload {
			s.priorStateSeen = true
		}
		models := s.Models
		s.Server = e
		s.Models = models
	}
	if s.entryPending {
		s.considerEntry(now, &e)
	}
	s.reconcile(now)
}

// considerEntry adopts an entry's models if they are newer than the server's own state
// report: if the entry shows the effect of the order that is being executed, or the report
// is older than entryLag. An entry may be older than that, for instance after a store
// outage. Before what it lacks is taken to be free, the server is queried.
func (s *server) considerEntry(now time.Time, e *topology.Server) {
	switch {
	case s.showsExecution(e):
	case now.Sub(s.stateAt) <= entryLag:
		return
	case s.stateKnown && lacksHeld(e, s.Models):
		s.stateKnown = false
		return
	}
	s.Models, s.entryPending = e.Models, false
}

// showsExecution reports whether an entry shows the effect of the order that is being
// executed. This counts only if an entry has shown the state before the order: an entry
// without a model may date from before the model was loaded, and its memory would be
// reused while the server still unloads it.
func (s *server) showsExecution(e *topology.Server) bool {
	o := s.executing
	return o != nil && s.priorStateSeen && e.Holds(o.Model, "") != o.Unload
}

// lacksHeld reports whether an entry lacks any of the models or of their adapters.
func lacksHeld(e *topology.Server, models []topology.HeldModel) bool {
	for _, m := range models {
		if !e.Holds(m.Name, "") {
			return true
		}
		for _, a := range m.Adapters {
			if !e.Holds(m.Name, a) {
				return true
			}
		}
	}
	return false
}

// reconcile drops accepted and unanswered orders that the entry shows by now or whose
// time is over. An accepted order takes precedence over the entry for as long as the
// entry may lag, even if the two agree: the entry may date from before an earlier order
// that the accepted one reverted, and a slot that seemed free would then be used twice.
func (s *server) reconcile(now time.Time) {
	s.adapterChanges = slices.DeleteFunc(s.adapterChanges, func(c adapterChange) bool {
		if now.Sub(c.acceptedAt) <= entryLag {
			return false
		}
		if s.Server.Holds(c.order.Model, c.order.Adapter) == c.order.Unload {
			s.stateKnown = false // the entry doesn't show the change: query the server
			return false
		}
		return true
	})
	s.unanswered = slices.DeleteFunc(s.unanswered, func(g unansweredOrder) bool { return !now.Before(g.until) })
	s.dropped = slices.DeleteFunc(s.dropped, func(d droppedModel) bool { return !now.Before(d.until) })
	s.updateFirstSeen(now)
	o := s.executing
	switch {
	case o == nil:
	case s.Server.Holds(o.Model, "") != o.Unload:
		s.executing = nil
	case !now.Before(s.timeout):
		s.executing, s.stateKnown = nil, false
	}
}

// updateFirstSeen updates when each model was first seen on the server.
func (s *server) updateFirstSeen(now time.Time) {
	old := s.firstSeen
	s.firstSeen = make(map[string]time.Time, len(s.Models))
	for _, m := range s.Models {
		since, ok := old[m.Name]
		if !ok && old != nil {
			since = now
		}
		s.firstSeen[m.Name] = since // zero: present since before this lease
	}
}

// handleState processes the state that the server reported.
func (s *server) handleState(now time.Time, st State) {
	if s.endCall() || st.Born.Before(s.entry.Born) && !st.Born.IsZero() {
		return // of an earlier start of the server, which is queried again
	}
	s.nextQueryAt = now.Add(stateQueryInterval)
	s.Models, s.sequence, s.stateAt, s.entryPending = st.Models, st.Sequence, now, false
	s.stateKnown, s.adapterChanges = true, nil
	if st.Busy && s.executing == nil { // with an order from another holder
		s.stateKnown, s.idleUntil = false, now.Add(stateLag)
	}
	s.reconcile(now)
}

// available reports whether the server can receive an order now.
func (s *server) available(now time.Time) bool {
	return !s.Leaving && s.stateKnown && !s.callInFlight && s.executing == nil && s.draining == nil && !now.Before(s.idleUntil)
}

// needsStateQuery reports whether to query the server's state now: if it isn't known,
// or if an order for a model should have been executed by now. Its entry would show
// that up to two seconds later, and never during a store outage.
func (s *server) needsStateQuery(now time.Time) bool {
	if s.Leaving || s.callInFlight || now.Before(s.idleUntil) {
		return false
	}
	return !s.stateKnown || s.executing != nil && !now.Before(s.nextQueryAt)
}

// heldChanges returns how the models and adapters that the server holds differ from its
// entry.
func (s *server) heldChanges() []topology.Held {
	var out []topology.Held
	add := func(dropped bool, model, adapter string) {
		out = append(out, topology.Held{Server: s.ID, Dropped: dropped, Model: model, Adapter: adapter})
	}
	for _, m := range s.Models {
		if s.isDropped(m.Name) {
			add(true, m.Name, "")
			continue
		}
		if !s.entry.Holds(m.Name, "") {
			add(false, m.Name, "")
		}
		for _, a := range s.adapters(m.Name) {
			if !s.entry.Holds(m.Name, a) {
				add(false, m.Name, a)
			}
		}
	}
	for _, m := range s.entry.Models {
		if !s.Server.Holds(m.Name, "") {
			add(true, m.Name, "")
			continue
		}
		held := s.adapters(m.Name)
		for _, a := range m.Adapters {
			if !slices.Contains(held, a) {
				add(true, m.Name, a)
			}
		}
	}
	return out
}

// isDropped reports whether instances must not use a model on the server any more.
func (s *server) isDropped(model string) bool {
	return s.isUnloading(model) || slices.ContainsFunc(s.dropped, func(d droppedModel) bool { return d.model == model })
}

// holds reports whether the server holds the model or adapter, taking accepted orders
// into account.
func (s *server) holds(model, adapter string) bool {
	held := s.Server.Holds(model, adapter)
	for _, c := range s.adapterChanges {
		if c.order.Model == model && c.order.Adapter == adapter {
			held = !c.order.Unload
		}
	}
	return held
}

// models returns the models that take memory on the server, including one that is being
// loaded and those that an unanswered order may still load.
func (s *server) models() []string {
	var out []string
	for _, m := range s.Models {
		out = append(out, m.Name)
	}
	for _, o := range []*Order{s.executing, s.orderInFlight} {
		if o != nil && !o.Unload && !slices.Contains(out, o.Model) {
			out = append(out, o.Model)
		}
	}
	for _, u := range s.unanswered {
		if s.mayExecute(u) && u.order.Adapter == "" && !slices.Contains(out, u.order.Model) {
			out = append(out, u.order.Model)
		}
	}
	return out
}

// mayExecute reports whether the server may still execute an unanswered load in
// addition to the next order. The server checks the order's sequence number: a lower
// number than expected is refused, and the expected one is used up by the next order. A
// higher number was sent before the server restarted under the same ID; therefore an
// order stays in the list for its whole time, even after its number has been passed.
func (s *server) mayExecute(o unansweredOrder) bool {
	return !o.order.Unload && o.order.Sequence > s.sequence
}

// loadingModel returns the model that the server loads, or will once another has drained; empty:
// none.
func (s *server) loadingModel() string {
	if s.draining != nil {
		return s.draining.successor
	}
	for _, o := range []*Order{s.executing, s.orderInFlight} {
		switch {
		case o == nil || o.Adapter != "":
		case o.Unload:
			return s.successor
		default:
			return o.Model
		}
	}
	return ""
}

// isUnloading reports whether the model drains or is being unloaded.
func (s *server) isUnloading(model string) bool {
	if s.draining != nil && s.draining.model == model {
		return true
	}
	for _, o := range []*Order{s.executing, s.orderInFlight} {
		if o != nil && o.Unload && o.Adapter == "" && o.Model == model {
			return true
		}
	}
	return false
}

// adapters returns the adapters of a model that the server holds.
func (s *server) adapters(model string) []string {
	var out []string
	for _, m := range s.Models {
		if m.Name == model {
			out = append(out, m.Adapters...)
		}
	}
	for _, c := range s.adapterChanges {
		if c.order.Model != model {
			continue
		}
		out = slices.DeleteFunc(out, func(a string) bool { return a == c.order.Adapter })
		if !c.order.Unload {
			out = append(out, c.order.Adapter)
		}
	}
	return out
}

// adapterCount returns how many adapter slots of the server are taken.
func (s *server) adapterCount() int {
	n := 0
	for _, m := range s.Models {
		n += len(s.adapters(m.Name))
	}
	for _, g := range s.unanswered {
		if s.mayExecute(g) && g.order.Adapter != "" {
			n++
		}
	}
	return n
}

// orderAccepted records that the server accepted an order. timeout is how long to wait
// for the execution of an order for a model.
func (s *server) orderAccepted(now time.Time, o Order, timeout time.Duration) {
	s.nextQueryAt = now.Add(stateQueryInterval)
	if !o.Unload && !slices.Contains(s.OnDisk, o.Model) {
		s.nextQueryAt = now.Add(timeout / loadTimeoutFactor)
	}
	s.sequence = o.Sequence + 1
	if o.Adapter != "" {
		s.adapterChanges = slices.DeleteFunc(s.adapterChanges, func(c adapterChange) bool { return c.order.Model == o.Model && c.order.Adapter == o.Adapter })
		s.adapterChanges = append(s.adapterChanges, adapterChange{order: o, acceptedAt: now})
		return
	}
	if o.Unload {
		s.dropped = append(s.dropped, droppedModel{model: o.Model, until: now.Add(timeout)})
	}
	s.executing = &o
	s.priorStateSeen = s.entry.Holds(o.Model, "") == o.Unload
	s.timeout = now.Add(timeout)
}

// orderFailed records that the server refused an order or did not answer.
func (s *server) orderFailed(now time.Time, o Order, mayExecute bool) {
	s.stateKnown, s.idleUntil = false, now.Add(stateLag)
	if mayExecute {
		s.unanswered = append(s.unanswered, unansweredOrder{order: o, until: now.Add(lateOrderWindow)})
	}
}
