package control

import (
	"fmt"
	"slices"
	"time"

	"pgregory.net/rapid"

	"greengageferry/infra"
	"greengageferry/record"
	"greengageferry/replay"
)

// memoryModel models a log, processes that read the log at their own pace and act
// on what they read, orders that a process holds or the network delays, duplicates
// or drops, and servers that execute every order. The model has no time: any
// process may claim the lease at any moment, so its results hold with arbitrarily
// wrong clocks. The rules that apply records, reconcile, removableItems and
// inFlightOrders are the production code.

// disabledRules says which safety rules are disabled. Each comment describes the
// behavior without the rule.
type disabledRules struct {
	removalWait             bool // a removal is recorded without any wait
	orderersAsked           bool // orderers aren't queried about an engine that ignores fencing tokens
	fenceSeen               bool // nothing waits until an engine has seen the assignment's fencing token
	statusAfterConfirmation bool // a removal relies on a status from before the orderers' confirmations
	countHeldOrders         bool // an order that a process holds doesn't count as in flight
	countUnansweredOrders   bool // an unanswered order doesn't count as in flight
	newestAssignment        bool // a process sends orders of assignments that it knows to be superseded
	assignmentFence         bool // an order carries its lease's offset as fencing token, not its assignment's
	joined                  bool // a process sends orders without having joined
	leaveWhenIdle           bool // a process leaves the orderers with orders in flight
	countUntracked          bool // the memory of items from before the first assignment isn't counted
	persistentFence         bool // an engine that refuses old fencing tokens loses its token in a restart
}

type modelEngine struct {
	id        string
	unfenced  bool // ignores fencing tokens
	memoryMiB int64
	fence     uint64
	boot      int
	items     map[infra.Key]infra.Item
}

func (e *modelEngine) usedMiB() int64 {
	var out int64
	for _, i := range e.items {
		out += i.MiB
	}
	return out
}

func (e *modelEngine) status() infra.ServerStatus {
	st := infra.ServerStatus{ID: e.id, Boot: fmt.Sprint(e.boot), MemoryMiB: e.memoryMiB}
	if !e.unfenced {
		st.Fence = e.fence
	}
	for _, i := range e.items {
		st.Items = append(st.Items, infra.ResidentItem{Item: i, State: infra.ItemReady})
	}
	return st
}

func (e *modelEngine) arrive(o infra.Order) {
	if !e.unfenced && o.Fence < e.fence {
		return
	}
	e.fence = max(e.fence, o.Fence)
	switch o.Kind {
	case infra.OrderLoad:
		e.items[o.Item.Key()] = o.Item
	case infra.OrderUnload:
		delete(e.items, o.Item.Key())
	}
}

type modelOrder struct {
	sender    *process
	server    string
	order     infra.Order
	id        int  // in the process's inFlightOrders; 0: not counted
	onNetwork bool // on the network; otherwise held by the process before sending
}

type process struct {
	id             string
	machine        *replay.Control
	view           *replay.ControlView
	ownLease       infra.Offset
	joined         infra.Offset
	servers        map[string]*server
	confirmations  map[string]confirmation
	inFlightOrders *inFlightOrders
	assignments    []replay.Server // every assignment ever read, for disabledRules.newestAssignment
}

func (p *process) applied(now time.Time) infra.Offset {
	if joined, is := p.view.Orderers[p.id]; is && joined != p.joined {
		return 0
	}
	return p.inFlightOrders.lowestAssignment(now, p.view.Offset)
}

type memoryModel struct {
	t         *rapid.T
	disabled  disabledRules
	records   []*record.Record
	engines   []*modelEngine
	processes []*process
	orders    []*modelOrder
	spawned   int
	step      int
}

func (m *memoryModel) now() time.Time { return time.Unix(int64(m.step), 0) }

func (m *memoryModel) draw(n int, what string) int { return rapid.IntRange(0, n-1).Draw(m.t, what) }

func (m *memoryModel) append(body *record.Record) infra.Offset {
	m.records = append(m.records, body)
	return infra.Offset(len(m.records))
}

func (m *memoryModel) spawn() {
	m.spawned++
	p := &process{
		id: fmt.Sprint("p", m.spawned), machine: replay.NewControl(),
		servers: map[string]*server{}, confirmations: map[string]confirmation{}, inFlightOrders: newInFlightOrders(0),
	}
	for _, e := range m.engines {
		p.servers[e.id] = newServer(e.id)
	}
	m.processes = append(m.processes, p)
	m.read(p)
}

