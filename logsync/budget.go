package logsync

import (
	"strings"

	"greengageferry/infra"
)

// Budget limits the rate of this instance's appends.
type Budget interface {
	// Rate returns this instance's current limit for the stream, in appends
	// per second, and the number of appends that it may send in a burst.
	Rate(stream string) (perSecond float64, burst int)
}

const (
	// DefaultTotalPerSecond is the append rate of all instances together. The
	// log sustains several hundred appends per second; the remainder is left to
	// the partners' operators and to the partners' other data on the log.
	DefaultTotalPerSecond = 300
	// singleWriterFraction is the fraction of the total for streams that one
	// instance writes at a time: a shard's batcher, or the lease holder of a
	// failure domain. The other appends (joins, verdicts, crashes) are few.
	singleWriterFraction = 0.8
	// singleWriterBurst lets a batcher or lease holder append without delay
	// after it was idle.
	singleWriterBurst = 8
	// instanceBurst lets an instance join its streams and report a few crashes
	// without delay. Its sustained rate is one append in six seconds when there
	// are 370 instances.
	instanceBurst = 5
)

// SharedBudget divides the append rate of the log among the instances. The
// rates of all instances add up to at most TotalPerSecond if the instances
// agree on the two counts.
type SharedBudget struct {
	TotalPerSecond      float64                  // appends per second of all instances; 0: DefaultTotalPerSecond
	LiveInstances       func() int               // returns the number of live entry instances
	SingleWriterStreams func() int               // returns the number of streams with one writer at a time: shards and failure domains
	IsWriter            func(stream string) bool // reports whether this instance is the current writer of the stream
}

// Rate implements Budget.
func (s SharedBudget) Rate(stream string) (float64, int) {
	total := s.TotalPerSecond
	if total == 0 {
		total = DefaultTotalPerSecond
	}
	if isSingleWriterStream(stream) && s.IsWriter(stream) {
		return total * singleWriterFraction / float64(max(s.SingleWriterStreams(), 1)), singleWriterBurst
	}
	return total * (1 - singleWriterFraction) / float64(max(s.LiveInstances(), 1)), instanceBurst
}

// isSingleWriterStream reports whether only one instance at a time writes to the
// stream.
func isSingleWriterStream(stream string) bool {
	return stream != infra.StreamConfig && stream != infra.StreamQuarantine && strings.Contains(stream, "/")
}
