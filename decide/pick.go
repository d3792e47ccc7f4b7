package decide

import "time"

const (
	// sampled is how many replicas a decision looks at: it makes a decision as
	// quick among 1,900 servers as among 100, and together with the random
	// choice keeps instances that read the same report from all choosing alike.
	sampled = 8
	// leastRoom keeps the weights of full servers above zero.
	leastRoom = 0.1
	// probeEvery is how many decisions give one to any candidate that fits, so
	// that a server that was slow is seen to be well again.
	probeEvery = 32
)

// fill is how full a server may be to get a request.
type fill int

// The fills, in the order in which they are tried, each in the own failure
// domain first: a batch that is nearly full is slower than one in another
// domain that is half a millisecond away.
const (
	rationed fill = iota // a free slot of a server whose rate limit lets a request be sent
	roomy                // up to roomyPart of its slots taken
	fitted               // a free slot
	queueing             // its own short queue
)

// roomyPart is the part of its slots up to which a server's batch is quick.
const roomyPart = 0.6

// choose returns where the request goes now: to a server whose rate limit lets it be
// sent, to a free slot of the own failure domain, of another, or to the short queue of
// a server. Where it returns nil, waitable says whether waiting may help: some replica
// could be used but for its load. Servers of a failure domain that seems cut off come
// last of all.
func (s *Scheduler) choose(now time.Time, f *flight) (c *candidate, waitable bool) {
	s.reachCut = false
	if c, waitable = s.chooseByFill(now, f); c != nil || waitable {
		return c, waitable
	}
	s.reachCut = true
	return s.chooseByFill(now, f)
}

// chooseByFill tries one fill after the other.
func (s *Scheduler) chooseByFill(now time.Time, f *flight) (c *candidate, waitable bool) {
	t := f.target
	s.hinted = nil
	if f.Prefix != 0 {
		s.hinted = s.prefixes.get(now, prefixKey{t.Model, f.Prefix})
	}
	near, far := t.replicas[:t.near], t.replicas[t.near:]
	for s.fill = rationed; s.fill <= queueing; s.fill++ {
		if s.fill == rationed && !s.limitAllows(now, t) || s.fill == roomy && s.crowd {
			continue
		}
		for _, replicas := range [][]replicaState{near, far} {
			c, w := s.among(now, f, replicas)
			if c != nil {
				return c, true
			}
			waitable = waitable || w
		}
	}
	return nil, waitable
}

// among samples the replicas, filters and scores them, and picks one.
func (s *Scheduler) among(now time.Time, f *flight, replicas []replicaState) (c *candidate, waitable bool) {
	s.sample(now, f, replicas)
	kept := s.candidates[:0]
	for i := range s.candidates {
		c := &s.candidates[i]
		if !passes(usable, s, now, f, c) {
			continue
		}
		waitable = true
		if passes(fitting, s, now, f, c) {
			kept = append(kept, *c)
		}
	}
	s.candidates = kept
	if len(kept) == 0 {
		return nil, waitable
	}
	s.scoreAll(now, f)
	if s.crowd {
		return s.pickByRoom(), true
	}
	return s.pick(), true
}

// sample fills s.candidates: all replicas if they are few, else some at random
// with the one whose cache probably has the prompt's prefix.
func (s *Scheduler) sample(now time.Time, f *flight, replicas []replicaState) {
	s.candidates = s.candidates[:0]
	n := len(replicas)
	if n <= sampled || s.fill == rationed {
		for i := range replicas {
			if n <= sampled || replicas[i].server.rateLimit.Named {
				s.consider(now, &replicas[i])
			}
		}
		return
	}
	if f.Prefix != 0 {
		s.consider(now, &replicas[int(f.Prefix%uint64(n))])
	}
	for len(s.candidates) < sampled {
		s.consider(now, &replicas[s.rng.IntN(n)])
	}
}

func (s *Scheduler) consider(now time.Time, r *replicaState) {
	c := newCandidate(now, r.server)
	c.replica = r
	s.candidates = append(s.candidates, c)
}

func (s *Scheduler) scoreAll(now time.Time, f *flight) {
	s.meanLoad = 0
	for i := range s.candidates {
		s.meanLoad += s.candidates[i].load / float64(len(s.candidates))
	}
	for i := range s.candidates {
		c := &s.candidates[i]
		c.score = 0
		for _, x := range scorers {
			c.score += x.score(s, now, f, c)
		}
	}
}

// pick is the picker: the better of two random candidates, and now and then any
// of them.
func (s *Scheduler) pick() *candidate {
	n := len(s.candidates)
	first := s.rng.IntN(n)
	a := &s.candidates[first]
	if n == 1 || s.rng.IntN(probeEvery) == 0 {
		return a
	}
	b := &s.candidates[(first+1+s.rng.IntN(n-1))%n]
	if b.score < a.score {
		return b
	}
	return a
}

// pickByRoom picks at random in proportion to the free slots and to the speed. It is
// for more instances than a server has slots, which read the same report and would all
// choose the emptiest server; so they fill each as far as it has room.
func (s *Scheduler) pickByRoom() *candidate {
	sum := 0.0
	for i := range s.candidates {
		sum += s.candidates[i].weight()
	}
	at := s.rng.Float64() * sum
	for i := range s.candidates {
		if at -= s.candidates[i].weight(); at < 0 {
			return &s.candidates[i]
		}
	}
	return &s.candidates[len(s.candidates)-1]
}

func (c *candidate) weight() float64 {
	free := max(float64(c.server.Slots)-c.load, leastRoom)
	return free / max(c.score, leastRoom)
}
