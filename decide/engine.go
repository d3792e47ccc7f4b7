package decide

import "time"

const (
	// leastRead is how many prompt tokens a sample must have: with fewer the way to
	// the server and the first step take longer than the reading.
	leastRead = 512
	// aloneUnread is how many unread prompt tokens a server may be believed to have
	// for a prompt to count as read alone: the others' recent mean never falls to
	// zero, and the rate would not be learned any more.
	aloneUnread = 100
	// readSamples is how many prompts must have been seen read before the model is
	// believed.
	readSamples = 4
	// readQuantile is the quantile of the samples that counts as the rate. Those
	// below it waited for what other instances had sent meanwhile: their mean was
	// half of the rate that shows where a server's backlog is known.
	readQuantile = 0.75
	// paceQuantile is the quantile of the time for a token that counts as the time
	// that an engine takes when it reads no prompt beside it.
	paceQuantile = 0.1
	// leastPaced is how many tokens an answer must have for its pace to count.
	leastPaced = 8
	// unreadHalfLife is how long a report of unread tokens keeps half of its weight:
	// a server reads what it may be given in some 0.4 s, and by then has been given
	// as much again.
	unreadHalfLife = 300 * time.Millisecond
	// quantilePull is how far one sample moves an estimated quantile, as a part of
	// it: it settles within some tens of samples, and follows within as many.
	quantilePull = 0.05
)

// quantile follows a quantile of samples above zero.
type quantile struct {
	value float64
	n     int
}

// add takes in a sample for the quantile q, from 0 to 1.
func (v *quantile) add(x, q float64) {
	v.n++
	switch {
	case v.n == 1:
		v.value = x
	case x > v.value:
		v.value *= 1 + quantilePull*q
	case x < v.value:
		v.value *= 1 - quantilePull*(1-q)
	}
}

// engineModel is what an instance has learned of how a pool's engines spend their
// time. An engine reads the prompts it has been given one after the other, in
// pieces between the tokens of the answers that it writes: how long a first
// token takes follows from the prompt tokens that are still unread there, and
// hardly from the number of requests. Nothing of it is configured.
type engineModel struct {
	read quantile // prompt tokens a second, by engines that had nothing else to read
	pace quantile // seconds for a token where no prompts are read beside it
}

// rate returns the prompt tokens that an engine reads in a second, 0 where too
// little is known.
func (m *engineModel) rate() float64 {
	if m.read.n < readSamples {
		return 0
	}
	return m.read.value
}

// readTime returns the seconds in which an engine reads so many prompt tokens, 0
// where too little is known.
func (m *engineModel) readTime(tokens float64) float64 {
	rate := m.rate()
	if rate <= 0 {
		return 0
	}
	return tokens / rate
}

// learnRead takes in a first token, for a request whose prompt had nothing to
// wait for.
func (m *engineModel) learnRead(tokens int, took time.Duration) {
	if tokens >= leastRead && took > 0 {
		m.read.add(float64(tokens)/took.Seconds(), readQuantile)
	}
}

// learnPace takes in an answer's mean time for a token.
func (m *engineModel) learnPace(tokens int, perToken float64) {
	if tokens >= leastPaced && perToken > 0 {
		m.pace.add(perToken, paceQuantile)
	}
}

// work returns how many seconds of a whole engine a request takes: those in which
// its prompt is read, and its part of the steps of a full batch. It is 0 where too
// little is known.
func (m *engineModel) work(prompt int, output float64, slots int) float64 {
	if m.rate() <= 0 {
		return 0
	}
	return m.readTime(float64(prompt)) + output*m.pace.value/float64(max(slots, 1))
}

// Work returns how many seconds of a whole engine the request would take, 0
// where too little is known of its target's engines.
func (s *Scheduler) Work(r *Request) time.Duration {
	t := s.fleet.targets[r.Target]
	if t == nil || t.Service || t.pool == nil {
		return 0
	}
	return seconds(t.pool.engine.work(r.PromptTokens, t.outputOf(r), t.pool.slots))
}

// outputOf returns how many tokens the request's answer will probably have.
func (t *targetState) outputOf(r *Request) float64 {
	allowed := float64(t.allowed(r))
	if r.LengthHint > 0 && (allowed <= 0 || float64(r.LengthHint) < allowed) {
		return float64(r.LengthHint)
	}
	if length := &t.pool.service.length; length.warm() {
		return allowed * length.mean
	}
	return allowed
}

// Began is told that the first token of the request's attempt has come: its
// prompt is read, and another may be sent in its place.
func (s *Scheduler) Began(now time.Time, request, server string) []Decision {
	s.out = s.out[:0]
	f := s.requests[request]
	if f == nil || f.at == nil || f.at.ID != server || f.begun {
		return s.out
	}
	if f.alone {
		f.at.pool.engine.learnRead(f.PromptTokens, now.Sub(f.sentAt))
	}
	f.begun = true
	f.at.unread -= f.PromptTokens
	s.pumpServer(now, f.at)
	return s.out
}

// unreadAt estimates the prompt tokens that the server has yet to read: this
// instance's own, exactly, and the others' from the report, which gives way to
// their recent mean as it ages.
func (s *serverState) unreadAt(now time.Time) float64 {
	return s.withOthers(now, s.unread, s.report.UnreadTokens-s.unreadAtReport, s.othersUnread, unreadHalfLife)
}

// firstToken returns the seconds until the request's first token would come from
// the server, 0 where too little is known.
func (c *candidate) firstToken(f *flight) float64 {
	return c.server.pool.engine.readTime(c.unread + float64(f.PromptTokens))
}

// readWait returns the seconds until the server would begin to read one more
// prompt, 0 where too little is known.
func (c *candidate) readWait() float64 {
	return c.server.pool.engine.readTime(c.unread)
}

// Unread returns the prompt tokens of this instance's requests at a server that
// have no first token yet.
func (s *Scheduler) Unread(server string) int {
	if srv := s.fleet.servers[server]; srv != nil {
		return srv.unread
	}
	return 0
}
