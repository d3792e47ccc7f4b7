// Package standin holds small stand-ins for what the platform gives: the log,
// the list of instances, the weight store, model engines and plain services.
// Each implements its platform interface in process, through the same code that
// its http.Handler serves, and takes faults at run time. Each keeps the truth of
// what it did, for checks of the whole system.
//
// The stand-ins read time through package time only, so that they run under
// testing/synctest. They are for tests and for trying the system out: nothing
// that they hold lasts.
package standin
