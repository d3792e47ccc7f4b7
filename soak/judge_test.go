package soak

import (
	"errors"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"greengageferry/platform/standin"
)

// began is when the made histories begin.
var began = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// served returns a request that was served in order, with its arrival.
func served(id string, kind Kind, at time.Duration) (Result, standin.Arrival) {
	r := Result{
		Ask:  standin.Ask{ID: id, Method: "POST", Path: standin.PlainPath + id, Body: id},
		Kind: kind, Instance: "front-0", Boot: 1, Sent: began.Add(at), Ended: began.Add(at + time.Millisecond),
		Status: 200, Answers: id, Server: "desk-1",
	}
	a := standin.Arrival{At: began.Add(at), Server: "desk-1", Service: standin.ServicePlain, Ask: r.Ask, Ran: true}
	switch kind {
	case KindStream:
		r.Ask.Path = standin.StreamPath + id
		a.Ask, a.Service = r.Ask, standin.ServiceEngines
		for n := range streamEvents {
			r.Body += event(n + 1)
		}
	default:
		r.Body = standin.PlainBody(r.Server, r.Ask.Path)
	}
	return r, a
}

func event(n int) string {
	return fmt.Sprintf("id: %d\ndata: %s\n\n", n, standin.EventData(n))
}

// TestEachCheckBites breaks each promise once in a history that breaks none.
func TestEachCheckBites(t *testing.T) {
	for promise, change := range map[string]func(h *History){
		"only what callers sent reaches servers":       func(h *History) { h.arrivals[0].Ask.ID = "other" },
		"requests reach servers unchanged":             func(h *History) { h.arrivals[0].Ask.Body = "other" },
		"requests are run by their route's service":    func(h *History) { h.arrivals[0].Service = standin.ServiceEngines },
		"what may not be repeated runs once":           func(h *History) { h.arrivals = append(h.arrivals, h.arrivals[0]) },
		"attempts are bounded":                         func(h *History) { h.arrivals = append(h.arrivals, h.arrivals[1], h.arrivals[1]) },
		"what is said not to have run didn't":          func(h *History) { h.results[0].Status = 503 },
		"what every configuration allows isn't denied": func(h *History) { h.results[0].Status = 404 },
		"statuses are those that are promised":         func(h *History) { h.results[0].Status = 400 },
		"answers belong to their request":              func(h *History) { h.results[0].Answers = "other" },
		"a success is a server's own":                  func(h *History) { h.results[0].Server = "" },
		"a success is the server's whole answer":       func(h *History) { h.results[0].Body = "desk" },
		"a stream that looks complete is":              func(h *History) { h.results[2].Body = event(1) + event(2) },
		"streams keep their order":                     func(h *History) { h.results[2].Body = event(1) + event(3) },
		"configurations don't go back": func(h *History) {
			h.results[1].Ask.Path = standin.VersionPath(3) + "a"
			h.arrivals[1].Ask.Path = h.results[1].Ask.Path
			h.results[1].Body = standin.PlainBody(h.results[1].Server, h.results[1].Ask.Path)
			later := h.results[1]
			later.Ask.ID, later.Ask.Path, later.Status = "later", standin.VersionPath(2)+"b", 404
			later.Sent = later.Sent.Add(time.Minute)
			h.results = append(h.results, later)
		},
		"servers aren't ordered beyond their memory": func(h *History) { h.orders[0].Models = mostModels + 1 },
		"a fencing token has one holder":             func(h *History) { h.orders[1].Holder, h.orders[1].Token = "front-1", 1 },
		"no order of an older lease follows one of a newer": func(h *History) {
			h.orders[0].Token, h.orders[1].Token = 2, 1
		},
		"retries are bounded": func(h *History) {
			for range retryReserve + 2 {
				h.arrivals = append(h.arrivals, h.arrivals[1])
				h.arrivals[len(h.arrivals)-1].Ran = false
			}
		},
		"a server's rate limit is kept": func(h *History) { limited(h, 12) },
	} {
		h := madeHistory()
		require.Empty(t, Judge(h))
		change(h)
		var found []string
		for _, v := range Judge(h) {
			found = append(found, v.Promise)
		}
		require.Contains(t, found, promise)
	}
}

// limited adds as many requests within three seconds, long after their server named a
// limit of one a second, and the answer that told their instance of it.
func limited(h *History, requests int) {
	limit := standin.RateLimit{PerSecond: 1, Since: began.Add(10 * time.Second)}
	for n := range requests + 1 {
		at := 30*time.Second + time.Duration(n-1)*200*time.Millisecond
		if n == 0 {
			at = 20 * time.Second
		}
		r, a := served(fmt.Sprint("limited-", n), KindUnsafe, at)
		r.Limited, a.Limit = true, limit
		h.results = append(h.results, r)
		h.arrivals = append(h.arrivals, a)
	}
}

