package standin

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"
)

// Network simulates network partitions between failure domains, in one direction or
// both, and the death of nodes. It applies to HTTP clients that dial through its
// Dialer. As on a real network, a partition causes no error by itself: connections
// and data are held until the partition heals. A connection that has been held for
// keepAliveTimeout breaks, as with TCP keep-alive.
type Network struct {
	mu         sync.Mutex
	domains    map[string]string           // failure domain by address
	partitions map[direction]chan struct{} // closed when the partition heals
	conns      map[*networkConn]struct{}
	dead       map[string]bool // killed nodes, and addresses of killed nodes
}

// keepAliveTimeout is how long a peer can be silent before an entry instance's
// operating system gives up the connection.
const keepAliveTimeout = 9 * time.Second

// direction is the ordered pair of a sending and a receiving failure domain.
type direction struct{ from, to string }

// NewNetwork returns a network without partitions.
func NewNetwork() *Network {
	return &Network{
		domains:    map[string]string{},
		partitions: map[direction]chan struct{}{},
		conns:      map[*networkConn]struct{}{},
		dead:       map[string]bool{},
	}
}

// SetDomain sets the failure domain of an address. An address without a failure
// domain is reachable from all of them.
func (n *Network) SetDomain(addr, domain string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.domains[addr] = domain
}

// PartitionOneWay holds the traffic from one failure domain to another.
func (n *Network) PartitionOneWay(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	d := direction{from, to}
	if n.partitions[d] == nil {
		n.partitions[d] = make(chan struct{})
	}
}

// Partition holds the traffic between two failure domains in both directions.
func (n *Network) Partition(a, b string) {
	n.PartitionOneWay(a, b)
	n.PartitionOneWay(b, a)
}

// Heal ends the partitions between two failure domains, in both directions.
func (n *Network) Heal(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, d := range []direction{{a, b}, {b, a}} {
		if healed := n.partitions[d]; healed != nil {
			close(healed)
			delete(n.partitions, d)
		}
	}
}

// healSignal returns a channel that closes when the direction's partition heals, or
// nil if there is no partition.
func (n *Network) healSignal(d direction) <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	if healed := n.partitions[d]; healed != nil {
		return healed
	}
	return nil
}

// wait returns true once the direction has no partition, or false if ended closes
// or keepAliveTimeout passes first.
func (n *Network) wait(d direction, ended <-chan struct{}) bool {
	healed := n.healSignal(d)
	if healed == nil {
		return true
	}
	timer := time.NewTimer(keepAliveTimeout)
	defer timer.Stop()
	for ; healed != nil; healed = n.healSignal(d) {
		select {
		case <-healed:
		case <-ended:
			return false
		case <-timer.C:
			return false
		}
	}
	return true
}

// Kill simulates the death of a node's process as other nodes see it: connections
// that the node dialed and those to its addresses break, and new ones are refused.
func (n *Network) Kill(node string, addrs ...string) {
	n.mu.Lock()
	n.dead[node] = true
	for _, addr := range addrs {
		n.dead[addr] = true
	}
	var broken []*networkConn
	for c := range n.conns {
		if n.dead[c.node] || n.dead[c.addr] {
			broken = append(broken, c)
		}
	}
	n.mu.Unlock()
	for _, c := range broken {
		c.Close()
	}
}

// Dialer returns the DialContext function for the http.Transport of a node in the
// failure domain.
func (n *Network) Dialer(from, node string) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		n.mu.Lock()
		to, placed := n.domains[addr]
		n.mu.Unlock()
		if !placed {
			to = from
		}
		outbound, inbound := direction{from, to}, direction{to, from}
		if !n.wait(outbound, ctx.Done()) || !n.wait(inbound, ctx.Done()) {
			return nil, &net.OpError{Op: "dial", Net: network, Err: syscall.ETIMEDOUT}
		}
		conn, err := (&net.Dialer{}).DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		c := &networkConn{Conn: conn, network: n, node: node, addr: addr, outbound: outbound, inbound: inbound, closed: make(chan struct{})}
		if !n.register(c) {
			conn.Close()
			return nil, &net.OpError{Op: "dial", Net: network, Err: syscall.ECONNREFUSED}
		}
		return c, nil
	}
}

// register adds a new connection, or returns false if the node on either end is dead.
func (n *Network) register(c *networkConn) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.dead[c.node] || n.dead[c.addr] {
		return false
	}
	n.conns[c] = struct{}{}
	return true
}

// unregister removes a closed connection.
func (n *Network) unregister(c *networkConn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, c)
}

// networkConn is a connection that holds its data during a partition.
type networkConn struct {
	net.Conn
	network           *Network
	node, addr        string // the dialing node, and the dialed address
	outbound, inbound direction
	close             sync.Once
	closed            chan struct{}
}

// Read implements net.Conn. Data that arrives during a partition of the inbound
// direction is held.
func (c *networkConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !c.network.wait(c.inbound, c.closed) {
		return 0, c.closeTimedOut()
	}
	return n, err
}

// Write implements net.Conn. It blocks during a partition of the outbound direction.
func (c *networkConn) Write(p []byte) (int, error) {
	if !c.network.wait(c.outbound, c.closed) {
		return 0, c.closeTimedOut()
	}
	return c.Conn.Write(p)
}

// closeTimedOut closes the connection and returns the error of a connection that was
// silent for too long.
func (c *networkConn) closeTimedOut() error {
	c.Close()
	return syscall.ETIMEDOUT
}

// Close implements net.Conn. A close takes effect despite partitions, so that a
// test's servers can shut down.
func (c *networkConn) Close() error {
	c.close.Do(func() {
		close(c.closed)
		c.network.unregister(c)
	})
	return c.Conn.Close()
}
