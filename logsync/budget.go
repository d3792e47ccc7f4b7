package logsync

import (
	"strings"

	"greengageferry/infra"
)

// Budget says how many appends this instance may make.
type Budget interface {
	// Rate returns the appends a second, and how many may go at once, that this
	// instance may make to the stream now.
	Rate(stream string) (perSecond float64, burst int)
}

const (
	// DefaultTotal is the appends a second that this system takes of the log's
	// several hundred, all instances together: the partners' operators and
	// what else they keep there need the rest.
	DefaultTotal = 300
	// leadPart is the part of the total that goes to the streams which one
	// instance writes at a time: a shard's batcher, a domain's lease holder.
	// The others' appends (joins, verdicts, crashes) are few.
	leadPart = 0.8
	// leadBurst lets a batcher or holder that was idle act at once.
	leadBurst = 8
	// ownBurst lets an instance join its streams and report a few crashes at
	// once; at 370 instances its steady share is one append in six seconds.
	ownBurst = 5
)

// Share is this instance's part of the log's budget: the sum over all
// instances that count each other alike stays within Total.
type Share struct {
	Total   float64                  // appends a second of the whole system; 0: DefaultTotal
	Live    func() int               // entry instances on the list
	Streams func() int               // streams with one writer at a time: shards and failure domains
	Leads   func(stream string) bool // this instance is that writer now
}

// Rate implements Budget.
func (s Share) Rate(stream string) (float64, int) {
	total := s.Total
	if total == 0 {
		total = DefaultTotal
	}
	if ledStream(stream) && s.Leads(stream) {
		return total * leadPart / float64(max(s.Streams(), 1)), leadBurst
	}
	return total * (1 - leadPart) / float64(max(s.Live(), 1)), ownBurst
}

func ledStream(stream string) bool {
	return stream != infra.StreamConfig && stream != infra.StreamQuarantine && strings.Contains(stream, "/")
}
