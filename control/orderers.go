package control

import (
	"slices"
	"time"

	"greengageferry/infra"
	"greengageferry/record"
	"greengageferry/replay"
)

// membership is this process's standing as an orderer. An order may be sent
// only while the control stream shows the very join that this process wrote: a
// join of an earlier process in the same name says nothing of what this one
// has read.
type membership struct {
	instance string
	started  time.Time
	late     time.Duration // after the start, an earlier process's orders may still arrive
	joined   infra.Offset  // of the own join; 0: none known
	inFlight bool
	retryAt  time.Time
}

// may says whether orders may be sent as of the view.
func (m *membership) may(v *replay.ControlView) bool {
	return v != nil && m.joined != 0 && v.Orderers[m.instance] == m.joined
}

// next returns the records that make the instance an orderer, if it should be
// one and isn't. They are one batch. It joins only with none of its orders
// under way, since it isn't asked for orders from before its join.
func (m *membership) next(now time.Time, v *replay.ControlView, should, idle bool) []*record.Record {
	if !should || !idle || v == nil || m.inFlight || m.may(v) || now.Before(m.retryAt) {
		return nil
	}
	if m.joined > v.Offset {
		return nil // not read back yet
	}
	join := &record.Record{Body: &record.Record_OrdererJoin{OrdererJoin: &record.OrdererJoin{Instance: m.instance}}}
	if _, other := v.Orderers[m.instance]; !other {
		m.inFlight = true
		return []*record.Record{join}
	}
	// A join in this name that isn't this process's own: of an earlier process,
	// or one whose answer was lost.
	if now.Before(m.started.Add(m.late)) {
		return nil
	}
	m.inFlight = true
	return []*record.Record{leaveOf(m.instance), join}
}

// done takes in the end of the append: the join's offset, or 0.
func (m *membership) done(now time.Time, joined infra.Offset) {
	m.inFlight = false
	m.joined = joined
	if joined == 0 {
		m.retryAt = now.Add(appendRetry)
	}
}

func leaveOf(instance string) *record.Record {
	return &record.Record{Body: &record.Record_OrdererLeave{OrdererLeave: &record.OrdererLeave{Instance: instance}}}
}

// confirmation is an orderer's word on how far it has applied the stream.
type confirmation struct {
	joined infra.Offset // the join that it is of
	offset infra.Offset
}

// unconfirmed returns the orderers that joined before the assignment and
// aren't known to be past it, sorted. What an instance said of an offset holds
// for as long as its join does.
func unconfirmed(v *replay.ControlView, assignment infra.Offset, said map[string]confirmation) []string {
	var out []string
	for instance, joined := range v.Orderers {
		c := said[instance]
		if joined < assignment && !(c.joined == joined && c.offset >= assignment) {
			out = append(out, instance)
		}
	}
	slices.Sort(out)
	return out
}
