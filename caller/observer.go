package caller

import (
	"greengageferry/decide"
	"greengageferry/infra"
)

// Observer is told what the rest of the instance needs to know of requests: what
// is asked for, and which backend servers lack what they should hold. Its
// methods are called by the dispatcher and must not block.
type Observer interface {
	// Decided is told of a dispatch or a refusal.
	Decided(target string, d decide.Decision)
	// Ended is told of an answer's end at a server.
	Ended(target, server string, o decide.Outcome)
	// Reported is told of a load report that rode on an answer. It is called by
	// requests' own goroutines.
	Reported(server string, load infra.Load)
	// NotResident is told that a server lacks what it was asked for.
	NotResident(server string)
}

// noObserver is the default.
type noObserver struct{}

func (noObserver) Decided(string, decide.Decision)      {}
func (noObserver) Ended(string, string, decide.Outcome) {}
func (noObserver) Reported(string, infra.Load)          {}
func (noObserver) NotResident(string)                   {}

// observeFailure tells the observer what a failed attempt showed.
func (s *Server) observeFailure(server string, f decide.Failure) {
	if f.Reason == infra.ReasonNotResident {
		s.opts.Observer.NotResident(server)
	}
}
