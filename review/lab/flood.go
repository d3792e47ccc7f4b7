//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { scenarios["flood"] = playFlood }

const (
	usualRate    = 205              // requests a second, of all clients: those of the site's scale days
	burstX       = 1.7              // times as many in a burst
	burstFor     = 3 * time.Second  // of one burst
	bursts       = 3                // one after the other
	maxFds       = 4100             // of a process
	idleLimit    = 15 * time.Second // idle-timeout-ms
	warmFor      = 16 * time.Second // of usual traffic before the bursts
	calmFor      = 17 * time.Second // of usual traffic after them: all channels of before have been closed
	judgeFor     = 6 * time.Second  // twice stable-window-ms
	routeTimeout = 2 * time.Second  // timeout-ms
	timeBudget   = 4 * time.Second  // of a client
	answerSlack  = 500 * time.Millisecond
	// inTouchAfter is how long after the bursts the machine counts as in touch: 5 s in which clients
	// may have choked its link, and stable-window-ms.
	inTouchAfter = 8 * time.Second
)

// flood counts what the clients of one phase saw.
type flood struct {
	sent, answered, refusedDial atomic.Int64
	late, never                 atomic.Int64 // unanswered at the route's timeout-ms, and half a second later
}

// playFlood has one machine left of a deployment. Each request comes from another user, who keeps the
// channel open. Then more users come.
func playFlood(l *lab) (bool, error) {
	place := route("place", "/place/", "unsafe", plainService, 1, false)
	place["timeout-ms"] = routeTimeout.Milliseconds()
	l.store.putJSON("keyed.op", "config", config([]any{place}, []string{"m0"}))
	for n := range 4 {
		if _, err := l.addServer(fmt.Sprintf("i-desk%d", n), plainService, "zone-1"); err != nil {
			return false, err
		}
	}
	l.fds = maxFds
	if err := l.addInstances(1); err != nil {
		return false, err
	}
	i := l.instances[0]
	if err := i.start(); err != nil {
		return false, err
	}
	if err := l.waitReady(i); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	var open atomic.Int64 // channels
	var serial atomic.Int64
	phase := func(name string, rate float64, d time.Duration) *flood {
		f := &flood{}
		var calls sync.WaitGroup
		tick := time.NewTicker(time.Duration(float64(time.Second) / rate))
		defer tick.Stop()
		ready, notReady := 0, 0
		nextCheck := time.Now()
		for end := time.Now().Add(d); time.Now().Before(end); {
			<-tick.C
			calls.Add(1)
			go func() {
				defer calls.Done()
				f.send(i, serial.Add(1), &open)
			}()
			if now := time.Now(); !now.Before(nextCheck) {
				nextCheck = now.Add(time.Second)
				if i.ready() {
					ready++
				} else {
					notReady++
				}
			}
		}
		most := open.Load()
		calls.Wait()
		l.log.printf("%s: %d requests sent on new channels, %d answered, %d channels not established; %d unanswered at timeout-ms, %d half a second later; %d channels open at its end; ready %d times, not ready %d times",
			name, f.sent.Load(), f.answered.Load(), f.refusedDial.Load(), f.late.Load(), f.never.Load(), most, ready, notReady)
		return f
	}
	phase("usual traffic", usualRate, warmFor)
	for n := range bursts {
		rate := float64(usualRate)
		if l.trouble {
			rate *= burstX
			l.log.printf("DISRUPTION: burst %d, %v times the traffic for %v", n+1, burstX, burstFor)
		}
		phase("burst", rate, burstFor)
	}
	phase("usual traffic, not in touch yet", usualRate, inTouchAfter)
	calm := phase("usual traffic again", usualRate, calmFor-inTouchAfter)
	last := phase("judged", usualRate, judgeFor)
	for _, line := range i.logLines("accept", "too many open files") {
		l.log.printf("log of %s: %s", i.name, line)
	}
	isReady := i.ready()
	l.log.printf("at the end the health check says ready: %v; %d channels are open", isReady, open.Load())
	silent := isReady && last.answered.Load() == 0
	if silent {
		l.log.printf("BROKEN (RECOVER): an instance that says it is ready took no new channel for %v, while %d clients tried", judgeFor, last.sent.Load())
	}
	late, never := calm.late.Load(), calm.never.Load()
	unanswered := never >= 8 && 2*never > late
	if unanswered {
		l.log.printf("BROKEN (CONFIG): of %d requests that were unanswered at timeout-ms, %d had no answer half a second later", late, never)
	}
	broken := silent || unanswered
	return broken, nil
}

// send sends one request on a new channel, which stays open until the instance closes it.
func (f *flood) send(i *instance, n int64, open *atomic.Int64) {
	f.sent.Add(1)
	c, err := net.DialTimeout("tcp4", fmt.Sprintf("%s:%d", realHost(i.n), frontPort), time.Second)
	if err != nil {
		f.refusedDial.Add(1)
		return
	}
	open.Add(1)
	kept := false
	defer func() {
		if !kept {
			_ = c.Close()
			open.Add(-1)
		}
	}()
	_, _ = fmt.Fprintf(c, "POST /place/x HTTP/1.1\r\nHost: %s\r\nGreengageferry-Request-Id: user-%d\r\nGreengageferry-Deadline-Ms: %d\r\nContent-Length: 5\r\n\r\norder", host, n, timeBudget.Milliseconds())
	begun := time.Now()
	_ = c.SetReadDeadline(begun.Add(timeBudget))
	in := bufio.NewReaderSize(c, 512)
	res, err := http.ReadResponse(in, nil)
	if err == nil {
		_, err = io.Copy(io.Discard, res.Body)
	}
	if time.Since(begun) > routeTimeout {
		f.late.Add(1)
	}
	if time.Since(begun) > routeTimeout+answerSlack {
		f.never.Add(1)
	}
	if err != nil {
		return
	}
	f.answered.Add(1)
	kept = true
	go func() {
		_ = c.SetReadDeadline(time.Now().Add(2 * idleLimit))
		_, _ = in.ReadByte() // until the instance closes the idle channel
		_ = c.Close()
		open.Add(-1)
	}()
}
