package residency

import (
	"slices"
	"time"

	"greengageferry/topology"
)

const (
	// orderTimeout bounds one order's call, and one question for a server's state.
	orderTimeout = 600 * time.Millisecond
	// lateOrder is how long after it was sent an order without an answer may yet
	// be carried out.
	lateOrder = 15 * time.Second
	// loadPatience is how many times as long as it usually takes a load is
	// waited for before the server is asked: loads slow each other down.
	loadPatience = 4
	// unloadPatience is how long an unload is waited for: it waits for the runs
	// of its model.
	unloadPatience = 8 * time.Second
	// stateLag is how old what a server says of itself may be: it is asked so
	// long after its last order.
	stateLag = 400 * time.Millisecond
	// askBusy is the time between two questions to a server whether an order for
	// a model is carried out.
	askBusy = 500 * time.Millisecond
	// entryLag is how long a server's entry may lag behind the orders that it
	// accepted: two heartbeats and a read.
	entryLag = 4 * time.Second
)

// server is what the lease holder knows of a server.
type server struct {
	topology.Server                      // as its entry says; its models as the server itself said where that is newer
	entry           topology.Server      // the newest entry
	entryNew        bool                 // its models haven't been taken over yet
	saidAt          time.Time            // when the server last said its state itself
	known           bool                 // sequence is the server's own word, or counted from it
	sequence        int64                // orders that it accepted
	done            []change             // accepted adapter orders that aren't in its models yet
	waitsFor        *Order               // an order for a model that is under way
	shownBefore     bool                 // an entry has shown what it was like before that order, or still does
	patience        time.Time            // until when it is waited for
	askAt           time.Time            // when to ask whether it is carried out
	ghosts          []ghost              // orders that may yet be carried out
	retiring        *retirement          // a model that is about to be unloaded
	dropped         []drop               // models that instances must not use here any more
	loaded          map[string]time.Time // when models were seen first, by name
	sending         bool                 // an order or a question is on its way
	pending         *Order               // the order on its way
	quiet           time.Time            // neither before it
}

// retirement is a model that instances have been told not to use any more at a
// server, and that is unloaded once they have heard of it.
type retirement struct {
	model string
	heir  string // the model that the place is for
	at    time.Time
	known time.Time // when all instances had been told
}

// drop is a model that instances must not use at a server until a time.
type drop struct {
	model string
	until time.Time
}

// change is an adapter order that the server accepted.
type change struct {
	order Order
	at    time.Time
}

// ghost is an order without an answer.
type ghost struct {
	order Order
	until time.Time
}

// update takes in the server's entry, which may be the same as before.
func (s *server) update(now time.Time, e topology.Server) {
	if !e.Born.Equal(s.entry.Born) {
		s.known, s.done, s.waitsFor = false, nil, nil // it started again, and knows nothing of before
	}
	if !e.Equal(&s.entry) {
		s.entry, s.entryNew = e, true
		if w := s.waitsFor; w != nil && e.Holds(w.Model, "") == w.Unload {
			s.shownBefore = true
		}
		models := s.Models
		s.Server = e
		s.Models = models
	}
	if s.entryNew && s.believes(now, &e) {
		s.Models, s.entryNew = e.Models, false
	}
	s.settle(now)
}

// believes says whether an entry's models are newer than what the server said
// itself: that was long enough ago, or the entry shows an order that came after.
// It shows that only where an entry has shown the time before the order: one that
// lacks a model may be from before the model was loaded, and its place would be
// filled while the server still unloads it.
func (s *server) believes(now time.Time, e *topology.Server) bool {
	w := s.waitsFor
	return now.Sub(s.saidAt) > entryLag || w != nil && s.shownBefore && e.Holds(w.Model, "") != w.Unload
}

// settle drops what the server's entry shows by now, and what was waited for
// long enough. An accepted order goes before the entry for as long as that may
// lag, also where the two agree: the entry that agrees may be from before the
// order that this one took back, and a place that seemed free then would be
// filled twice.
func (s *server) settle(now time.Time) {
	s.done = slices.DeleteFunc(s.done, func(c change) bool {
		if now.Sub(c.at) <= entryLag {
			return false
		}
		if s.Server.Holds(c.order.Model, c.order.Adapter) == c.order.Unload {
			s.known = false // the entry doesn't follow: the server has to say itself
			return false
		}
		return true
	})
	s.ghosts = slices.DeleteFunc(s.ghosts, func(g ghost) bool { return !now.Before(g.until) })
	s.dropped = slices.DeleteFunc(s.dropped, func(d drop) bool { return !now.Before(d.until) })
	s.noteLoaded(now)
	w := s.waitsFor
	switch {
	case w == nil:
	case s.Server.Holds(w.Model, "") != w.Unload:
		s.waitsFor = nil
	case !now.Before(s.patience):
		s.waitsFor, s.known = nil, false
	}
}

// noteLoaded notes since when each model has been there.
func (s *server) noteLoaded(now time.Time) {
	old := s.loaded
	s.loaded = make(map[string]time.Time, len(s.Models))
	for _, m := range s.Models {
		since, ok := old[m.Name]
		if !ok && old != nil {
			since = now
		}
		s.loaded[m.Name] = since // zero: since before this lease
	}
}

