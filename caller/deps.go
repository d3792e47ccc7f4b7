// Package caller serves the callers' side of an entry instance: the
// OpenAI-compatible HTTP interface to models, and the plain HTTP services.
//
// A Server takes in each request as a call. The handler authenticates and parses
// the request; the dispatcher, which owns the scheduler, decides when and to which
// backend server the call goes; the call's job makes the attempts and relays the
// answer through a response. A request with an idempotency key is first
// claimed on the log, so that it runs once on all instances together. Its answer
// stays in the instance's answerCache and is replayed to later requests with the
// same key. Every request ends with one answer: the backend server's, a replayed
// one, or a typed api.Problem that says whether the request may have run.
package caller

import (
	"context"

	"greengageferry/config"
	"greengageferry/infra"
	"greengageferry/record"
)

// Directory provides the configuration in force. Config returns nil before the
// instance knows one.
type Directory interface {
	Config() *config.Config
}

// Quarantine tracks requests, by fingerprint, that crash backend servers.
type Quarantine interface {
	// Quarantined reports whether requests with the fingerprint are refused.
	Quarantined(fingerprint [32]byte) bool
	// Suspect reports whether a backend server crashed while running a request
	// with the fingerprint, but not often enough for a quarantine.
	Suspect(fingerprint [32]byte) bool
	// ReportCrash records that a backend server crashed while running a request
	// with the fingerprint.
	ReportCrash(ctx context.Context, c *record.Crash)
}

// Answer is a complete answer to a claimed request, stored so that it can be
// replayed to later requests with the same idempotency key.
type Answer struct {
	Request       string
	Status        int
	ContentType   string
	Body          []byte
	FailureDomain string
	Server        string
}

// Answers fetches the answers that instances gave to claimed requests.
type Answers interface {
	// Fetch requests the answer to the attempt from the instance. finished is
	// false while the attempt runs; found is false if the instance has no answer.
	Fetch(ctx context.Context, instance, attempt string) (a Answer, finished, found bool, err error)
}

// Services sends calls to the backend servers of plain services.
type Services = infra.Services
