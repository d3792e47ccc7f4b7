// Package soak runs instances as separate processes on one machine, between a
// stand-in of the users' platform and callers, and injects faults from outside:
// links that are delayed, reset, cut one way or silent, processes that are
// stopped, suspended, killed and started again, servers that crash, come back
// empty or leave, a store that is away or loses answers, and changes of the
// configuration. Faults come in series and overlap. A seed decides them all.
//
// While it runs and afterwards it checks what callers and servers saw against
// the product's promises. The test in this package is its command line.
package soak
