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

// domainsEvery is how often the configuration is looked at for a failure domain
// that is new: they come once in years, a second is nothing then, and at the
// start it is less than a first read takes.
const domainsEvery = 250 * time.Millisecond

// controlFollower follows one failure domain's control stream.
type controlFollower = logsync.Follower[replay.ControlView]

// domains is a duty: it follows the control stream of the own failure domain
// and of each that the configuration names.
type domains struct {
	own       string
	config    func() *config.Config
	follow    func(domain string) *controlFollower
	options   supervise.Options
	followers atomic.Pointer[map[string]*controlFollower] // replaced, never changed
}

func newDomains(own string, cfg func() *config.Config, follow func(string) *controlFollower, options supervise.Options) *domains {
	d := &domains{own: own, config: cfg, follow: follow, options: options}
	d.followers.Store(&map[string]*controlFollower{own: follow(own)})
	return d
}

// ownFollower returns the own failure domain's follower.
func (d *domains) ownFollower() *controlFollower { return (*d.followers.Load())[d.own] }

// views returns the newest view of each failure domain that has one.
func (d *domains) views() map[string]*replay.ControlView {
	views := map[string]*replay.ControlView{}
	for domain, follower := range *d.followers.Load() {
		if view := follower.View(); view != nil {
			views[domain] = view
		}
	}
	return views
}

// others returns the views but for the own failure domain's.
func (d *domains) others() map[string]*replay.ControlView {
	views := d.views()
	delete(views, d.own)
	return views
}

// run follows until ctx ends. A failure domain that the configuration no longer
// names is still followed: its backend servers may be serving yet, and an idle
// stream costs one read each 20 s.
func (d *domains) run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	running := map[string]bool{}
	ticker := time.NewTicker(domainsEvery)
	defer ticker.Stop()
	for {
		d.add(d.wanted())
		for domain, follower := range *d.followers.Load() {
			if running[domain] {
				continue
			}
			running[domain] = true
			duty := supervise.Duty{Name: follower.Stream(), Run: follower.Run}
			group.Go(func() error { return supervise.Run(ctx, d.options, duty) })
		}
		select {
		case <-ctx.Done():
			return group.Wait()
		case <-ticker.C:
		}
	}
}

// wanted returns the failure domains that the configuration names.
func (d *domains) wanted() []string {
	cfg := d.config()
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

// add makes a follower for each domain that has none.
func (d *domains) add(names []string) {
	current := *d.followers.Load()
	next := maps.Clone(current)
	for _, name := range names {
		if next[name] == nil {
			next[name] = d.follow(name)
		}
	}
	if len(next) > len(current) {
		d.followers.Store(&next)
	}
}
