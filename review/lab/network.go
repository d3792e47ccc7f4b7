//go:build review

package main

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
)

// The ports of every instance, as in the settings of a deployment: the same on all machines.
const (
	frontPort = 8149
	readyPort = 8141
	peerPort  = 7380
	storePort = 8142
)

// subnet is the loopback range of the lab.
const subnet = "127.77"

// realHost returns the address of instance number z, 1 to 9.
func realHost(z int) string { return fmt.Sprintf("%s.0.1%d", subnet, z) }

// seenHost returns the address at which instance x reaches instance z: its own, or that of the
// proxy of the link from x to z. All have the same length, so that replacing one by another keeps
// the framing of messages.
func seenHost(x, z int) string {
	if x == z || x == 0 {
		return realHost(z)
	}
	return fmt.Sprintf("%s.%d.1%d", subnet, x, z)
}

// translator replaces instances' addresses as x knows them by those that y knows.
func translator(x, y, instances int) *strings.Replacer {
	var pairs []string
	for z := 1; z <= instances; z++ {
		pairs = append(pairs, fmt.Sprintf("%s:%d", seenHost(x, z), peerPort), fmt.Sprintf("%s:%d", seenHost(y, z), peerPort))
	}
	return strings.NewReplacer(pairs...)
}

// link is a TCP proxy that can be cut silently: nothing passes, and nothing is reset.
type link struct {
	listener net.Listener
	target   string
	out, in  *strings.Replacer // applied to what passes to the target and back

	mu    sync.Mutex
	cond  *sync.Cond
	cut   bool
	ended bool
	conns map[net.Conn]bool
}

func newLink(addr, target string, out, in *strings.Replacer) (*link, error) {
	l, err := net.Listen("tcp4", addr)
	if err != nil {
		return nil, err
	}
	k := &link{listener: l, target: target, out: out, in: in, conns: map[net.Conn]bool{}}
	k.cond = sync.NewCond(&k.mu)
	go k.accept()
	return k, nil
}

func (k *link) accept() {
	for {
		c, err := k.listener.Accept()
		if err != nil {
			return
		}
		go k.serve(c)
	}
}

func (k *link) serve(from net.Conn) {
	k.track(from)
	if !k.pass() {
		k.drop(from)
		return
	}
	to, err := net.Dial("tcp4", k.target)
	if err != nil {
		k.drop(from)
		return
	}
	k.track(to)
	var both sync.WaitGroup
	both.Add(2)
	go func() { defer both.Done(); k.copy(to, from, k.out) }()
	go func() { defer both.Done(); k.copy(from, to, k.in) }()
	both.Wait()
}

// copy passes data on while the link isn't cut, and the end of either side.
func (k *link) copy(to, from net.Conn, r *strings.Replacer) {
	defer k.drop(to)
	defer k.drop(from)
	buf := make([]byte, 256<<10)
	for {
		n, err := from.Read(buf)
		if !k.pass() {
			return
		}
		if n > 0 {
			if _, werr := io.WriteString(to, r.Replace(string(buf[:n]))); werr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// pass waits while the link is cut. It returns false once the lab has ended.
func (k *link) pass() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	for k.cut && !k.ended {
		k.cond.Wait()
	}
	return !k.ended
}

func (k *link) track(c net.Conn) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.conns[c] = true
}

// drop resets a connection, so that data that was held back isn't delivered.
func (k *link) drop(c net.Conn) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.conns, c)
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// setCut cuts the link or heals it. What was held back at the end of a cut is lost with its
// connection.
func (k *link) setCut(cut bool) {
	k.mu.Lock()
	k.cut = cut
	var lost []net.Conn
	if !cut {
		for c := range k.conns {
			lost = append(lost, c)
		}
	}
	k.cond.Broadcast()
	k.mu.Unlock()
	for _, c := range lost {
		k.drop(c)
	}
}

func (k *link) close() {
	_ = k.listener.Close()
	k.mu.Lock()
	k.ended = true
	var all []net.Conn
	for c := range k.conns {
		all = append(all, c)
	}
	k.cond.Broadcast()
	k.mu.Unlock()
	for _, c := range all {
		k.drop(c)
	}
}
