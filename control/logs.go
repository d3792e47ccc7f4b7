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

// names writes items for a log line: model@version or model/adapter@version.
func names(items []infra.Item) string {
	var out []string
	for _, i := range items {
		out = append(out, itemName(i))
	}
	return strings.Join(out, ",")
}

func itemName(i infra.Item) string {
	if i.Model == "" {
		return "" // an order that only raises the number
	}
	if i.Adapter != "" {
		return fmt.Sprintf("%s/%s@%s", i.Model, i.Adapter, i.Version)
	}
	return fmt.Sprintf("%s@%s", i.Model, i.Version)
}

func mib(items ...[]infra.Item) int64 {
	var out int64
	for _, i := range slices.Concat(items...) {
		out += i.MiB
	}
	return out
}

func (c *core) logAssignment(s *decide.PlanServer, reason string) {
	c.add("assignments")
	c.log.WithFields(logrus.Fields{
		"server": s.ID, "reason": reason, "assigned": names(s.Assigned), "lingering": names(s.Lingering),
		"taken_mib": mib(s.Assigned, s.Lingering), "memory_mib": s.MemoryMiB, "lease": c.lease.ID(),
	}).Info("assignment")
}

func (c *core) refuseMove(m decide.Move, why string) {
	c.add("moves_refused")
	c.log.WithFields(logrus.Fields{
		"server": m.Server, "reason": why, "add": names(m.Add), "drop": names(m.Drop), "planned": m.Reason,
	}).Info("move refused")
}

func (c *core) logOrder(s *server, w wanted, underLog bool) {
	c.add("orders")
	if !underLog {
		c.add("restores")
	}
	c.log.WithFields(logrus.Fields{
		"server": s.id, "order": w.order.Kind, "item": itemName(w.order.Item), "fence": w.order.Fence,
		"reason": w.reason, "boot": s.status.Boot, "restoring": !underLog,
		"try": s.sent[orderKey{kind: w.order.Kind, item: w.order.Item.Key()}].tries,
	}).Info("order")
}

func (c *core) logRemoval(s *server, gone []infra.Item) {
	c.add("removals")
	c.log.WithFields(logrus.Fields{
		"server": s.id, "items": names(gone), "assignment": s.assignment, "fence_seen": s.status.Fence, "boot": s.status.Boot,
	}).Info("removal confirmed")
}

func (c *core) logReadiness(s *server, want *replay.Server, ready []infra.Item) {
	c.add("readiness")
	boot := ""
	if s.status != nil {
		boot = s.status.Boot
	}
	c.log.WithFields(logrus.Fields{
		"server": s.id, "ready": names(ready), "before": names(want.Ready),
		"restarted": want.Boot != "" && boot != want.Boot, "failures": s.failures,
	}).Info("readiness")
}

func (c *core) logRetire(s *server, want *replay.Server, memory int64) {
	c.add("servers_gone")
	c.log.WithFields(logrus.Fields{
		"server": s.id, "assigned": names(want.Assigned), "forgotten": memory == 0, "failures": s.failures,
	}).Warn("server gone")
}

func (c *core) logDeparture(instance string, now time.Time) {
	c.add("orderers_gone")
	c.log.WithFields(logrus.Fields{
		"instance": instance, "unlisted_for": now.Sub(c.unlisted[instance]).Round(time.Second),
	}).Warn("orderer gone")
}
