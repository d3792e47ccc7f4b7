// Package control places models on the backend servers of one failure domain.
// Each of the domain's entry instances runs a Controller. All of them follow
// the domain's control stream; the one that holds the domain's lease changes
// assignments, orders the servers toward them and says on the log what is
// served. While the log is out, the others may restore a server that came back
// empty, to its last assignment and no further.
//
// The decisions are in core and the types that it is made of: they are stepped
// with what was read and the time, and hand back what to send. Controller does
// the I/O around them.
package control
