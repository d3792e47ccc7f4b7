// Package soak runs a small deployment on one machine and injects faults into it.
// Instances run as separate processes between simulated callers and a stand-in of the
// users' platform, which has the store and the backend servers. The faults are links that
// are delayed, reset, cut in one direction or silent; processes that are stopped,
// suspended, killed and restarted; servers that crash, come back empty or leave, or
// answer wrongly: with events out of order or extra copies of refusals; a store that is down or loses answers; configuration changes; and times in which more is asked for
// than servers can take, while they differ in speed. Faults come one after another
// and overlap. The seed determines all of them.
//
// Run plays one seed in a Deployment. During the run and after it, what callers and
// servers saw, collected in a History, is checked against rules that the product must
// obey. The package's test is its command line.
package soak
