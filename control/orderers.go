package control

import (
	"slices"
	"time"

	"greengageferry/infra"
	"greengageferry/record"
	"greengageferry/replay"
)

// membership tracks whether this process is an orderer, that is, may send orders.
// It may only while the control stream shows the join that this process wrote: a
// join of an earlier process of the same instance doesn't tell what this process
// has read.
type membership struct {
	instance        string
	started         time.Time
	lateOrderWindow time.Duration // how long after started an earlier process's orders may still arrive
	joinOffset      infra.Offset  // of this process's join; 0: none known
	inFlight        bool
	retryAt         time.Time
}

// mayOrder reports whether orders may be sent as of the view.
func (m *membership) mayOrder(v *replay.ControlView) bool {
	return v != nil && m.joinOffset != 0 && v.Orderers[m.instance] == m.joinOffset
}

// next returns the batch of records that makes the instance an orderer, or
// nil if the instance shouldn't be one, is one, or has to wait. It joins only
// while none of its orders is in flight, because a removal doesn't wait for an
// instance's orders from before its join.
func (m *membership) next(now time.Time, v *replay.ControlView, shouldOrder, idle bool) []*record.Record {
	if !shouldOrder || !idle || v == nil || m.inFlight || m.mayOrder(v) || now.Before(m.retryAt) {
		return nil
	}
	if m.joinOffset > v.Offset {
		return nil // not read back yet
	}
	join := &record.Record{Body: &record.Record_OrdererJoin{OrdererJoin: &record.OrdererJoin{Instance: m.instance}}}
	if _, joined := v.Orderers[m.instance]; !joined {
		m.inFlight = true
		return []*record.Record{join}
	}
	// A join in this instance's name that isn't known to be this process's: of an
	// earlier process, or one whose append result was lost.
	if now.Before(m.started.Add(m.lateOrderWindow)) {
		return nil
	}
	m.inFlight = true
	return []*record.Record{leaveRecord(m.instance), join}
}

// appendDone handles the result of the append: the join's offset, or 0.
func (m *membership) appendDone(now time.Time, joinOffset infra.Offset) {
	m.inFlight = false
	m.joinOffset = joinOffset
	if joinOffset == 0 {
		m.retryAt = now.Add(appendRetryDelay)
	}
}

func leaveRecord(instance string) *record.Record {
	return &record.Record{Body: &record.Record_OrdererLeave{OrdererLeave: &record.OrdererLeave{Instance: instance}}}
}

// confirmation is an orderer's answer to a query.
type confirmation struct {
	joinOffset infra.Offset // the orderer's join when it was queried
	offset     infra.Offset // see Controller.Applied
}

// unconfirmedOrderers returns the orderers that joined before the assignment and
// haven't confirmed an applied offset at or past it, sorted. A confirmation is
// valid as long as the orderer's join is on the log.
func unconfirmedOrderers(v *replay.ControlView, assignment infra.Offset, confirmations map[string]confirmation) []string {
	var out []string
	for instance, joinOffset := range v.Orderers {
		c := confirmations[instance]
		if joinOffset < assignment && !(c.joinOffset == joinOffset && c.offset >= assignment) {
			out = append(out, instance)
		}
	}
	slices.Sort(out)
	return out
}
