package entry

import (
	"context"
	"maps"
	"reflect"
	"time"

	"github.com/sirupsen/logrus"

	"greengageferry/config"
	"greengageferry/decide"
	"greengageferry/fleet"
	"greengageferry/infra"
	"greengageferry/replay"
)

// routingEvery is the least time between two routing tables. Together with the
// list's second it keeps new work from a leaving server within the 3 s that are
// promised, and it bounds what tables cost while many models move.
const routingEvery = 250 * time.Millisecond

// routing is a duty: it builds the routing table anew when what it rests on has
// changed. Comparing a few pointers each time is cheaper and simpler than being
// told by every source.
type routing struct {
	domain   string
	config   func() *config.Config
	list     func() *fleet.List
	controls func() map[string]*replay.ControlView
	publish  func(*decide.Table)
	log      logrus.FieldLogger
}

// inputs are what the last table was built from.
type inputs struct {
	config   *config.Config
	list     []infra.Instance
	controls map[string]*replay.ControlView
}

func (r *routing) run(ctx context.Context) error {
	ticker := time.NewTicker(routingEvery)
	defer ticker.Stop()
	var last inputs
	for {
		last = r.refresh(last)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// refresh publishes a new table if its inputs have changed, and returns them.
func (r *routing) refresh(last inputs) inputs {
	list := r.list()
	now := inputs{config: r.config(), controls: r.controls()}
	if list != nil {
		now.list = list.Instances
	}
	if now.config == nil || list == nil || same(now, last) {
		return last
	}
	table := fleet.BuildTable(r.domain, now.config, list, now.controls)
	r.publish(table)
	r.log.WithFields(logrus.Fields{
		"servers":   len(table.Servers),
		"targets":   len(table.Targets),
		"unplaced":  unplaced(table),
		"domains":   len(now.controls),
		"entries":   len(table.Entries),
		"instances": len(now.list),
	}).Info("routing table changed")
	return now
}

// same says whether two tables would be the same.
func same(a, b inputs) bool {
	return a.config == b.config && sameList(a.list, b.list) && maps.EqualFunc(a.controls, b.controls, sameServers)
}

// sameServers says whether two views share their servers, as they do unless
// something there has changed: a lease's renewal alone makes no new table.
func sameServers(a, b *replay.ControlView) bool {
	return reflect.ValueOf(a.Servers).Pointer() == reflect.ValueOf(b.Servers).Pointer()
}

// sameList says whether it is the same list, which the watcher keeps while
// nothing in it changes.
func sameList(a, b []infra.Instance) bool {
	if len(a) != len(b) {
		return false
	}
	return len(a) == 0 || &a[0] == &b[0]
}

// unplaced counts the targets without a ready replica.
func unplaced(t *decide.Table) int {
	n := 0
	for _, target := range t.Targets {
		if len(target.Replicas) == 0 {
			n++
		}
	}
	return n
}
