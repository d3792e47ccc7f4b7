package instance

import (
	"container/list"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// callerConnFraction is the fraction of the process's file descriptors that callers'
	// connections may take while some of them are idle. The rest is for connections to servers,
	// the store and other instances.
	callerConnFraction = 0.75
	// acceptErrorConns is how many idle connections are closed each time that a connection can't
	// be accepted.
	acceptErrorConns = 16
	// maxAcceptFailure is how long no connection may have been accepted until the health check
	// fails, so that the balancer sends callers elsewhere.
	maxAcceptFailure = time.Second
)

// callerConns knows the callers' connections. Where they take too many file descriptors, it closes
// those that are idle the longest: their callers can open new ones, while a connection that isn't
// accepted keeps its caller waiting. It is safe for concurrent use.
type callerConns struct {
	log         logrus.FieldLogger
	descriptors func() int // of the process; 0: not known

	mu           sync.Mutex
	open         int
	idle         *list.List                 // of net.Conn, the longest idle first
	elements     map[net.Conn]*list.Element // of idle
	closedIdle   int64
	failingSince time.Time // when a connection first could not be accepted; zero: the newest was
}

func newCallerConns(log logrus.FieldLogger, descriptors func() int) *callerConns {
	return &callerConns{log: log, descriptors: descriptors, idle: list.New(), elements: map[net.Conn]*list.Element{}}
}

// onState is for http.Server.ConnState.
func (c *callerConns) onState(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e := c.elements[conn]; e != nil {
		c.idle.Remove(e)
		delete(c.elements, conn)
	}
	switch state {
	case http.StateNew:
		c.open++
		if limit := int(callerConnFraction * float64(c.descriptors())); limit > 0 && c.open > limit {
			c.closeLongestIdle(1)
		}
	case http.StateIdle:
		c.elements[conn] = c.idle.PushBack(conn)
	case http.StateClosed, http.StateHijacked:
		c.open--
	}
}

// closeLongestIdle closes up to n idle connections. The lock is held.
func (c *callerConns) closeLongestIdle(n int) {
	for ; n > 0 && c.idle.Len() > 0; n-- {
		conn := c.idle.Remove(c.idle.Front()).(net.Conn)
		delete(c.elements, conn)
		c.closedIdle++
		_ = conn.Close() // its caller may have closed it
	}
}

// onAcceptError handles that a connection could not be accepted, or with nil that one was accepted
// after that.
func (c *callerConns) onAcceptError(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f := logrus.Fields{"open": c.open, "idle": c.idle.Len()}
	switch {
	case err == nil:
		f["ms"] = time.Since(c.failingSince).Milliseconds()
		c.failingSince = time.Time{}
		c.log.WithFields(f).Info("callers' connections accepted again")
		return
	case c.failingSince.IsZero():
		c.failingSince = time.Now()
		f["error"] = err
		c.log.WithFields(f).Warn("callers' connections can't be accepted")
	}
	c.closeLongestIdle(acceptErrorConns)
}

// accepts reports whether callers' connections are accepted.
func (c *callerConns) accepts(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failingSince.IsZero() || now.Sub(c.failingSince) < maxAcceptFailure
}

// counts returns how many connections are open, and how many idle ones were closed to make room.
func (c *callerConns) counts() (open int, closedIdle int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open, c.closedIdle
}
