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

// The model: a log, processes that read it at their own pace and act on what
// they read, orders in their hands and on the network, which delays, doubles
// and drops them, and two servers that do as they are told. It has no time:
// any process may claim the lease at any moment, so what holds in it holds
// however wrong the clocks are. The records' rules, the reconciler, the removal
// rule and the orders under way are the code itself.

// broken switches a rule off.
type broken struct {
	removal      bool // Removal waits for nothing
	asking       bool // no orderer is asked about an engine that ignores numbers
	fence        bool // nothing waits for an engine to have seen the assignment's number
	statusAfter  bool // Removal rests on a status from before the orderers' word
	handCounted  bool // an order in a process's hand isn't under way
	netCounted   bool // an order without an answer isn't under way
	newest       bool // a process orders from assignments that it knows to be superseded
	fenceOfOrder bool // an order bears its lease's number, not its assignment's
	joined       bool // a process orders without having joined
	idleLeave    bool // a process leaves the orderers with orders under way
	fits         bool // items from before the first assignment aren't reckoned with
	fenceKept    bool // an engine that refuses old numbers forgets its number at a restart
}

type modelEngine struct {
	id      string
	ignores bool
	memory  int64
	fence   uint64
	boot    int
	items   map[infra.Key]infra.Item
}

func (e *modelEngine) taken() int64 {
	var out int64
	for _, i := range e.items {
		out += i.MiB
	}
	return out
}

func (e *modelEngine) status() infra.ServerStatus {
	st := infra.ServerStatus{ID: e.id, Boot: fmt.Sprint(e.boot), MemoryMiB: e.memory}
	if !e.ignores {
		st.Fence = e.fence
	}
	for _, i := range e.items {
		st.Items = append(st.Items, infra.ResidentItem{Item: i, State: infra.ItemReady})
	}
	return st
}

