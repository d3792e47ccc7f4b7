package entry

import (
	"context"
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"greengageferry/config"
	"greengageferry/logsync"
	"greengageferry/replay"
)

// activeConfig is the configuration in force, with the source of each value.
type activeConfig struct {
	config     *config.Config
	provenance config.Provenance
	offset     uint64 // log offset of the verdict that put config in force
}

// configTracker is a duty that builds the configuration in force each time the view of the
// config stream changes. A configuration stays in force until a newer one replaces it, so
// an outage of the log does not affect it.
type configTracker struct {
	follower *logsync.Follower[replay.ConfigView]
	builder  *config.Builder
	log      logrus.FieldLogger
	current  atomic.Pointer[activeConfig]
}

func newConfigTracker(follower *logsync.Follower[replay.ConfigView], log logrus.FieldLogger) *configTracker {
	return &configTracker{follower: follower, builder: config.NewBuilder(), log: log}
}

// Config implements caller.Directory. It returns nil until a configuration is known.
func (c *configTracker) Config() *config.Config {
	current := c.current.Load()
	if current == nil {
		return nil
	}
	return current.config
}

// run rebuilds the configuration on each change of the view, until ctx ends.
func (c *configTracker) run(ctx context.Context) error {
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

// refresh builds the view's configuration unless it is already in force.
func (c *configTracker) refresh() {
	view := c.follower.View()
	if view == nil {
		return
	}
	last := c.current.Load()
	if last != nil && last.offset == uint64(view.LastChange) {
		return
	}
	built, provenance, refusal := c.builder.BuildLenient(logsync.Files(view))
	if refusal != nil {
		// The log's verdict decides what is in force, even if this version of the
		// program finds the configuration invalid.
		c.log.WithFields(logrus.Fields{"file": refusal.File, "line": refusal.Line, "reason": refusal.Reason}).
			Warn("configuration in force is not valid for this program")
	}
	if built == nil {
		return
	}
	c.current.Store(&activeConfig{config: built, provenance: provenance, offset: uint64(view.LastChange)})
	c.log.WithFields(logrus.Fields{
		"offset":   view.LastChange,
		"files":    len(view.Files),
		"models":   len(built.Models),
		"adapters": len(built.Adapters),
		"services": len(built.Services),
	}).Info("configuration in force")
}
