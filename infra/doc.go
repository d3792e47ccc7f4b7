// Package infra defines the services of the platform around greengageferry: an append-only
// log (Log), model engines (Engine), plain services (Services), a weight store (WeightStore)
// and a list of instances (Instances). Each is a small interface with one HTTP
// implementation in a file of its own, so that another protocol needs one more file and no
// change elsewhere.
//
// The deadline of a call's context bounds the call. A failed call returns an error for which
// errors.As finds an *Error; its Effect tells whether the action may have happened.
package infra
