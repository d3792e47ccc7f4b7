package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	smallHeaderBytes = 16384
	entryCaseLength  = 20 * time.Second
	firstBadEntry    = 5 * time.Second
	badEntryInterval = 4 * time.Second
	badEntries       = 3
)

// incompleteEntry has another writer put entries without version, cold-left-ms and seq into the store,
// under the id and address of a server of the notes but with the service of the orders. Such an entry
// names no server to use, so no order may run at a server of the notes.
func incompleteEntry(w *world, trouble bool) (verdict, error) {
	if err := w.putConfig(1, smallHeaderBytes); err != nil {
		return verdict{}, err
	}
	if err := w.addServers(); err != nil {
		return verdict{}, err
	}
	if err := w.startInstances(3); err != nil {
		return verdict{}, err
	}
	if trouble {
		victim := w.servers[len(w.servers)-1]
		for n := range badEntries {
			at := firstBadEntry + time.Duration(n)*badEntryInterval
			timer := time.AfterFunc(at, func() { w.putIncompleteEntry(victim) })
			defer timer.Stop()
		}
	}
	answers := w.load(2, 20*time.Millisecond, entryCaseLength, func(c *client) answer {
		return c.send(http.MethodPost, "/orders/2f", nil)
	})
	orders := map[string]bool{}
	for _, a := range answers {
		orders[a.id] = true
	}
	astray := 0
	for _, s := range w.servers {
		if s.service == serviceOrders {
			continue
		}
		for _, id := range s.runs() {
			if orders[id] {
				astray++
			}
		}
	}
	served := countServed(answers)
	if served < len(answers)*9/10 {
		return verdict{}, fmt.Errorf("only %d of %d orders were served", served, len(answers))
	}
	return verdict{astray > 0, fmt.Sprintf("%d of %d orders were run by %s", astray, len(answers), serviceNotes)}, nil
}

// putIncompleteEntry writes an entry of another writer for a server. The server's own next heartbeat
// replaces it.
func (w *world) putIncompleteEntry(s *server) {
	e := map[string]any{"backend": serviceOrders, "address": s.addr, "zone": s.zone, "slots": serverSlots, "state": "ready"}
	w.record.add("another writer puts an incomplete entry for %s: %v", s.id, e)
	w.putEntry(s.id, e)
}
