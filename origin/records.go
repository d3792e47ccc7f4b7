package origin

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// maxRecords bounds the streams that an instance remembers, some 100 bytes each.
const maxRecords = 1 << 16

// Stream identifies a stream by the hash of the id of the caller's attempt that began it.
type Stream uint64

// StreamOf returns the stream that the caller's attempt with the id began. It is never 0.
func StreamOf(id string) Stream { return Stream(max(xxhash.Sum64String(id), 1)) }

// Record is what an instance remembers of a stream.
type Record struct {
	Stream  Stream
	Service string
	Version string // software version of the server that sent the first event; not empty
	Began   time.Time
	Model   string // empty: not known
	Weights int64  // version of the model's weights that wrote the newest event; 0: not known
	Server  string // id of the server that wrote it; empty: not known
}

// Records holds at which software version streams began. It is not safe for concurrent use.
type Records struct {
	lifetime time.Duration // how long a stream lives at most
	byStream map[Stream]Record
	own      []Record // those that began at this instance and weren't told to others, oldest first
	dropped  int      // for want of room
}

// NewRecords returns an empty Records.
func NewRecords(lifetime time.Duration) *Records {
	return &Records{lifetime: lifetime, byStream: map[Stream]Record{}}
}

// SetLifetime sets how long a stream lives at most.
func (r *Records) SetLifetime(d time.Duration) { r.lifetime = d }

// AddOwn remembers a stream that began at this instance, or whose version of the weights changed
// here.
func (r *Records) AddOwn(rec Record) {
	if r.Add(rec) {
		r.own = append(r.own, rec)
	}
}

// Add remembers a stream, and reports whether there is room for it. The highest version of the
// weights that is ever known stays, since it doesn't go back.
func (r *Records) Add(rec Record) bool {
	before, known := r.byStream[rec.Stream]
	if !known && len(r.byStream) >= maxRecords {
		r.dropped++
		return false
	}
	if before.Weights > rec.Weights {
		rec.Weights, rec.Server = before.Weights, before.Server
	}
	r.byStream[rec.Stream] = rec
	return true
}

// Find returns what is remembered of a stream, and whether it is.
func (r *Records) Find(s Stream) (Record, bool) {
	rec, ok := r.byStream[s]
	return rec, ok
}

// TakeOwn returns what was added by AddOwn and wasn't returned before, as far as tell returns true.
func (r *Records) TakeOwn(tell func(Record) bool) []Record {
	var out, kept []Record
	for _, rec := range r.own {
		if tell(rec) {
			out = append(out, rec)
		} else {
			kept = append(kept, rec)
		}
	}
	r.own = kept
	return out
}

// Expire forgets streams that can't live any more.
func (r *Records) Expire(now time.Time) {
	for s, rec := range r.byStream {
		if now.Sub(rec.Began) > r.lifetime {
			delete(r.byStream, s)
		}
	}
	n := 0
	for n < len(r.own) && now.Sub(r.own[n].Began) > r.lifetime {
		n++
	}
	r.own = r.own[n:]
}

// Len returns how many streams are remembered, and how many weren't for want of room.
func (r *Records) Len() (remembered, dropped int) { return len(r.byStream), r.dropped }