// read lets the process read to the end of the log.
func (m *memoryModel) read(p *process) {
	for int(p.machine.Offset()) < len(m.records) {
		next := p.machine.Offset() + 1
		p.machine.Apply(next, m.records[next-1])
		if m.records[next-1].GetAssignment() != nil {
			if s := p.machine.View().Servers[m.records[next-1].GetAssignment().Server]; s != nil && s.Assignment == next {
				p.assignments = append(p.assignments, *s)
			}
		}
	}
	p.view = p.machine.View()
	for id, want := range p.view.Servers {
		p.servers[id].observeAssignment(m.now(), want)
	}
}

func (m *memoryModel) claim(p *process) {
	l := p.view.Lease
	offset := m.append(&record.Record{Body: &record.Record_LeaseClaim{LeaseClaim: &record.LeaseClaim{
		Holder: p.id, DurationMs: 1, Previous: uint64(l.ID), LastSeen: uint64(l.Renewed),
	}}})
	p.ownLease = offset
	m.read(p)
}

var modelItems = []infra.Item{
	{Model: "a", Version: "1", MiB: 2}, {Model: "b", Version: "1", MiB: 2}, {Model: "c", Version: "1", MiB: 1},
}

// assignRandomItem assigns one item, or none.
func (m *memoryModel) assignRandomItem(p *process, e *modelEngine) {
	var items []infra.Item
	if i := m.draw(len(modelItems)+2, "item"); i < len(modelItems) {
		items = append(items, modelItems[i])
	}
	m.assign(p, e, items...)
}

func (m *memoryModel) assign(p *process, e *modelEngine, items ...infra.Item) {
	if !m.disabled.countUntracked && !replay.Fits(e.memoryMiB, items, p.servers[e.id].untrackedItems(p.view.Servers[e.id])) {
		return
	}
	m.append(&record.Record{Body: &record.Record_Assignment{Assignment: &record.Assignment{
		Lease: uint64(p.ownLease), Server: e.id, MemoryMib: e.memoryMiB, Items: replay.ItemRecords(items),
	}}})
}

func (m *memoryModel) poll(p *process, e *modelEngine) {
	p.servers[e.id].pollDone(m.now(), e.status())
}

func (m *memoryModel) remove(p *process, e *modelEngine) {
	s, want := p.servers[e.id], p.view.Servers[e.id]
	if want == nil || s.status == nil {
		return
	}
	if e.unfenced && s.confirmedAssignment != want.Assignment && len(unconfirmedOrderers(p.view, want.Assignment, p.confirmations)) == 0 {
		s.confirmedAssignment, s.confirmedAt = want.Assignment, m.now()
	}
	removed := removableItems(m.alteredServer(p, s, want), want, e.unfenced)
	if m.disabled.removalWait {
		removed = want.Lingering
	}
	if len(removed) == 0 {
		return
	}
	m.append(&record.Record{Body: &record.Record_Removal{Removal: &record.Removal{
		Lease: uint64(p.ownLease), Server: e.id, Assignment: uint64(want.Assignment), Items: replay.ItemRecords(removed),
	}}})
}

// alteredServer returns a copy of the process's state of the server, altered so
// that the disabled rules always pass.
func (m *memoryModel) alteredServer(p *process, s *server, want *replay.Server) *server {
	altered := *s
	if s.status == nil {
		return &altered
	}
	status := *s.status
	altered.status = &status
	if m.disabled.fenceSeen || m.disabled.assignmentFence && status.Fence >= uint64(p.view.Lease.ID) {
		status.Fence = uint64(want.Assignment)
	}
	if m.disabled.orderersAsked {
		altered.confirmedAssignment, altered.confirmedAt = want.Assignment, time.Time{}
	}
	if m.disabled.statusAfterConfirmation {
		altered.confirmedAt = time.Time{}
	}
	if m.disabled.countUntracked {
		status.Items = slices.DeleteFunc(slices.Clone(status.Items), func(r infra.ResidentItem) bool {
			return !containsItem(want.Assigned, r.Key()) && !containsItem(want.Lingering, r.Key())
		})
	}
	return &altered
}

func (m *memoryModel) queryApplied(p, q *process) {
	joinOffset, is := p.view.Orderers[q.id]
	if !is {
		return
	}
	offset := q.applied(m.now())
	p.confirmations[q.id] = confirmation{joinOffset: joinOffset, offset: offset}
}

