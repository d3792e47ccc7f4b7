// Package control places models on the backend servers of one failure domain.
//
// Each of the domain's entry instances runs a Controller that follows the
// domain's control stream, a replicated log. The holder of the domain's lease
// appends assignments, sends orders (load, unload, raise the fencing token) to
// the servers until they match, and appends what each server serves. While the
// log is down, other instances may restore a server that restarted empty to its
// last assignment, but can't change assignments.
//
// Only instances that joined the stream as orderers send orders. An item that
// is dropped from an assignment stays on the log as lingering, and its memory
// counts as used, until a Removal record confirms that no earlier order can
// load the item again. See removableItems for the rules, which differ for
// engines that refuse old fencing tokens and engines that ignore them.
//
// The decisions are in core and its parts (LeaseKeeper, membership, reconcile,
// loadLimiter, workingCopy): state machines without I/O that take the time and
// the data read as arguments and return the actions to carry out. Controller
// runs core in one goroutine and does the I/O in worker goroutines, which send
// their results back as events.
package control
