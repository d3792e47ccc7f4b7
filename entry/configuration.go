package entry

import (
	"context"
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"greengageferry/config"
	"greengageferry/logsync"
	"greengageferry/replay"
)

// inForce is the configuration in force, with where each value comes from.
type inForce struct {
	config     *config.Config
	provenance config.Provenance
	changed    uint64 // offset of the verdict that put it in force
}

// configuration is a duty: it builds what is in force each time the config
// stream's view changes. What it once had it keeps until something newer is
// there, so an outage of the log takes nothing out of force.
type configuration struct {
	follower *logsync.Follower[replay.ConfigView]
	builder  *config.Builder
	log      logrus.FieldLogger
	current  atomic.Pointer[inForce]
}

func newConfiguration(follower *logsync.Follower[replay.ConfigView], log logrus.FieldLogger) *configuration {
	return &configuration{follower: follower, builder: config.NewBuilder(), log: log}
}

// Config implements caller.Directory. It is nil before any is known.
func (c *configuration) Config() *config.Config {
	current := c.current.Load()
	if current == nil {
		return nil
	}
	return current.config
}

// run follows the view until ctx ends.
func (c *configuration) run(ctx context.Context) error {
	for {
		changed := c.follower.Changed()
		c.refresh()
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}

// refresh builds the configuration if it isn't the one in force yet.
func (c *configuration) refresh() {
	view := c.follower.View()
	if view == nil {
		return
	}
	last := c.current.Load()
	if last != nil && last.changed == uint64(view.LastChange) {
		return
	}
	built, provenance, refusal := c.builder.BuildLenient(logsync.Files(view))
	if refusal != nil {
		// The verdict on the log stands, whatever this program makes of it.
		c.log.WithFields(logrus.Fields{"file": refusal.File, "line": refusal.Line, "reason": refusal.Reason}).
			Warn("configuration in force is not valid for this program")
	}
	if built == nil {
		return
	}
	c.current.Store(&inForce{config: built, provenance: provenance, changed: uint64(view.LastChange)})
	c.log.WithFields(logrus.Fields{
		"offset":   view.LastChange,
		"files":    len(view.Files),
		"models":   len(built.Models),
		"adapters": len(built.Adapters),
		"services": len(built.Services),
	}).Info("configuration in force")
}