// begin lets the process prepare an order: the order is added to those in flight
// and held until the network step that sends it.
func (m *memoryModel) begin(p *process, e *modelEngine, choose func(n int, what string) int) *modelOrder {
	mayOrder := p.joined != 0 && p.view.Orderers[p.id] == p.joined
	want := p.view.Servers[e.id]
	if !mayOrder && !m.disabled.joined || want == nil {
		return nil
	}
	if m.disabled.newestAssignment {
		ofServer := slices.DeleteFunc(slices.Clone(p.assignments), func(s replay.Server) bool { return s.ID != e.id })
		want = &ofServer[choose(len(ofServer), "old assignment")]
		p.servers[e.id].assignment = want.Assignment
		defer func() { p.servers[e.id].assignment = p.view.Servers[e.id].Assignment }()
	}
	altered := m.alteredServer(p, p.servers[e.id], want)
	clear(altered.sent)
	later := m.now().Add(time.Hour) // skips UnloadDelay, which serves routers and not memory
	due := reconcile(later, Limits{}.withDefaults(), altered, want, e.unfenced)
	if len(due) == 0 {
		return nil
	}
	o := &modelOrder{sender: p, server: e.id, order: due[choose(len(due), "order")].order}
	if !m.disabled.countHeldOrders {
		o.id = p.inFlightOrders.begin(want.Assignment)
	}
	if m.disabled.assignmentFence {
		o.order.Fence = uint64(p.view.Lease.ID)
	}
	m.orders = append(m.orders, o)
	return o
}

func (m *memoryModel) advanceOrder(o *modelOrder) {
	if !o.onNetwork {
		o.onNetwork = true
		return
	}
	fate := m.draw(4, "fate") // 0: lost; 1: arrived, with a copy to follow; 2: arrived; 3: late, its call timed out
	if fate == 1 || fate == 2 {
		m.engines[0].arrive(o.order)
	}
	if fate == 0 || fate == 2 {
		m.finishOrder(o)
	} else if m.disabled.countUnansweredOrders {
		o.sender.inFlightOrders.end(m.now(), o.id, true)
	}
}

// finishOrder removes the last copy of an order from the network.
func (m *memoryModel) finishOrder(o *modelOrder) {
	m.orders = slices.DeleteFunc(m.orders, func(other *modelOrder) bool { return other == o })
	o.sender.inFlightOrders.end(m.now(), o.id, true)
}

func (m *memoryModel) join(p *process) {
	if _, is := p.view.Orderers[p.id]; is {
		return
	}
	p.joined = m.append(&record.Record{Body: &record.Record_OrdererJoin{OrdererJoin: &record.OrdererJoin{Instance: p.id}}})
	m.read(p)
}

func (m *memoryModel) leave(p *process) {
	own := func(o *modelOrder) bool { return o.sender == p }
	if _, is := p.view.Orderers[p.id]; !is || slices.ContainsFunc(m.orders, own) && !m.disabled.leaveWhenIdle {
		return
	}
	m.append(leaveRecord(p.id))
	p.joined = 0
}

// replaceProcess ends a process for good and starts another. The orders that it
// sent have arrived or never will, it is off the list, and the lease holder has
// appended its leave.
func (m *memoryModel) replaceProcess(i int) {
	p := m.processes[i]
	m.orders = slices.DeleteFunc(m.orders, func(o *modelOrder) bool { return o.sender == p })
	m.processes = slices.Delete(m.processes, i, i+1)
	m.append(leaveRecord(p.id))
	m.spawn()
}

func (m *memoryModel) restart(e *modelEngine) {
	e.boot++
	clear(e.items)
	if m.disabled.persistentFence {
		e.fence = 0
	}
}

// actAsHolder lets the process do what a lease holder would do next.
func (m *memoryModel) actAsHolder(p *process, e *modelEngine) {
	want := p.view.Servers[e.id]
	if want == nil || len(want.Lingering) == 0 {
		m.assignRandomItem(p, e)
		return
	}
	for _, q := range m.processes {
		m.queryApplied(p, q)
	}
	m.remove(p, e)
	m.step++ // the next status is later than the confirmations
	m.poll(p, e)
	m.remove(p, e)
}

func (m *memoryModel) randomAction() {
	p := m.processes[m.draw(len(m.processes), "process")]
	e := m.engines[0]
	if m.draw(4, "reads") > 0 {
		m.read(p)
	}
	switch what := m.draw(24, "action"); {
	case what < 8:
		m.actAsHolder(p, e)
	case what < 14:
		if m.draw(2, "looks") > 0 {
			m.poll(p, e)
		}
		m.begin(p, e, m.draw)
	case what < 19:
		if len(m.orders) > 0 {
			m.advanceOrder(m.orders[m.draw(len(m.orders), "which")])
		}
	case what == 19:
		m.remove(p, e)
		m.queryApplied(p, m.processes[m.draw(len(m.processes), "asked")])
	case what == 20:
		m.restart(e)
	case what == 21:
		m.join(p)
	case what == 22:
		m.claim(p)
	case m.draw(4, "leave") > 0:
		m.leave(p)
	default:
		m.replaceProcess(slices.Index(m.processes, p))
	}
}
