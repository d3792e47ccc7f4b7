package entry

import (
	"context"
	"expvar"
	"time"

	"greengageferry/infra"
)

const (
	// hintsEvery is the time between two questions for cache events, one server
	// each: 0.5 calls a second, whatever the number of servers. What this
	// instance sent itself it knows already; the events tell what others sent
	// and what was dropped, and are late in any case.
	hintsEvery = 2 * time.Second
	// hintsTime bounds one question.
	hintsTime = time.Second
	// hintsServers bounds the servers that are asked in turn: those that this
	// instance used last. Full: the one that was asked last makes room.
	hintsServers = 32
	// hintsRing bounds the words of used servers that wait. Full: a word is
	// dropped, since the next request says it again.
	hintsRing = 64
)

// hints is a duty: it asks the backend servers that this instance uses, one
// after the other, which prompt prefixes they took in or dropped.
type hints struct {
	engine  infra.Engine
	ring    chan server
	cached  func(server string, events []infra.CacheEvent)
	metrics *expvar.Map
}

// server names a backend server and its address.
type server struct{ id, addr string }

// asked is a server that is asked in turn.
type asked struct {
	server
	after uint64 // sequence of the last event known
}

// used takes in that a request was sent to a model engine; it never waits.
func (h *hints) used(id, addr string) {
	select {
	case h.ring <- server{id, addr}:
	default:
	}
}

// run asks until ctx ends.
func (h *hints) run(ctx context.Context) error {
	ticker := time.NewTicker(hintsEvery)
	defer ticker.Stop()
	var turn []asked // the next to ask first
	for {
		select {
		case <-ctx.Done():
			return nil
		case s := <-h.ring:
			turn = include(turn, s)
		case <-ticker.C:
			if len(turn) == 0 {
				continue
			}
			next := turn[0]
			turn = turn[1:]
			if h.ask(ctx, &next) {
				turn = append(turn, next)
			}
		}
	}
}

// include puts a server that isn't there yet at the front.
func include(turn []asked, s server) []asked {
	for _, a := range turn {
		if a.server == s {
			return turn
		}
	}
	turn = append([]asked{{server: s}}, turn...)
	return turn[:min(len(turn), hintsServers)]
}

// ask says whether the server answered. One that didn't is left out until it is
// used again.
func (h *hints) ask(ctx context.Context, a *asked) bool {
	ctx, cancel := context.WithTimeout(ctx, hintsTime)
	defer cancel()
	events, err := h.engine.CacheEvents(ctx, a.addr, a.after)
	if err != nil {
		h.metrics.Add("failed", 1)
		return false
	}
	h.metrics.Add("events", int64(len(events)))
	if len(events) > 0 {
		a.after = events[len(events)-1].Sequence
		h.cached(a.id, events)
	}
	return true
}
