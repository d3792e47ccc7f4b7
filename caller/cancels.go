package caller

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"greengageferry/decide"
)

const (
	// cancelTime bounds one order to cancel. An engine that doesn't answer in
	// it ends the attempt when it finds its reader gone.
	cancelTime = 2 * time.Second
	// cancelsAtOnce keeps servers that don't answer from holding up the others.
	cancelsAtOnce = 16
)

// cancelOrder asks for the end of an attempt, or, without one, only for the
// server's boot.
type cancelOrder struct {
	server  decide.Server
	attempt string
}

// cancelAttempt has an attempt ended that brought no whole answer and may still
// run. Ring full: dropped and counted, since the engine ends an attempt whose
// reader is gone as well.
func (s *Server) cancelAttempt(server decide.Server, attempt string) {
	if !s.cancels.put(cancelOrder{server, attempt}) {
		s.metrics.count("cancels_dropped")
	}
}

func (s *Server) sendCancel(ctx context.Context, o cancelOrder) {
	ctx, cancel := context.WithTimeout(ctx, cancelTime)
	defer cancel()
	if o.attempt == "" {
		if status, err := s.opts.Engine.Status(ctx, o.server.Addr); err == nil {
			s.flights.booted(o.server.ID, status.Boot, time.Now())
		}
		return
	}
	if err := s.opts.Engine.Cancel(ctx, o.server.Addr, o.attempt); err != nil {
		s.metrics.count("cancels_failed")
		s.opts.Log.WithFields(logrus.Fields{"server": o.server.ID, "attempt": o.attempt, "error": err}).Warn("cancel failed")
	}
}
