// Package caller is the callers' side of an entry instance: the OpenAI-style
// HTTP interface, the plain services, and each request's way from arrival to
// its one final answer.
package caller

import (
	"context"

	"greengageferry/config"
	"greengageferry/infra"
	"greengageferry/record"
)

// Directory gives the configuration in force. It is nil before the instance
// knows any.
type Directory interface {
	Config() *config.Config
}

// Quarantine knows which requests crash backend servers.
type Quarantine interface {
	// Quarantined says whether the fingerprint is refused now.
	Quarantined(fingerprint [32]byte) bool
	// Suspect says whether a backend server died while it ran the fingerprint,
	// though not often enough for a quarantine.
	Suspect(fingerprint [32]byte) bool
	// Crashed reports that a backend server died while it ran the fingerprint.
	Crashed(ctx context.Context, c *record.Crash)
}

// Answer is a whole answer, kept for resends of a claimed request.
type Answer struct {
	Request       string
	Status        int
	ContentType   string
	Body          []byte
	FailureDomain string
	Server        string
}

// Answers finds the answer that an instance gave to a claimed request.
type Answers interface {
	// Fetch asks the instance for the answer to the attempt. finished is false
	// while it still runs.
	Fetch(ctx context.Context, instance, attempt string) (a Answer, finished, found bool, err error)
}

// Services sends calls to plain services' backend servers.
type Services = infra.Services
