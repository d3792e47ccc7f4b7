package entry

import (
	"context"
	"expvar"
	"time"

	"greengageferry/infra"
)

const (
	// cachePollInterval is the time between two polls for cache events. Each poll asks
	// one server, which makes 0.5 calls per second for any number of servers. More is
	// not needed: the instance already knows which prompts it sent itself, and the events
	// about other instances' prompts and about evictions are late in any case.
	cachePollInterval = 2 * time.Second
	// cachePollTimeout bounds one poll.
	cachePollTimeout = time.Second
	// maxPolledServers bounds the servers that are polled in turn: those that this
	// instance used most recently. Beyond the bound, the last one in the queue, which was
	// polled most recently, is dropped.
	maxPolledServers = 32
	// usedServerBuffer bounds the queued notices of used servers. When the buffer is full
	// a notice is dropped: the next request to the server sends another.
	usedServerBuffer = 64
)

// cachePoller is a duty that polls the backend servers that this instance uses, one after
// the other, for the prompt prefixes that they cached or evicted.
type cachePoller struct {
	engine      infra.Engine
	usedServers chan server
	applyEvents func(server string, events []infra.CacheEvent)
	metrics     *expvar.Map
}

// server identifies a backend server.
type server struct{ id, addr string }

// polledServer is a server in the polling queue.
type polledServer struct {
	server
	after uint64 // sequence number of the last event received
}

// markUsed notes that a request was sent to a model engine. It never blocks.
func (p *cachePoller) markUsed(id, addr string) {
	select {
	case p.usedServers <- server{id, addr}:
	default:
	}
}

// run polls until ctx ends.
func (p *cachePoller) run(ctx context.Context) error {
	ticker := time.NewTicker(cachePollInterval)
	defer ticker.Stop()
	var queue []polledServer // the next to poll first
	for {
		select {
		case <-ctx.Done():
			return nil
		case s := <-p.usedServers:
			queue = addServer(queue, s)
		case <-ticker.C:
			if len(queue) == 0 {
				continue
			}
			next := queue[0]
			queue = queue[1:]
			if p.poll(ctx, &next) {
				queue = append(queue, next)
			}
		}
	}
}

// addServer puts a server that is not in the queue at its front.
func addServer(queue []polledServer, s server) []polledServer {
	for _, polled := range queue {
		if polled.server == s {
			return queue
		}
	}
	queue = append([]polledServer{{server: s}}, queue...)
	return queue[:min(len(queue), maxPolledServers)]
}

// poll fetches a server's cache events and reports whether the server answered. A server
// that does not answer leaves the queue until it is used again.
func (p *cachePoller) poll(ctx context.Context, s *polledServer) bool {
	ctx, cancel := context.WithTimeout(ctx, cachePollTimeout)
	defer cancel()
	events, err := p.engine.CacheEvents(ctx, s.addr, s.after)
	if err != nil {
		p.metrics.Add("failed", 1)
		return false
	}
	p.metrics.Add("events", int64(len(events)))
	if len(events) > 0 {
		s.after = events[len(events)-1].Sequence
		p.applyEvents(s.id, events)
	}
	return true
}