// said takes in what the server says of itself.
func (s *server) said(now time.Time, st State) {
	s.sending = false
	s.askAt = now.Add(askBusy)
	s.Models, s.sequence, s.saidAt, s.entryNew = st.Models, st.Sequence, now, false
	s.known, s.done = true, nil
	if st.Busy && s.waitsFor == nil { // with an order of another holder
		s.known, s.quiet = false, now.Add(stateLag)
	}
	s.settle(now)
}

// free says whether the server can be given an order now.
func (s *server) free(now time.Time) bool {
	return !s.Leaving && s.known && !s.sending && s.waitsFor == nil && s.retiring == nil && !now.Before(s.quiet)
}

// unsure says whether the server should be asked for its state now: where it
// isn't known, and where an order for a model should be carried out by now. Its
// entry would show that up to two seconds later, and never while the store is
// away.
func (s *server) unsure(now time.Time) bool {
	if s.Leaving || s.sending || now.Before(s.quiet) {
		return false
	}
	return !s.known || s.waitsFor != nil && !now.Before(s.askAt)
}

// beyond returns how what the server is believed to hold differs from its entry.
func (s *server) beyond() []topology.Held {
	var out []topology.Held
	note := func(dropped bool, model, adapter string) {
		out = append(out, topology.Held{Server: s.ID, Dropped: dropped, Model: model, Adapter: adapter})
	}
	for _, m := range s.Models {
		if s.gone(m.Name) {
			note(true, m.Name, "")
			continue
		}
		if !s.entry.Holds(m.Name, "") {
			note(false, m.Name, "")
		}
		for _, a := range s.adapters(m.Name) {
			if !s.entry.Holds(m.Name, a) {
				note(false, m.Name, a)
			}
		}
	}
	for _, m := range s.entry.Models {
		if !s.Server.Holds(m.Name, "") {
			note(true, m.Name, "")
			continue
		}
		held := s.adapters(m.Name)
		for _, a := range m.Adapters {
			if !slices.Contains(held, a) {
				note(true, m.Name, a)
			}
		}
	}
	return out
}

// gone says whether a model must not be used at the server any more.
func (s *server) gone(model string) bool {
	return s.goes(model) || slices.ContainsFunc(s.dropped, func(d drop) bool { return d.model == model })
}

// holds says whether the server holds the model or adapter, accepted orders included.
func (s *server) holds(model, adapter string) bool {
	held := s.Server.Holds(model, adapter)
	for _, c := range s.done {
		if c.order.Model == model && c.order.Adapter == adapter {
			held = !c.order.Unload
		}
	}
	return held
}

// models returns the models that take memory at the server, with one that is
// being loaded or that a late order may yet load.
func (s *server) models() []string {
	var out []string
	for _, m := range s.Models {
		out = append(out, m.Name)
	}
	for _, w := range []*Order{s.waitsFor, s.pending} {
		if w != nil && !w.Unload && !slices.Contains(out, w.Model) {
			out = append(out, w.Model)
		}
	}
	for _, g := range s.ghosts {
		if s.mayCome(g) && g.order.Adapter == "" && !slices.Contains(out, g.order.Model) {
			out = append(out, g.order.Model)
		}
	}
	return out
}

// mayCome says whether a load without an answer may yet be carried out beside
// what is ordered next. The server checks the order's number: one that is past
// is void, and the one that is due is taken by the order that comes next. One
// that is still ahead was sent before the server started again under the same
// id; so an order stays a ghost for its whole time, also once its number is past.
func (s *server) mayCome(g ghost) bool { return !g.order.Unload && g.order.Sequence > s.sequence }

// goes says whether the model is about to be unloaded.
func (s *server) goes(model string) bool {
	if s.retiring != nil && s.retiring.model == model {
		return true
	}
	for _, w := range []*Order{s.waitsFor, s.pending} {
		if w != nil && w.Unload && w.Adapter == "" && w.Model == model {
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
	for _, c := range s.done {
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

// adapterCount returns how many adapters take a place at the server.
func (s *server) adapterCount() int {
	n := 0
	for _, m := range s.Models {
		n += len(s.adapters(m.Name))
	}
	for _, g := range s.ghosts {
		if s.mayCome(g) && g.order.Adapter != "" {
			n++
		}
	}
	return n
}

// accepted takes in that the server accepted an order, and how long one for a
// model is waited for.
func (s *server) accepted(now time.Time, o Order, patience time.Duration) {
	s.askAt = now.Add(askBusy)
	if !o.Unload && !slices.Contains(s.OnDisk, o.Model) {
		s.askAt = now.Add(patience / loadPatience)
	}
	s.sequence = o.Sequence + 1
	if o.Adapter != "" {
		s.done = slices.DeleteFunc(s.done, func(c change) bool { return c.order.Model == o.Model && c.order.Adapter == o.Adapter })
		s.done = append(s.done, change{order: o, at: now})
		return
	}
	if o.Unload {
		s.dropped = append(s.dropped, drop{model: o.Model, until: now.Add(patience)})
	}
	s.waitsFor = &o
	s.shownBefore = s.entry.Holds(o.Model, "") == o.Unload
	s.patience = now.Add(patience)
}

// refused takes in that the server refused an order, or did not answer.
func (s *server) refused(now time.Time, o Order, mayHappen bool) {
	s.known, s.quiet = false, now.Add(stateLag)
	if mayHappen {
		s.ghosts = append(s.ghosts, ghost{order: o, until: now.Add(lateOrder)})
	}
}
