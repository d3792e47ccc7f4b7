package control

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"greengageferry/decide"
	"greengageferry/infra"
	"greengageferry/replay"
)

// itemNames formats items for a log line: model@version or model/adapter@version,
// separated by commas.
func itemNames(items []infra.Item) string {
	var out []string
	for _, i := range items {
		out = append(out, itemName(i))
	}
	return strings.Join(out, ",")
}

func itemName(i infra.Item) string {
	if i.Model == "" {
		return "" // the item of a fence order
	}
	if i.Adapter != "" {
		return fmt.Sprintf("%s/%s@%s", i.Model, i.Adapter, i.Version)
	}
	return fmt.Sprintf("%s@%s", i.Model, i.Version)
}

// totalMiB returns the sum of the items' memory.
func totalMiB(items ...[]infra.Item) int64 {
	var out int64
	for _, i := range slices.Concat(items...) {
		out += i.MiB
	}
	return out
}

func (c *core) logAssignment(s *decide.PlanServer, reason string) {
	c.increment("assignments")
	c.log.WithFields(logrus.Fields{
		"server": s.ID, "reason": reason, "assigned": itemNames(s.Assigned), "lingering": itemNames(s.Lingering),
		"taken_mib": totalMiB(s.Assigned, s.Lingering), "memory_mib": s.MemoryMiB, "lease": c.lease.ID(),
	}).Info("assignment")
}

func (c *core) logRefusedMove(m decide.Move, reason string) {
	c.increment("moves_refused")
	c.log.WithFields(logrus.Fields{
		"server": m.Server, "reason": reason, "add": itemNames(m.Add), "drop": itemNames(m.Drop), "planned": m.Reason,
	}).Info("move refused")
}

func (c *core) logOrder(s *server, needed neededOrder, byHolder bool) {
	c.increment("orders")
	if !byHolder {
		c.increment("restores")
	}
	c.log.WithFields(logrus.Fields{
		"server": s.id, "order": needed.order.Kind, "item": itemName(needed.order.Item), "fence": needed.order.Fence,
		"reason": needed.reason, "boot": s.status.Boot, "restoring": !byHolder,
		"try": s.sent[orderKey{kind: needed.order.Kind, item: needed.order.Item.Key()}].tries,
	}).Info("order")
}

func (c *core) logRemoval(s *server, removed []infra.Item) {
	c.increment("removals")
	c.log.WithFields(logrus.Fields{
		"server": s.id, "items": itemNames(removed), "assignment": s.assignment, "fence_seen": s.status.Fence, "boot": s.status.Boot,
	}).Info("removal confirmed")
}

func (c *core) logReadiness(s *server, want *replay.Server, ready []infra.Item) {
	c.increment("readiness")
	boot := ""
	if s.status != nil {
		boot = s.status.Boot
	}
	c.log.WithFields(logrus.Fields{
		"server": s.id, "ready": itemNames(ready), "before": itemNames(want.Ready),
		"restarted": want.Boot != "" && boot != want.Boot, "failures": s.failures,
	}).Info("readiness")
}

func (c *core) logServerGone(s *server, want *replay.Server, memoryMiB int64) {
	c.increment("servers_gone")
	c.log.WithFields(logrus.Fields{
		"server": s.id, "assigned": itemNames(want.Assigned), "forgotten": memoryMiB == 0, "failures": s.failures,
	}).Warn("server gone")
}

func (c *core) logOrdererGone(instance string, now time.Time) {
	c.increment("orderers_gone")
	c.log.WithFields(logrus.Fields{
		"instance": instance, "unlisted_for": now.Sub(c.unlistedSince[instance]).Round(time.Second),
	}).Warn("orderer gone")
}
