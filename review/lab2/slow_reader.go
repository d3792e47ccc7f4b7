package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"
)

const (
	largePath = "/notes/whole"
	// slowly is how long a large answer takes from the first byte to the last. That is within the
	// clients' time budget and the route's timeout.
	slowly            = 3400 * time.Millisecond
	readChunk         = 64 << 10
	clientBuffer      = 32 << 10 // of a slow client's kernel; it bounds what is on its way to the client
	readersEach       = 2        // at each instance
	answersEach       = 3        // of each reader, before the planned stop
	allowedLost       = 3        // the rule counts more than three
	betweenLargeReads = 300 * time.Millisecond
	beforeStop        = 500 * time.Millisecond // from the last requests to the SIGTERM of their instance
)

// largeAnswer is an answer to a safe request. It takes the server and the client the pauses between
// chunks.
type largeAnswer struct {
	bytes                  int
	serverPace, clientPace time.Duration
}

// pace returns the pause between chunks of an answer that takes as long as slowly.
func (a largeAnswer) pace() time.Duration { return slowly / time.Duration(a.bytes/readChunk) }

// slowReader has clients read large answers to safe requests slowly but steadily, over kept channels.
// Without trouble they read them as fast as they come.
func slowReader(w *world, trouble bool) (verdict, error) {
	a := largeAnswer{bytes: 8 << 20}
	if trouble {
		a.clientPace = a.pace()
	}
	return w.playLarge(a)
}

// slowServer has servers that have turned slow send answers of 512 KiB to safe requests steadily. Without
// trouble they send them at once.
func slowServer(w *world, trouble bool) (verdict, error) {
	a := largeAnswer{bytes: 512 << 10}
	if trouble {
		a.serverPace = a.pace()
	}
	return w.playLarge(a)
}

// playLarge has clients of each instance ask for large answers, and then those of one instance that is
// stopped as planned meanwhile.
func (w *world) playLarge(a largeAnswer) (verdict, error) {
	if err := w.putConfig(1, smallHeaderBytes); err != nil {
		return verdict{}, err
	}
	if err := w.addServers(); err != nil {
		return verdict{}, err
	}
	if err := w.startInstances(3); err != nil {
		return verdict{}, err
	}
	asked, lost, err := w.askForLarge(a, w.instances, answersEach)
	if err != nil {
		return verdict{}, err
	}
	stopped := w.instances[0]
	stop := time.AfterFunc(beforeStop, func() {
		w.record.add("SIGTERM to %s", stopped.Name)
		_ = stopped.cmd.Process.Signal(syscall.SIGTERM) // the process is reaped by close only
	})
	defer stop.Stop()
	askedAtStop, lostAtStop, err := w.askForLarge(a, []*instance{stopped}, 1)
	if err != nil {
		return verdict{}, err
	}
	text := fmt.Sprintf("%d of %d answers were cut off before their end, %d of %d beside a planned stop", lost, asked, lostAtStop, askedAtStop)
	return verdict{lost > allowedLost || lostAtStop > 0, text}, nil
}

// askForLarge has clients of the instances ask for large answers over kept channels. It returns how many
// they asked for, and how many did not come whole.
func (w *world) askForLarge(a largeAnswer, instances []*instance, each int) (asked, lost int, failed error) {
	var mu sync.Mutex
	var group sync.WaitGroup
	for _, i := range instances {
		for range readersEach {
			group.Go(func() {
				for range each {
					whole, err := w.readLarge(i, a)
					mu.Lock()
					asked++
					if err != nil {
						failed = err
					} else if !whole {
						lost++
					}
					mu.Unlock()
					time.Sleep(betweenLargeReads)
				}
			})
		}
	}
	group.Wait()
	return asked, lost, failed
}

// readLarge opens a channel, sends a first request on it and then one for a large answer. It reports
// whether the answer came whole.
func (w *world) readLarge(i *instance, a largeAnswer) (whole bool, err error) {
	conn, err := net.Dial("tcp4", i.Front)
	if err != nil {
		return false, err
	}
	defer conn.Close()
	if a.clientPace > 0 {
		if err := conn.(*net.TCPConn).SetReadBuffer(clientBuffer); err != nil {
			return false, err
		}
	}
	in := bufio.NewReaderSize(conn, readChunk)
	first, err := w.request(i, conn, in, "/notes/2f")
	if err != nil {
		return false, err
	}
	if _, err := io.Copy(io.Discard, first.Body); err != nil {
		return false, fmt.Errorf("the first answer on a channel: %w", err)
	}
	res, err := w.request(i, conn, in, fmt.Sprintf("%s?bytes=%d&pause-us=%d", largePath, a.bytes, a.serverPace.Microseconds()))
	if err != nil {
		return false, err
	}
	id, began := res.Header.Get(headerRequestID), time.Now()
	if res.StatusCode != http.StatusOK || res.Header.Get(headerSeal) == "" {
		w.record.add("answer %s: %d", id, res.StatusCode)
		return false, fmt.Errorf("a large answer has status %d", res.StatusCode)
	}
	n, err := readSlowly(res.Body, a.clientPace)
	w.record.add("answer %s: %d bytes of %d read in %d ms, then %v", id, n, a.bytes, time.Since(began).Milliseconds(), err)
	return err == nil && n == a.bytes, nil
}

// request sends a request on a channel and reads the head of its answer.
func (w *world) request(i *instance, conn net.Conn, in *bufio.Reader, path string) (*http.Response, error) {
	return w.requestWithin(i, conn, in, path, timeBudget)
}

// requestWithin is request with a time budget.
func (w *world) requestWithin(i *instance, conn net.Conn, in *bufio.Reader, path string, budget time.Duration) (*http.Response, error) {
	id := fmt.Sprintf("%016x", lastID.Add(1))
	w.record.add("send %s GET %s to %s", id, path, i.Name)
	_, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n\r\n", path, host, headerRequestID, id, headerDeadline, budget.Milliseconds())
	if err != nil {
		return nil, err
	}
	return http.ReadResponse(in, nil)
}

// readSlowly reads a body to its end with a pause after each chunk. It returns how many bytes came.
func readSlowly(body io.Reader, pace time.Duration) (int, error) {
	buf := make([]byte, readChunk)
	for total := 0; ; time.Sleep(pace) {
		n, err := io.ReadFull(body, buf)
		total += n
		switch {
		case errors.Is(err, io.EOF):
			return total, nil
		case err != nil:
			return total, err
		}
	}
}

// writeLarge writes a large answer as its request asks.
func writeLarge(rw http.ResponseWriter, r *http.Request) {
	bytes, err := strconv.Atoi(r.URL.Query().Get("bytes"))
	if err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return
	}
	pause, err := strconv.Atoi(r.URL.Query().Get("pause-us"))
	if err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return
	}
	rw.Header().Set("Content-Length", strconv.Itoa(bytes))
	out := http.NewResponseController(rw)
	chunk := make([]byte, readChunk)
	for range bytes / readChunk {
		if _, err := rw.Write(chunk); err != nil {
			return // the caller has left
		}
		if err := out.Flush(); err != nil {
			return
		}
		time.Sleep(time.Duration(pause) * time.Microsecond)
	}
}
