package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	streamPrefix  = "/drafts/"
	streamTimeout = 12 * time.Second // of the route, and the clients' time budget
	streamEvents  = 20
	eventGap      = 250 * time.Millisecond // within gap-target-ms
	pauseAfter    = 8                      // events of a stream
	streamPause   = 2600 * time.Millisecond
	streamsEach   = 4 // at each instance
	beforeLeaving = time.Second
	beforeSIGTERM = 3 * time.Second
)

// pausedStream has servers preempt each stream that may be resumed once in its middle, for a while.
// Without trouble they don't. In both cases one of the two servers says meanwhile that it leaves, and one
// instance is stopped as planned.
func pausedStream(w *world, trouble bool) (verdict, error) {
	streams := route("drafts", streamPrefix, "streaming", serviceNotes)
	streams["timeout-ms"], streams["goal-ms"] = streamTimeout.Milliseconds(), 1200
	streams["resumable"], streams["gap-target-ms"] = true, 300
	if err := w.putConfig(1, smallHeaderBytes, streams); err != nil {
		return verdict{}, err
	}
	w.pause = 0
	if trouble {
		w.pause = streamPause
	}
	if err := w.addServers(); err != nil {
		return verdict{}, err
	}
	if err := w.startInstances(3); err != nil {
		return verdict{}, err
	}
	leaving := w.servers[len(w.servers)-1]
	leave := time.AfterFunc(beforeLeaving, func() {
		w.record.add("%s says that it leaves", leaving.id)
		leaving.leave()
	})
	defer leave.Stop()
	stopped := w.instances[0]
	stop := time.AfterFunc(beforeSIGTERM, func() {
		w.record.add("SIGTERM to %s", stopped.Name)
		_ = stopped.cmd.Process.Signal(syscall.SIGTERM) // the process is reaped by close only
	})
	defer stop.Stop()
	lost, err := w.askForStreams()
	if err != nil {
		return verdict{}, err
	}
	others := 0
	for _, i := range w.instances[1:] {
		others += lost[i]
	}
	text := fmt.Sprintf("%d of %d streams were cut off before their end, and %d of %d beside a planned stop",
		others, streamsEach*(len(w.instances)-1), lost[stopped], streamsEach)
	return verdict{others > allowedLost || lost[stopped] > 0, text}, nil
}

// askForStreams has clients of all instances ask for streams over kept channels. It returns how many did
// not come whole from each instance.
func (w *world) askForStreams() (lost map[*instance]int, failed error) {
	lost = map[*instance]int{}
	var mu sync.Mutex
	var group sync.WaitGroup
	for _, i := range w.instances {
		for range streamsEach {
			group.Go(func() {
				whole, err := w.readStream(i)
				mu.Lock()
				defer mu.Unlock()
				if err != nil {
					failed = err
				} else if !whole {
					lost[i]++
				}
			})
		}
	}
	group.Wait()
	return lost, failed
}

// readStream opens a channel, sends a first request on it and then one for a stream. It reports whether
// the stream came whole.
func (w *world) readStream(i *instance) (whole bool, err error) {
	conn, err := net.Dial("tcp4", i.Front)
	if err != nil {
		return false, err
	}
	defer conn.Close()
	in := bufio.NewReader(conn)
	first, err := w.request(i, conn, in, "/notes/2f")
	if err != nil {
		return false, err
	}
	if _, err := io.Copy(io.Discard, first.Body); err != nil {
		return false, fmt.Errorf("the first answer on a channel: %w", err)
	}
	began := time.Now()
	res, err := w.requestWithin(i, conn, in, streamPrefix+"1", streamTimeout)
	if err != nil {
		return false, err
	}
	if res.StatusCode != http.StatusOK || res.Header.Get(headerSeal) == "" {
		return false, fmt.Errorf("a stream has status %d", res.StatusCode)
	}
	last := 0
	lines := bufio.NewScanner(res.Body)
	for lines.Scan() {
		if id, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			if last, err = strconv.Atoi(id); err != nil {
				return false, err
			}
		}
	}
	w.record.add("stream %s: last event %d of %d, ended after %d ms, %v", res.Header.Get(headerRequestID), last, streamEvents, time.Since(began).Milliseconds(), lines.Err())
	return lines.Err() == nil && last == streamEvents, nil
}

// serveStream writes the events of a stream after the one that the request names.
func (s *server) serveStream(rw http.ResponseWriter, r *http.Request) {
	rw.Header().Set("Content-Type", "text/event-stream")
	after, err := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if err != nil {
		after = 0 // the request takes up no stream
	}
	out := http.NewResponseController(rw)
	for id := after + 1; id <= streamEvents; id++ {
		select {
		case <-r.Context().Done():
			s.world.record.add("left %s at event %d of %s", r.Header.Get(headerRequestID), id, s.id)
			return
		case <-time.After(eventGap):
		}
		if after == 0 && id == pauseAfter+1 {
			time.Sleep(s.world.pause)
		}
		if _, err := fmt.Fprintf(rw, "id: %d\ndata: token\n\n", id); err != nil {
			return // the caller has left
		}
		if err := out.Flush(); err != nil {
			return
		}
	}
}
