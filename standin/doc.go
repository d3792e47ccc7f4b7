// Package standin contains in-memory fakes of the platform's services, for tests
// and for trying the system out: the log (Log), the list of instances
// (InstanceList), the weight store (WeightStore), model engines (Engine) and plain
// services (Service). The fakes persist nothing.
//
// Each fake is an http.Handler, and Start serves it on a loopback address. Log,
// InstanceList, WeightStore and, through LocalEngines, Engine also implement their
// interfaces of package infra in process, by the same code. Each fake has a Faults
// field for injecting faults at run time. Each has a Truth method that returns the
// ground truth for checks of the whole system: what the fake actually did, or for
// InstanceList its content now. Network simulates partitions between failure domains
// and the death of nodes.
//
// The fakes read the clock and sleep through package time only, so that they run
// under testing/synctest.
package standin
