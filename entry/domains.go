package entry

import (
	"context"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"greengageferry/config"
	"greengageferry/logsync"
	"greengageferry/replay"
	"greengageferry/supervise"
)

// domainCheckInterval is the time between two checks of the configuration for new failure
// domains. New ones are rare; at startup the interval is shorter than a first read of a
// stream.
const domainCheckInterval = 250 * time.Millisecond

// controlFollower follows one failure domain's control stream.
type controlFollower = logsync.Follower[replay.ControlView]

// controlFollowers is a duty that follows the control streams of its own failure domain and
// of each failure domain that the configuration names.
type controlFollowers struct {
	ownDomain   string
	config      func() *config.Config
	newFollower func(domain string) *controlFollower
	options     supervise.Options
	followers   atomic.Pointer[map[string]*controlFollower] // by failure domain; the map is replaced, never modified
}

func newControlFollowers(ownDomain string, cfg func() *config.Config, newFollower func(string) *controlFollower, options supervise.Options) *controlFollowers {
	d := &controlFollowers{ownDomain: ownDomain, config: cfg, newFollower: newFollower, options: options}
	d.followers.Store(&map[string]*controlFollower{ownDomain: newFollower(ownDomain)})
	return d
}

// ownFollower returns the follower of the instance's own failure domain.
func (c *controlFollowers) ownFollower() *controlFollower { return (*c.followers.Load())[c.ownDomain] }

// views returns the newest view of each failure domain that has one, by failure domain.
func (c *controlFollowers) views() map[string]*replay.ControlView {
	views := map[string]*replay.ControlView{}
	for domain, follower := range *c.followers.Load() {
		if view := follower.View(); view != nil {
			views[domain] = view
		}
	}
	return views
}

// otherViews returns the views of all failure domains but the instance's own.
func (c *controlFollowers) otherViews() map[string]*replay.ControlView {
	views := c.views()
	delete(views, c.ownDomain)
	return views
}

// run runs the followers until ctx ends. A failure domain that the configuration no longer
// names is still followed: its backend servers may still be serving, and an idle stream
// costs one read every 20 s.
func (c *controlFollowers) run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	running := map[string]bool{}
	ticker := time.NewTicker(domainCheckInterval)
	defer ticker.Stop()
	for {
		c.addFollowers(c.configuredDomains())
		for domain, follower := range *c.followers.Load() {
			if running[domain] {
				continue
			}
			running[domain] = true
			duty := supervise.Duty{Name: follower.Stream(), Run: follower.Run}
			group.Go(func() error { return supervise.Run(ctx, c.options, duty) })
		}
		select {
		case <-ctx.Done():
			return group.Wait()
		case <-ticker.C:
		}
	}
}

// configuredDomains returns the failure domains that the configuration names, sorted.
func (c *controlFollowers) configuredDomains() []string {
	cfg := c.config()
	if cfg == nil {
		return nil
	}
	names := map[string]bool{}
	for _, pool := range cfg.Pools {
		for _, domain := range pool.FailureDomains {
			names[domain] = true
		}
	}
	return slices.Sorted(maps.Keys(names))
}

// addFollowers creates a follower for each named domain that has none.
func (c *controlFollowers) addFollowers(names []string) {
	current := *c.followers.Load()
	next := maps.Clone(current)
	for _, name := range names {
		if next[name] == nil {
			next[name] = c.newFollower(name)
		}
	}
	if len(next) > len(current) {
		c.followers.Store(&next)
	}
}