func TestALimitIsJudgedByTheInstancesThatKnowIt(t *testing.T) {
	h := madeHistory()
	limited(h, 12)
	for n := range h.results {
		h.results[n].Limited = false
	}
	require.Empty(t, Judge(h), "none was told")
	h = madeHistory()
	limited(h, 12)
	for n := range h.arrivals {
		h.arrivals[n].Limit.Since = began.Add(29900 * time.Millisecond)
	}
	require.Empty(t, Judge(h), "it was just named")
	h = madeHistory()
	limited(h, 11)
	require.Empty(t, Judge(h), "it may get half more, and five")
}

// madeHistory returns one request of each kind, and two orders.
func madeHistory() *History {
	h := newHistory()
	for n, kind := range []Kind{KindUnsafe, KindSafe, KindStream} {
		r, a := served("abc"[n:n+1], kind, time.Duration(n)*time.Second)
		h.results = append(h.results, r)
		h.arrivals = append(h.arrivals, a)
	}
	h.orders = []standin.Order{
		{At: began, Server: "engines-1", Born: began, Holder: "front-0", Token: 1, Models: 1},
		{At: began.Add(time.Second), Server: "engines-1", Born: began, Holder: "front-0", Token: 1, Models: 2},
	}
	return h
}

// TestServersLeavingOrPausingAreJudged guards against missed violations when an instance
// keeps sending requests to a server that is leaving or that asked for a pause, and
// against false ones after a disruption or a restart of the server.
func TestServersLeavingOrPausingAreJudged(t *testing.T) {
	historyWith := func(change func(*standin.Arrival)) *History {
		h := newHistory()
		for n := range 5 {
			r, a := served(fmt.Sprint("r", n), KindSafe, time.Duration(n)*600*time.Millisecond)
			change(&a)
			r.Leaving = a.Leaving
			if a.RetryAfter > 0 {
				a.Ran, r.Status = false, 503
			}
			h.results, h.arrivals = append(h.results, r), append(h.arrivals, a)
		}
		return h
	}
	leaving := historyWith(func(a *standin.Arrival) { a.Leaving = true })
	refusing := historyWith(func(a *standin.Arrival) { a.RetryAfter = 2 * time.Second })
	for promise, h := range map[string]*History{
		"servers get no new requests after their answers say that they are leaving": leaving,
		"the Retry-After of servers is honored":                                     refusing,
	} {
		violations := Judge(h)
		require.Len(t, violations, 1)
		require.Equal(t, promise, violations[0].Promise)
	}
	for _, h := range []*History{leaving, refusing} {
		h.disrupted("desk-2", began.Add(time.Second), began.Add(1100*time.Millisecond))
		require.Len(t, Judge(h), 1)
		h.disrupted("front-0", began.Add(time.Second), began.Add(1100*time.Millisecond))
		require.Empty(t, Judge(h))
	}
	require.Empty(t, Judge(historyWith(func(*standin.Arrival) {})))
	starts := 0
	restarting := func(a *standin.Arrival) {
		starts++
		a.Born = began.Add(time.Duration(starts) * time.Second)
		a.Leaving = true
	}
	require.Empty(t, Judge(historyWith(restarting)), "an answer does not apply to other starts of the server")
}

// TestOrdersHeldBackByAFaultAreExcused: an order that a suspended instance sent
// may arrive right after it went on.
func TestOrdersHeldBackByAFaultAreExcused(t *testing.T) {
	h := madeHistory()
	h.orders[0].Token, h.orders[1].Token = 2, 1
	h.heals = []time.Time{began.Add(900 * time.Millisecond)}
	require.Empty(t, Judge(h))
	h.heals = []time.Time{began.Add(100 * time.Millisecond)}
	require.Len(t, Judge(h), 1)
}

// echo serves connections that send back what they get.
func echo(t *testing.T) string {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(c, c)
				_ = c.Close()
			}()
		}
	}()
	return l.Addr().String()
}

func TestALinkHoldsResetsAndHeals(t *testing.T) {
	p, err := NewProxy(echo(t))
	require.NoError(t, err)
	defer p.Close()
	c, err := net.Dial("tcp4", p.Addr)
	require.NoError(t, err)
	defer c.Close()
	data := make([]byte, 1)
	cross := func(wait time.Duration) error {
		require.NoError(t, c.SetReadDeadline(time.Now().Add(wait)))
		_, err := io.ReadFull(c, data)
		return err
	}
	send := func() {
		_, err := c.Write([]byte{1})
		require.NoError(t, err)
	}
	send()
	require.NoError(t, cross(time.Minute))
	for _, cut := range []LinkState{{HoldOut: true}, {HoldIn: true}} {
		p.Set(cut)
		send()
		var timeout net.Error
		require.ErrorAs(t, cross(20*time.Millisecond), &timeout)
		p.Set(LinkState{})
		require.NoError(t, cross(time.Minute), "what was held back arrives after the heal")
	}
	p.Set(LinkState{Refuse: true})
	err = cross(time.Minute)
	require.Error(t, err)
	require.False(t, errors.Is(err, io.EOF), "a reset doesn't look like an end")
}

func TestASeedDrawsTheSameFaults(t *testing.T) {
	for seed := range uint64(20) {
		a, b := schedule(seed, time.Second), schedule(seed, time.Second)
		require.Len(t, b, len(a))
		for n := range a {
			require.Equal(t, a[n].String(), b[n].String())
		}
	}
}
