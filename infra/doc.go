// Package infra describes what the platform around greengageferry gives it:
// an append-only log, model engines, plain services, a weight store and a list
// of instances. Each is a small interface; each has one HTTP adapter, in a file
// of its own, so that another form of the same service needs one more file and
// no change elsewhere.
//
// Every call takes a context whose deadline bounds it. A failed call returns an
// error for which errors.As finds an *Error; its Effect says whether the
// action may have happened.
package infra