func (e *modelEngine) arrive(o infra.Order) {
	if !e.ignores && o.Fence < e.fence {
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
	by     *process
	server string
	order  infra.Order
	id     int  // in the process's underWay; 0: not counted
	sent   bool // on the network; otherwise in the process's hand
}

type process struct {
	id       string
	machine  *replay.Control
	view     *replay.ControlView
	lease    infra.Offset
	joined   infra.Offset
	servers  map[string]*server
	said     map[string]confirmation
	underWay *underWay
	known    []replay.Server // every assignment ever read, for the rule newest
}

func (p *process) applied(now time.Time) infra.Offset {
	if joined, is := p.view.Orderers[p.id]; is && joined != p.joined {
		return 0
	}
	return p.underWay.floor(now, p.view.Offset)
}

type model struct {
	t         *rapid.T
	off       broken
	records   []*record.Record
	engines   []*modelEngine
	processes []*process
	orders    []*modelOrder
	born      int
	step      int
}

func (m *model) now() time.Time { return time.Unix(int64(m.step), 0) }

func (m *model) draw(n int, what string) int { return rapid.IntRange(0, n-1).Draw(m.t, what) }

func (m *model) append(body *record.Record) infra.Offset {
	m.records = append(m.records, body)
	return infra.Offset(len(m.records))
}

func (m *model) spawn() {
	m.born++
	p := &process{
		id: fmt.Sprint("p", m.born), machine: replay.NewControl(),
		servers: map[string]*server{}, said: map[string]confirmation{}, underWay: newUnderWay(0),
	}
	for _, e := range m.engines {
		p.servers[e.id] = newServer(e.id)
	}
	m.processes = append(m.processes, p)
	m.read(p)
}

// read brings the process to the log's end.
func (m *model) read(p *process) {
	for int(p.machine.Offset()) < len(m.records) {
		next := p.machine.Offset() + 1
		p.machine.Apply(next, m.records[next-1])
		if m.records[next-1].GetAssignment() != nil {
			if s := p.machine.View().Servers[m.records[next-1].GetAssignment().Server]; s != nil && s.Assignment == next {
				p.known = append(p.known, *s)
			}
		}
	}
	p.view = p.machine.View()
	for id, want := range p.view.Servers {
		p.servers[id].assigned(m.now(), want)
	}
}

func (m *model) claim(p *process) {
	l := p.view.Lease
	offset := m.append(&record.Record{Body: &record.Record_LeaseClaim{LeaseClaim: &record.LeaseClaim{
		Holder: p.id, DurationMs: 1, Previous: uint64(l.ID), LastSeen: uint64(l.Renewed),
	}}})
	p.lease = offset
	m.read(p)
}

var modelItems = []infra.Item{
	{Model: "a", Version: "1", MiB: 2}, {Model: "b", Version: "1", MiB: 2}, {Model: "c", Version: "1", MiB: 1},
}

// assignAny assigns one item, or none.
func (m *model) assignAny(p *process, e *modelEngine) {
	var items []infra.Item
	if i := m.draw(len(modelItems)+2, "item"); i < len(modelItems) {
		items = append(items, modelItems[i])
	}
	m.assign(p, e, items...)
}

func (m *model) assign(p *process, e *modelEngine, items ...infra.Item) {
	if !m.off.fits && !replay.Fits(e.memory, items, p.servers[e.id].foreign(p.view.Servers[e.id])) {
		return
	}
	m.append(&record.Record{Body: &record.Record_Assignment{Assignment: &record.Assignment{
		Lease: uint64(p.lease), Server: e.id, MemoryMib: e.memory, Items: replay.ItemRecords(items),
	}}})
}

func (m *model) poll(p *process, e *modelEngine) { p.servers[e.id].polled(m.now(), e.status()) }

func (m *model) remove(p *process, e *modelEngine) {
	s, want := p.servers[e.id], p.view.Servers[e.id]
	if want == nil || s.status == nil {
		return
	}
	if e.ignores && s.confirmedFor != want.Assignment && len(unconfirmed(p.view, want.Assignment, p.said)) == 0 {
		s.confirmedFor, s.confirmedAt = want.Assignment, m.now()
	}
	gone := removable(m.seenBy(p, s, want), want, e.ignores)
	if m.off.removal {
		gone = want.Lingering
	}
	if len(gone) == 0 {
		return
	}
	m.append(&record.Record{Body: &record.Record_Removal{Removal: &record.Removal{
		Lease: uint64(p.lease), Server: e.id, Assignment: uint64(want.Assignment), Items: replay.ItemRecords(gone),
	}}})
}

// seenBy returns what the process knows of the server, altered so that the
// rules that are off are met.
func (m *model) seenBy(p *process, s *server, want *replay.Server) *server {
	altered := *s
	if s.status == nil {
		return &altered
	}
	status := *s.status
	altered.status = &status
	if m.off.fence || m.off.fenceOfOrder && status.Fence >= uint64(p.view.Lease.ID) {
		status.Fence = uint64(want.Assignment)
	}
	if m.off.asking {
		altered.confirmedFor, altered.confirmedAt = want.Assignment, time.Time{}
	}
	if m.off.statusAfter {
		altered.confirmedAt = time.Time{}
	}
	if m.off.fits {
		status.Items = slices.DeleteFunc(slices.Clone(status.Items), func(r infra.ResidentItem) bool {
			return !holds(want.Assigned, r.Key()) && !holds(want.Lingering, r.Key())
		})
	}
	return &altered
}

func (m *model) ask(p, q *process) {
	joined, is := p.view.Orderers[q.id]
	if !is {
		return
	}
	offset := q.applied(m.now())
	p.said[q.id] = confirmation{joined: joined, offset: offset}
}

// begin takes an order in hand: it is noted as under way, and then checked.
func (m *model) begin(p *process, e *modelEngine, choose func(n int, what string) int) *modelOrder {
	may := p.joined != 0 && p.view.Orderers[p.id] == p.joined
	want := p.view.Servers[e.id]
	if !may && !m.off.joined || want == nil {
		return nil
	}
	if m.off.newest {
		of := slices.DeleteFunc(slices.Clone(p.known), func(s replay.Server) bool { return s.ID != e.id })
		want = &of[choose(len(of), "old assignment")]
		p.servers[e.id].assignment = want.Assignment
		defer func() { p.servers[e.id].assignment = p.view.Servers[e.id].Assignment }()
	}
	seen := m.seenBy(p, p.servers[e.id], want)
	clear(seen.sent)
	far := m.now().Add(time.Hour) // the delays of orders are for routers, not for memory
	due := reconcile(far, Limits{}.withDefaults(), seen, want, e.ignores)
	if len(due) == 0 {
		return nil
	}
	o := &modelOrder{by: p, server: e.id, order: due[choose(len(due), "order")].order}
	if !m.off.handCounted {
		o.id = p.underWay.begin(want.Assignment)
	}
	if m.off.fenceOfOrder {
		o.order.Fence = uint64(p.view.Lease.ID)
	}
	m.orders = append(m.orders, o)
	return o
}

func (m *model) orderStep(o *modelOrder) {
	if !o.sent {
		o.sent = true
		return
	}
	fate := m.draw(4, "fate") // lost; arrived, with a copy to come; arrived; late, its call given up
	if fate == 1 || fate == 2 {
		m.engines[0].arrive(o.order)
	}
	if fate == 0 || fate == 2 {
		m.ended(o)
	} else if m.off.netCounted {
		o.by.underWay.end(m.now(), o.id, true)
	}
}

// ended takes the last copy of an order off the network.
func (m *model) ended(o *modelOrder) {
	m.orders = slices.DeleteFunc(m.orders, func(other *modelOrder) bool { return other == o })
	o.by.underWay.end(m.now(), o.id, true)
}

func (m *model) join(p *process) {
	if _, is := p.view.Orderers[p.id]; is {
		return
	}
	p.joined = m.append(&record.Record{Body: &record.Record_OrdererJoin{OrdererJoin: &record.OrdererJoin{Instance: p.id}}})
	m.read(p)
}

func (m *model) leave(p *process) {
	own := func(o *modelOrder) bool { return o.by == p }
	if _, is := p.view.Orderers[p.id]; !is || slices.ContainsFunc(m.orders, own) && !m.off.idleLeave {
		return
	}
	m.append(leaveOf(p.id))
	p.joined = 0
}

// replace ends a process for good: what it had sent has long arrived or never
// will, the list has lost it, and the lease's holder says that it has left.
func (m *model) replace(i int) {
	p := m.processes[i]
	m.orders = slices.DeleteFunc(m.orders, func(o *modelOrder) bool { return o.by == p })
	m.processes = slices.Delete(m.processes, i, i+1)
	m.append(leaveOf(p.id))
	m.spawn()
}

func (m *model) restart(e *modelEngine) {
	e.boot++
	clear(e.items)
	if m.off.fenceKept {
		e.fence = 0
	}
}

// progress lets the process do what a lease holder would do next.
func (m *model) progress(p *process, e *modelEngine) {
	want := p.view.Servers[e.id]
	if want == nil || len(want.Lingering) == 0 {
		m.assignAny(p, e)
		return
	}
	for _, q := range m.processes {
		m.ask(p, q)
	}
	m.remove(p, e)
	m.step++ // what is seen from here on was seen after the orderers' word
	m.poll(p, e)
	m.remove(p, e)
}

func (m *model) act() {
	p := m.processes[m.draw(len(m.processes), "process")]
	e := m.engines[0]
	if m.draw(4, "reads") > 0 {
		m.read(p)
	}
	switch what := m.draw(24, "action"); {
	case what < 8:
		m.progress(p, e)
	case what < 14:
		if m.draw(2, "looks") > 0 {
			m.poll(p, e)
		}
		m.begin(p, e, m.draw)
	case what < 19:
		if len(m.orders) > 0 {
			m.orderStep(m.orders[m.draw(len(m.orders), "which")])
		}
	case what == 19:
		m.remove(p, e)
		m.ask(p, m.processes[m.draw(len(m.processes), "asked")])
	case what == 20:
		m.restart(e)
	case what == 21:
		m.join(p)
	case what == 22:
		m.claim(p)
	case m.draw(4, "leave") > 0:
		m.leave(p)
	default:
		m.replace(slices.Index(m.processes, p))
	}
}
