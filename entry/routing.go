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

// routingInterval is the minimum time between two routing tables. With the list's 1 s
// polling interval it keeps the promise that a leaving server gets no new work after 3 s,
// and it bounds the cost of rebuilding while many models move.
const routingInterval = 250 * time.Millisecond

// tableBuilder is a duty that rebuilds the routing table when one of its inputs has changed.
// Comparing a few pointers at each tick is simpler and cheaper than change notifications
// from every source.
type tableBuilder struct {
	domain       string
	config       func() *config.Config
	list         func() *fleet.List
	controlViews func() map[string]*replay.ControlView
	publish      func(*decide.Table)
	log          logrus.FieldLogger
}

// tableInputs holds what a table was built from.
type tableInputs struct {
	config       *config.Config
	list         []infra.Instance
	controlViews map[string]*replay.ControlView
}

func (b *tableBuilder) run(ctx context.Context) error {
	ticker := time.NewTicker(routingInterval)
	defer ticker.Stop()
	var last tableInputs
	for {
		last = b.refresh(last)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// refresh publishes a new table if the inputs differ from last, and returns the inputs of
// the newest table.
func (b *tableBuilder) refresh(last tableInputs) tableInputs {
	list := b.list()
	now := tableInputs{config: b.config(), controlViews: b.controlViews()}
	if list != nil {
		now.list = list.Instances
	}
	if now.config == nil || list == nil || sameInputs(now, last) {
		return last
	}
	table := fleet.BuildTable(b.domain, now.config, list, now.controlViews)
	b.publish(table)
	b.log.WithFields(logrus.Fields{
		"servers":   len(table.Servers),
		"targets":   len(table.Targets),
		"unplaced":  countUnplaced(table),
		"domains":   len(now.controlViews),
		"entries":   len(table.Entries),
		"instances": len(now.list),
	}).Info("routing table changed")
	return now
}

// sameInputs reports whether a and b would give the same table.
func sameInputs(a, b tableInputs) bool {
	return a.config == b.config && sameList(a.list, b.list) && maps.EqualFunc(a.controlViews, b.controlViews, sameServers)
}

// sameServers reports whether two views share their map of servers. Views share the map
// until a server changes, so a lease renewal alone causes no new table.
func sameServers(a, b *replay.ControlView) bool {
	return reflect.ValueOf(a.Servers).Pointer() == reflect.ValueOf(b.Servers).Pointer()
}

// sameList reports whether a and b are the same slice. The watcher keeps the slice while
// the list does not change.
func sameList(a, b []infra.Instance) bool {
	if len(a) != len(b) {
		return false
	}
	return len(a) == 0 || &a[0] == &b[0]
}

// countUnplaced returns the number of targets without a ready replica.
func countUnplaced(t *decide.Table) int {
	n := 0
	for _, target := range t.Targets {
		if len(target.Replicas) == 0 {
			n++
		}
	}
	return n
}
