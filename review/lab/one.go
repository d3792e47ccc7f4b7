//go:build review

package main

import (
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

func init() { scenarios["one"] = playOne }

const (
	replaceAfter = 4 * time.Second        // from the end of the old machine to the start of the new one
	cutAfter     = 3 * time.Second        // from the end of the old machine to the cut
	cutFor       = 10 * time.Second       // of the lease holder
	thaw         = 300 * time.Millisecond // thaw-ms
	modelsN      = 10
	// shiftEvery is how often clients move on to other models.
	shiftEvery = 3 * time.Second
)

// playOne has two machines. The one without the lease is replaced, as planned: it gets SIGTERM, and
// a new one comes at another address. Meanwhile the lease holder is cut off from the store and from
// other machines of the system.
func playOne(l *lab) (bool, error) {
	var models []string
	for n := range modelsN {
		models = append(models, fmt.Sprintf("m%d", n))
	}
	l.store.putJSON("keyed.op", "config", config([]any{route("draft", "/draft/", "streaming", engineService, 1, false)}, models))
	for n := range 3 {
		s, err := l.addServer(fmt.Sprintf("i-engine%d", n), engineService, fmt.Sprintf("zone-%d", n%2+1), models[2*n], models[2*n+1])
		if err != nil {
			return false, err
		}
		s.answer = func(s *server, w http.ResponseWriter, r *http.Request) { answerStream(s, w, r, 20, 0) }
	}
	if err := l.addInstances(3); err != nil { // the third comes in place of another
		return false, err
	}
	first, added := l.instances[:2], l.instances[2]
	for _, i := range first {
		if err := i.start(); err != nil {
			return false, err
		}
	}
	for _, i := range first {
		if err := l.waitReady(i); err != nil {
			return false, err
		}
	}
	if err := waitFor(10*time.Second, "no lease holder", func() bool { return l.holder() != nil }); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	defer close(stop)
	var sent, served atomic.Int64
	var at [2]atomic.Pointer[instance] // where each machine's clients go
	for n, i := range first {
		at[n].Store(i)
		go askForModels(n, at[n].Load, models, stop, &sent, &served)
	}
	time.Sleep(10 * time.Second)
	holder := l.holder()
	if holder == nil {
		return false, fmt.Errorf("no lease holder after 10 s")
	}
	other := l.instances[2-holder.n]
	l.log.printf("%s holds the lease by the store; PLANNED: %s gets SIGTERM, to be replaced by %s", holder.name, other.name, added.name)
	at[other.n-1].Store(holder) // as the platform does once the machine isn't ready
	if err := other.terminate(); err != nil {
		return false, err
	}
	l.log.printf("%s has ended", other.name)
	time.Sleep(cutAfter)
	if l.trouble {
		l.log.printf("DISRUPTION: %s is cut off from the store and from other machines for %v", holder.name, cutFor)
		holder.setCut(true)
	}
	cutAt := time.Now()
	time.Sleep(replaceAfter - cutAfter)
	if err := added.start(); err != nil {
		return false, err
	}
	if err := l.waitReady(added); err != nil {
		return false, err
	}
	at[other.n-1].Store(added)
	time.Sleep(time.Until(cutAt.Add(cutFor)))
	var healedAt time.Time
	if l.trouble {
		holder.setCut(false)
		healedAt = time.Now()
		l.log.printf("the cut has ended")
	}
	time.Sleep(3 * time.Second)
	l.log.printf("%d requests sent, %d served whole", sent.Load(), served.Load())
	for _, i := range l.instances {
		for _, line := range i.logLines(`msg="lease won"`, `msg="lease lost"`, `msg="lease renewals`, `msg="store lost"`) {
			l.log.printf("log of %s: %s", i.name, line)
		}
	}
	return l.judgeOne(healedAt), nil
}

// judgeOne applies the rule ONE to the orders that each server received.
func (l *lab) judgeOne(healedAt time.Time) bool {
	broken := false
	for _, s := range l.servers {
		s.mu.Lock()
		var highest arrival
		lower := 0
		holders := map[int64]string{}
		for _, o := range s.orders {
			if !healedAt.IsZero() && o.at.After(healedAt) && o.at.Before(healedAt.Add(thaw)) {
				continue // doesn't count just after a link has healed
			}
			if h, ok := holders[o.fence]; ok && h != o.holder {
				l.log.printf("BROKEN at %s: %s and %s both order with epoch %d", s.id, h, o.holder, o.fence)
				broken = true
			}
			holders[o.fence] = o.holder
			if o.fence < highest.fence {
				if lower++; lower <= 3 {
					l.log.printf("BROKEN at %s: epoch %d of %s comes %v after epoch %d of %s", s.id, o.fence, o.holder, o.at.Sub(highest.at).Round(time.Millisecond), highest.fence, highest.holder)
				}
				broken = true
			} else {
				highest = o
			}
		}
		l.log.printf("%s got %d orders, %d with a lower epoch after a higher one", s.id, len(s.orders), lower)
		s.mu.Unlock()
	}
	return broken
}

// askForModels sends requests for a few models at a time, and moves on to others.
func askForModels(client int, at func() *instance, models []string, stop chan struct{}, sent, served *atomic.Int64) {
	caller := &http.Client{Timeout: 12 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	begun := time.Now()
	tick := time.NewTicker(60 * time.Millisecond)
	defer tick.Stop()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-tick.C:
		}
		shift := int(time.Since(begun) / shiftEvery)
		model := models[(4*shift+n%4)%len(models)]
		go func() {
			sent.Add(1)
			req, _ := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s:%d/draft/x", realHost(at().n), frontPort), nil)
			req.Host = host
			req.Header.Set("Greengageferry-Request-Id", fmt.Sprintf("%d-%d", client, n))
			req.Header.Set("Greengageferry-Model", model)
			req.Header.Set("Greengageferry-Token-Usage", "300,140")
			req.Header.Set("Greengageferry-Prompt-Prefix", fmt.Sprintf("%x:300", 100000*client+n))
			req.Header.Set("Greengageferry-Deadline-Ms", "8000")
			res, err := caller.Do(req)
			if err != nil {
				return
			}
			defer res.Body.Close()
			if _, err := io.Copy(io.Discard, res.Body); err == nil && res.StatusCode == http.StatusOK {
				served.Add(1)
			}
		}()
	}
}
