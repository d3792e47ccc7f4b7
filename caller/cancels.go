package caller

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"greengageferry/decide"
)

const (
	// cancelTimeout limits one cancel request. An engine that doesn't answer in
	// time ends the attempt anyway when it notices that the connection is closed.
	cancelTimeout = 2 * time.Second
	// maxConcurrentCancels keeps unresponsive servers from delaying cancels at
	// others.
	maxConcurrentCancels = 16
)

// cancelRequest asks a server to cancel an attempt, or, if attempt is empty, only for
// its boot ID.
type cancelRequest struct {
	server  decide.Server
	attempt string
}

// cancelAttempt queues the cancel of an attempt that produced no complete answer and
// may still run. If the queue is full the cancel is dropped and counted, since the
// engine also ends an attempt whose connection is closed.
func (s *Server) cancelAttempt(server decide.Server, attempt string) {
	if !s.cancels.put(cancelRequest{server, attempt}) {
		s.metrics.count("cancels_dropped")
	}
}

func (s *Server) sendCancel(ctx context.Context, o cancelRequest) {
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	if o.attempt == "" {
		if status, err := s.opts.Engine.Status(ctx, o.server.Addr); err == nil {
			s.serverTracker.updateBoot(o.server.ID, status.Boot, time.Now())
		}
		return
	}
	if err := s.opts.Engine.Cancel(ctx, o.server.Addr, o.attempt); err != nil {
		s.metrics.count("cancels_failed")
		s.opts.Log.WithFields(logrus.Fields{"server": o.server.ID, "attempt": o.attempt, "error": err}).Warn("cancel failed")
	}
}
