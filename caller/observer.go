package caller

import (
	"greengageferry/decide"
	"greengageferry/infra"
)

// Observer receives what the rest of the instance needs to know about requests: the
// demand for each target, and backend servers that lack a model which they should
// hold. Its methods are called by the dispatcher unless stated otherwise, and must
// not block.
type Observer interface {
	// Decided is called for a dispatch or a refusal.
	Decided(target string, d decide.Decision)
	// Ended is called when a request ends after an attempt, with the server
	// and the outcome of its last attempt.
	Ended(target, server string, o decide.Outcome)
	// ReportLoad is called for a load report carried by an answer. It is called
	// by the requests' own goroutines.
	ReportLoad(server string, load infra.Load)
	// NotResident is called when a server lacks the requested model or adapter.
	NotResident(server string)
}

// nopObserver is the default Observer and does nothing.
type nopObserver struct{}

func (nopObserver) Decided(string, decide.Decision)      {}
func (nopObserver) Ended(string, string, decide.Outcome) {}
func (nopObserver) ReportLoad(string, infra.Load)        {}
func (nopObserver) NotResident(string)                   {}

// observeFailure notifies the observer if an attempt failed because the model or
// adapter is not resident.
func (s *Server) observeFailure(server string, f decide.Failure) {
	if f.Reason == infra.ReasonNotResident {
		s.opts.Observer.NotResident(server)
	}
}
