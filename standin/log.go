package standin

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"greengageferry/infra"
)

// Defaults of LogOptions, and limits of reads.
const (
	// DefaultAppendsPerSecond is the default of LogOptions.AppendsPerSecond. The
	// platform's log accepts several hundred appends per second.
	DefaultAppendsPerSecond = 400
	// DefaultRetention is the default of LogOptions.Retention.
	DefaultRetention = 6 * time.Hour
	// DefaultRetainedRecords is the default of LogOptions.RetainedRecords. It limits
	// a stream's memory.
	DefaultRetainedRecords = 100_000
	// maxReadBytes limits a batch. A larger first record is still returned.
	maxReadBytes = 8 << 20
	// maxReadWait limits how long a read waits for records (long polling).
	maxReadWait = time.Minute
)

// LogOptions configures a Log. Zero values mean the defaults.
type LogOptions struct {
	AppendsPerSecond float64       // above this rate, appends wait
	Retention        time.Duration // how long a record is kept
	RetainedRecords  int           // maximum number of records that a stream keeps
	History          bool          // keep all records ever appended, for Truth
}

func (o LogOptions) withDefaults() LogOptions {
	if o.AppendsPerSecond == 0 {
		o.AppendsPerSecond = DefaultAppendsPerSecond
	}
	if o.Retention == 0 {
		o.Retention = DefaultRetention
	}
	if o.RetainedRecords == 0 {
		o.RetainedRecords = DefaultRetainedRecords
	}
	return o
}

// Log is a fake of the platform's log. The operations for Faults are "log.append" and
// "log.read".
type Log struct {
	Faults Faults

	options LogOptions
	limiter *rate.Limiter
	mux     *http.ServeMux

	mu      sync.Mutex
	streams map[string]*logStream
	appends int
}

var (
	_ infra.Log = (*Log)(nil)
	_ Fake      = (*Log)(nil)
)

// logStream is one stream: the retained records and when each was appended.
type logStream struct {
	oldest  infra.Offset
	data    [][]byte
	times   []time.Time
	changed chan struct{} // closed and replaced when records are appended
	history []infra.Record
}

// next returns the offset that the next record gets.
func (s *logStream) next() infra.Offset { return s.oldest + infra.Offset(len(s.data)) }

// NewLog returns an empty log.
func NewLog(options LogOptions) *Log {
	options = options.withDefaults()
	l := &Log{
		options: options,
		limiter: rate.NewLimiter(rate.Limit(options.AppendsPerSecond), max(1, int(options.AppendsPerSecond/4))),
		mux:     http.NewServeMux(),
		streams: map[string]*logStream{},
	}
	l.mux.HandleFunc("POST "+infra.PathLogAppend, l.serveAppend)
	l.mux.HandleFunc("GET "+infra.PathLogRead, l.serveRead)
	return l
}

// Run implements Fake.
func (l *Log) Run(ctx context.Context) error { return waitDone(ctx) }

// ServeHTTP implements http.Handler.
func (l *Log) ServeHTTP(w http.ResponseWriter, r *http.Request) { l.mux.ServeHTTP(w, r) }

// Append implements infra.Log.
func (l *Log) Append(ctx context.Context, stream string, records [][]byte) (infra.Offset, error) {
	const op = "log.append"
	if len(records) == 0 || stream == "" {
		return 0, refusalError(op, "", infra.ReasonBadRequest)
	}
	if err := l.limiter.Wait(ctx); err != nil {
		return 0, refusalError(op, "", infra.ReasonOverloaded)
	}
	var offset infra.Offset
	err := l.Faults.inject(ctx, op, "", func() error {
		offset = l.append(stream, records)
		return nil
	})
	if err != nil {
		return 0, err
	}
	return offset, nil
}

// append adds the records as one unit and returns the offset of the first.
func (l *Log) append(stream string, records [][]byte) infra.Offset {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(stream)
	first := s.next()
	now := time.Now()
	for _, data := range records {
		if l.options.History {
			s.history = append(s.history, infra.Record{Offset: s.next(), Data: data})
		}
		s.data = append(s.data, data)
		s.times = append(s.times, now)
	}
	l.appends++
	l.trim(s)
	close(s.changed)
	s.changed = make(chan struct{})
	return first
}

