package relay

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"greengageferry/decide"
	"greengageferry/internal/stall"
	"greengageferry/topology"
)

// streamSent is what of a stream went out to the caller.
type streamSent struct {
	begun  bool
	events int
	last   string        // id of the last whole event
	at     time.Time     // when data last went out
	maxGap time.Duration // the longest pause between two sends
}

// streamBuffer holds some events: one read takes what has arrived.
const streamBuffer = 8 << 10

var streamBuffers = sync.Pool{New: func() any { b := make([]byte, streamBuffer); return &b }}

// passStream passes an event stream on as it arrives. A stream that may be
// resumed is passed on in whole events, so that another server can go on after
// the last one.
func (c *call) passStream(ctx context.Context, d decide.Decision, res *http.Response, sent time.Time, watch *stall.Watchdog) string {
	whole := c.route.Repeat == topology.Resumable
	buf := streamBuffers.Get().(*[]byte)
	defer streamBuffers.Put(buf)
	var pending []byte // the beginning of an event that isn't whole yet
	var first time.Time
	before := c.stream.events
	flush := http.NewResponseController(c.w)
	for {
		n, err := res.Body.Read(*buf)
		if n > 0 {
			if watch.Disarm(max(streamSilence, gapsSilent*c.route.MaxGap)) && !c.stream.begun {
				// A stream that the watchdog has just ended must not be begun: its
				// caller would see it break off where another server, or an error
				// that says so, could still answer.
				return c.noAnswer(ctx, d, context.Cause(ctx))
			}
			if first.IsZero() {
				first = time.Now()
				c.relay.desk.began(c)
			}
			watch.Arm()
			data := (*buf)[:n]
			if whole {
				data, pending = wholeEvents(append(pending, data...))
			}
			if werr := c.sendEvents(res, data, flush); werr != nil {
				c.relay.desk.left(c)
				c.log("caller_left", res.StatusCode)
				return outcomeCallerLeft
			}
		}
		if err == io.EOF && len(pending) == 0 {
			break
		}
		if err != nil {
			return c.streamBroke(ctx, d, res, err)
		}
	}
	if !c.stream.begun { // a stream without an event is whole, too
		c.beginStream(res)
	}
	events := c.stream.events - before
	stride := 1
	if c.service.Engine != nil {
		stride = c.service.Engine.TokensPerEvent
	}
	o := decide.Outcome{Complete: true, Total: time.Since(sent), Tokens: events * stride}
	if !first.IsZero() {
		o.FirstToken = first.Sub(sent)
	}
	c.relay.desk.ended(c, o)
	c.log(reasonAnswered, res.StatusCode)
	return outcomeDone
}

// streamBroke deals with a stream that ended before its end.
func (c *call) streamBroke(ctx context.Context, d decide.Decision, res *http.Response, err error) string {
	if !c.stream.begun || c.route.Repeat == topology.Resumable {
		return c.noAnswer(ctx, d, err)
	}
	c.ran = true
	c.relay.desk.left(c)
	if c.req.Context().Err() != nil {
		c.log("caller_left", res.StatusCode)
		return outcomeCallerLeft
	}
	c.logAttempt(d, err.Error(), res.StatusCode)
	c.abort("stream_broke")
	return outcomeBroken
}

func (c *call) beginStream(res *http.Response) {
	c.stream.begun = true
	c.firstByte = time.Now()
	c.relay.opts.Metrics.FirstByte(time.Since(c.arrived))
	c.writeHead(res.StatusCode, res.Header)
}

// sendEvents sends data of the stream to the caller at once.
func (c *call) sendEvents(res *http.Response, data []byte, flush *http.ResponseController) error {
	if len(data) == 0 {
		return nil
	}
	if !c.stream.begun {
		c.beginStream(res)
	}
	c.stream.events += bytes.Count(data, eventEnd)
	now := time.Now()
	if !c.stream.at.IsZero() {
		c.stream.maxGap = max(c.stream.maxGap, now.Sub(c.stream.at))
	}
	c.stream.at = now
	if c.route.Repeat == topology.Resumable {
		if id := lastEventID(data); id != "" {
			c.stream.last = id
		}
	}
	if _, err := c.w.Write(data); err != nil {
		return err
	}
	return flush.Flush()
}

// eventEnd ends an event of a stream.
var eventEnd = []byte("\n\n")

// wholeEvents splits data after its last whole event. The rest is a copy.
func wholeEvents(data []byte) (whole, rest []byte) {
	at := bytes.LastIndex(data, eventEnd)
	if at < 0 {
		return nil, data
	}
	at += len(eventEnd)
	return data[:at], bytes.Clone(data[at:])
}

// lastEventID returns the id of the last event in data that bears one.
func lastEventID(data []byte) string {
	at := bytes.LastIndex(data, idLine)
	if at < 0 {
		if !bytes.HasPrefix(data, idLine[1:]) {
			return ""
		}
		at = -1
	}
	id := data[at+len(idLine):]
	if end := bytes.IndexByte(id, '\n'); end >= 0 {
		id = id[:end]
	}
	return string(bytes.TrimSpace(id))
}

var idLine = []byte("\nid:")
