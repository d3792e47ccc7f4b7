//go:build review

package main

import (
	"context"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// partitions of a group's topic.
const partitions = 12

// store is a stand-in of the platform's store: keyed topics and group membership.
type store struct {
	log *record

	mu      sync.Mutex
	topics  map[string][]entry
	changed chan struct{}
	gen     int64
	members map[string]*member
	onJoin  func(member string, parts []int) // called after each join
}

type entry struct {
	key   string
	value []byte
}

type member struct {
	until time.Time
	parts []int // it holds
	given []int // it has to give up when it joins next
}

func newStore(log *record) *store {
	return &store{log: log, topics: map[string][]entry{}, changed: make(chan struct{}), members: map[string]*member{}}
}

func (s *store) put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topics[topic] = append(s.topics[topic], entry{key, value})
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) putJSON(topic, key string, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	s.put(topic, key, data)
}

// owner returns the member that holds partition 0, "" if none does.
func (s *store) owner() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	for name, m := range s.members {
		if slices.Contains(m.parts, 0) {
			return name
		}
	}
	return ""
}

// handler serves instance x, whose view of the other instances' addresses it speaks.
func (s *store) handler(x, instances int) http.Handler {
	to, from := translator(0, x, instances), translator(x, 0, instances)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/log-newest", func(w http.ResponseWriter, r *http.Request) { s.newest(w, r, to) })
	mux.HandleFunc("GET /-/log-read", s.read)
	mux.HandleFunc("POST /-/log-append", func(w http.ResponseWriter, r *http.Request) { s.append(w, r, from) })
	mux.HandleFunc("POST /-/log-join", func(w http.ResponseWriter, r *http.Request) { s.join(w, r, from) })
	mux.HandleFunc("POST /-/log-leave", func(w http.ResponseWriter, r *http.Request) { s.leave(w, r, from) })
	mux.HandleFunc("GET /-/log-owners", func(w http.ResponseWriter, r *http.Request) { s.owners(w, to) })
	return mux
}

func (s *store) newest(w http.ResponseWriter, r *http.Request, to *strings.Replacer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	topic := s.topics[r.URL.Query().Get("topic")]
	last := map[string]int{}
	for n, e := range topic {
		last[e.key] = n
	}
	items := []map[string]any{}
	for n, e := range topic {
		if last[e.key] == n && len(e.value) > 0 {
			value := to.Replace(string(e.value))
			items = append(items, map[string]any{"key": e.key, "value": base64.StdEncoding.EncodeToString([]byte(value)), "offset": n})
		}
	}
	writeJSON(w, map[string]any{"items": items, "has-more": false, "end": len(topic)})
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("from"))
	wait, _ := strconv.Atoi(q.Get("wait-ms"))
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(wait)*time.Millisecond)
	defer cancel()
	for {
		s.mu.Lock()
		topic, changed := s.topics[q.Get("topic")], s.changed
		s.mu.Unlock()
		if from >= len(topic) && ctx.Err() == nil {
			select {
			case <-changed:
			case <-ctx.Done():
			}
			continue
		}
		out := binary.BigEndian.AppendUint64(nil, uint64(len(topic)))
		out = binary.BigEndian.AppendUint64(out, 0)
		for _, e := range topic[min(from, len(topic)):] {
			out = binary.BigEndian.AppendUint32(out, uint32(1+len(e.key)+len(e.value)))
			out = append(append(append(out, byte(len(e.key))), e.key...), e.value...)
		}
		_, _ = w.Write(out)
		return
	}
}

func (s *store) append(w http.ResponseWriter, r *http.Request, from *strings.Replacer) {
	topic := r.URL.Query().Get("topic")
	data, err := io.ReadAll(r.Body)
	if err != nil || topic == "keyed.op" || topic == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	data = []byte(from.Replace(string(data)))
	for len(data) > 5 {
		n, k := int(binary.BigEndian.Uint32(data)), int(data[4])
		s.put(topic, string(data[5:5+k]), slices.Clone(data[5+k:4+n]))
		data = data[4+n:]
	}
	writeJSON(w, map[string]any{"offset": 0, "end": 0})
}

type groupCall struct {
	Member string `json:"member"`
	TTLMs  int64  `json:"ttl-ms"`
}

func readCall(r *http.Request, from *strings.Replacer) groupCall {
	data, _ := io.ReadAll(r.Body)
	var c groupCall
	_ = json.Unmarshal([]byte(from.Replace(string(data))), &c)
	return c
}

// join adds a member or keeps it. A member gives up a partition when it joins, leaves or expires.
func (s *store) join(w http.ResponseWriter, r *http.Request, from *strings.Replacer) {
	c := readCall(r, from)
	s.mu.Lock()
	s.expire()
	m := s.members[c.Member]
	if m == nil {
		m = &member{}
		s.members[c.Member] = m
		s.gen++
	}
	m.until = time.Now().Add(time.Duration(c.TTLMs) * time.Millisecond)
	m.given = nil
	s.assign()
	parts, gen, onJoin := slices.Clone(m.parts), s.gen, s.onJoin
	s.mu.Unlock()
	rows := [][]any{}
	for _, p := range parts {
		rows = append(rows, []any{"residency", p, 0})
	}
	writeJSON(w, map[string]any{"generation": gen, "parts": rows})
	if onJoin != nil {
		onJoin(c.Member, parts)
	}
}

func (s *store) leave(w http.ResponseWriter, r *http.Request, from *strings.Replacer) {
	c := readCall(r, from)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.members[c.Member] != nil {
		delete(s.members, c.Member)
		s.gen++
		s.log.printf("store: %s leaves the group", c.Member)
	}
	writeJSON(w, map[string]any{})
}

func (s *store) owners(w http.ResponseWriter, to *strings.Replacer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	rows := [][]any{}
	for name, m := range s.members {
		for _, p := range m.parts {
			rows = append(rows, []any{"residency", p, to.Replace(name), 0})
		}
	}
	writeJSON(w, map[string]any{"owners": rows})
}

// expire removes the members that have sent nothing for their time. The lock is held.
func (s *store) expire() {
	for name, m := range s.members {
		if time.Now().After(m.until) {
			delete(s.members, name)
			s.gen++
			s.log.printf("store: membership of %s has expired", name)
		}
	}
}

// assign distributes the partitions evenly: free ones go to those that hold the fewest, and who
// holds too many loses the highest, which stay taken until it joins again. The lock is held.
func (s *store) assign() {
	most := (partitions + len(s.members) - 1) / len(s.members)
	taken := map[int]bool{}
	for _, m := range s.members {
		slices.Sort(m.parts)
		for len(m.parts) > most {
			m.given = append(m.given, m.parts[len(m.parts)-1])
			m.parts = m.parts[:len(m.parts)-1]
		}
		for _, p := range append(slices.Clone(m.parts), m.given...) {
			taken[p] = true
		}
	}
	for p := range partitions {
		if taken[p] {
			continue
		}
		var least *member
		for _, m := range s.members {
			if least == nil || len(m.parts) < len(least.parts) {
				least = m
			}
		}
		least.parts = append(least.parts, p)
		s.gen++
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