// stream returns the stream, creating it if necessary. The caller holds mu.
func (l *Log) stream(name string) *logStream {
	s := l.streams[name]
	if s == nil {
		s = &logStream{oldest: 1, changed: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

// trim drops the records that exceed the retained count or age. The caller holds mu.
func (l *Log) trim(s *logStream) {
	drop := max(0, len(s.data)-l.options.RetainedRecords)
	limit := time.Now().Add(-l.options.Retention)
	for drop < len(s.times) && s.times[drop].Before(limit) {
		drop++
	}
	if drop == 0 {
		return
	}
	s.data = append([][]byte(nil), s.data[drop:]...)
	s.times = append([]time.Time(nil), s.times[drop:]...)
	s.oldest += infra.Offset(drop)
}

// Read implements infra.Log.
func (l *Log) Read(ctx context.Context, stream string, from infra.Offset, max int, wait time.Duration) (infra.Batch, error) {
	const op = "log.read"
	var batch infra.Batch
	err := l.Faults.inject(ctx, op, "", func() error {
		var err error
		batch, err = l.read(ctx, stream, from, max, min(wait, maxReadWait))
		return err
	})
	return batch, err
}

// read returns the records from an offset on, and waits for one if there is none.
func (l *Log) read(ctx context.Context, stream string, from infra.Offset, max int, wait time.Duration) (infra.Batch, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		batch, changed, err := l.readNow(stream, from, max)
		if err != nil || len(batch.Records) > 0 || wait <= 0 {
			return batch, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return batch, nil
		case <-ctx.Done():
			return batch, contextError(ctx, "log.read", "", infra.EffectNone)
		}
	}
}

// readNow returns the records that the stream has now, and a channel that closes
// when more are appended.
func (l *Log) readNow(stream string, from infra.Offset, max int) (infra.Batch, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(stream)
	l.trim(s)
	batch := infra.Batch{Oldest: s.oldest, Next: s.next()}
	if from == 0 {
		from = 1
	}
	if from < s.oldest {
		return batch, nil, refusalError("log.read", "", infra.ReasonOutOfRange)
	}
	size := 0
	for o := from; o < s.next() && len(batch.Records) < max; o++ {
		data := s.data[o-s.oldest]
		size += len(data)
		if size > maxReadBytes && len(batch.Records) > 0 {
			break
		}
		batch.Records = append(batch.Records, infra.Record{Offset: o, Data: data})
	}
	return batch, s.changed, nil
}

// LogTruth is the record of what a log did.
type LogTruth struct {
	Appends int                       // number of executed appends
	Records map[string][]infra.Record // by stream; empty without LogOptions.History
}

// Truth returns the record of what the log did.
func (l *Log) Truth() LogTruth {
	l.mu.Lock()
	defer l.mu.Unlock()
	truth := LogTruth{Appends: l.appends, Records: map[string][]infra.Record{}}
	for name, s := range l.streams {
		truth.Records[name] = append([]infra.Record(nil), s.history...)
	}
	return truth
}

func (l *Log) serveAppend(w http.ResponseWriter, r *http.Request) {
	var body infra.AppendBody
	if !readJSON(w, r, &body) {
		return
	}
	offset, err := l.Append(r.Context(), r.URL.Query().Get("stream"), body.Records)
	if err != nil {
		writeError(w, err, infra.Batch{})
		return
	}
	writeJSON(w, infra.AppendAnswer{Offset: offset})
}

func (l *Log) serveRead(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, err1 := strconv.ParseUint(query.Get("from"), 10, 64)
	count, err2 := strconv.Atoi(query.Get("max"))
	wait, err3 := strconv.Atoi(query.Get("wait_ms"))
	if err1 != nil || err2 != nil || err3 != nil {
		writeError(w, refusalError("log.read", "", infra.ReasonBadRequest), infra.Batch{})
		return
	}
	batch, err := l.Read(r.Context(), query.Get("stream"), infra.Offset(from), count, time.Duration(wait)*time.Millisecond)
	if err != nil {
		writeError(w, err, batch)
		return
	}
	out := infra.ReadAnswer{Oldest: batch.Oldest, Next: batch.Next, Records: make([][]byte, len(batch.Records))}
	for i, record := range batch.Records {
		out.Records[i] = record.Data
	}
	if len(batch.Records) > 0 {
		out.First = batch.Records[0].Offset
	}
	writeJSON(w, out)
}
