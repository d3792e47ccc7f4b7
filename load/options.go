// Package load sends a bounded load of requests to a greengageferry entry
// instance on a loopback address, and measures what its callers get: latencies
// as HDR percentiles, the share of requests that met their deadline, and the
// outcomes that they were told.
//
// The load is a function of its seed: the nth request is the same in each run.
package load

import (
	"fmt"
	"net"
	"net/http"
	"net/url"
	"time"
)

// Hard limits of a load, so that a slip of the hand can't load a machine for
// hours.
const (
	MaxRate        = 20_000 // requests a second
	MaxConcurrency = 4096   // requests in flight
	MaxRequests    = 5_000_000
	MaxDuration    = time.Hour
	MaxPromptBytes = 1 << 20
)

// Defaults.
const (
	DefaultConcurrency = 8
	DefaultInFlight    = 512 // bound of requests in flight where a rate is given
	DefaultRequests    = 10_000
	DefaultDuration    = 10 * time.Second
	DefaultMaxTokens   = 64
	DefaultTimeout     = 10 * time.Second
	DefaultPromptMin   = 200
	DefaultPromptMax   = 2000
	DefaultPrefixes    = 8
)

// Options describe a load. Rate and Concurrency: with a rate, requests arrive
// at random times (exponential gaps) whatever the answers take, Concurrency
// bounds those in flight, and a request's times count from when it was due;
// without, Concurrency callers each send one request after the other.
type Options struct {
	URL           string        // of the entry instance, such as http://127.0.0.1:8080
	Key           string        // the caller's key
	Models        []string      // asked for evenly
	Rate          float64       // arrivals a second; 0: none, Concurrency callers instead
	Concurrency   int           // requests in flight at most
	Requests      int           // ends the load
	Duration      time.Duration // ends the load
	PromptMin     int           // shortest prompt, in bytes
	PromptMax     int           // longest prompt, in bytes
	Prefixes      int           // how many prompt beginnings the requests share
	MaxTokens     int           // of an answer
	Timeout       time.Duration // each request's deadline, sent as Greengageferry-Timeout-Ms
	Streamed      float64       // share of requests that ask for a stream, 0 to 1
	Keyed         float64       // share that is non-idempotent with an Idempotency-Key
	NonIdempotent float64       // share that is non-idempotent without a key
	Seed          uint64
	Progress      func(Progress) // called about once a second; nil: never
}

// UsageError says what is wrong with an option.
type UsageError struct {
	Option  string
	Problem string
}

// Error implements error.
func (e *UsageError) Error() string { return e.Option + ": " + e.Problem }

// WithDefaults returns the options with defaults in place of zeros. Shares and
// the rate have none.
func (o Options) WithDefaults() Options {
	if o.Concurrency == 0 {
		o.Concurrency = DefaultConcurrency
		if o.Rate > 0 {
			o.Concurrency = DefaultInFlight
		}
	}
	setDefault(&o.Requests, DefaultRequests)
	setDefault(&o.Duration, DefaultDuration)
	setDefault(&o.MaxTokens, DefaultMaxTokens)
	setDefault(&o.Timeout, DefaultTimeout)
	setDefault(&o.PromptMin, DefaultPromptMin)
	setDefault(&o.PromptMax, max(DefaultPromptMax, o.PromptMin))
	setDefault(&o.Prefixes, DefaultPrefixes)
	return o
}

func setDefault[T comparable](p *T, value T) {
	var zero T
	if *p == zero {
		*p = value
	}
}

// check returns a *UsageError for the first option that is out of its bounds.
func (o Options) check() error {
	if err := checkURL(o.URL); err != nil {
		return err
	}
	if len(o.Models) == 0 {
		return &UsageError{Option: "models", Problem: "name at least one"}
	}
	for _, b := range []struct {
		option     string
		value      float64
		least, top float64
	}{
		{"rate", o.Rate, 0, MaxRate},
		{"concurrency", float64(o.Concurrency), 1, MaxConcurrency},
		{"requests", float64(o.Requests), 1, MaxRequests},
		{"duration", o.Duration.Seconds(), 0.001, MaxDuration.Seconds()},
		{"timeout", o.Timeout.Seconds(), 0.001, MaxDuration.Seconds()},
		{"prompt-min", float64(o.PromptMin), 1, MaxPromptBytes},
		{"prompt-max", float64(o.PromptMax), float64(o.PromptMin), MaxPromptBytes},
		{"prefixes", float64(o.Prefixes), 1, 1 << 20},
		{"max-tokens", float64(o.MaxTokens), 1, 1 << 20},
		{"streamed", o.Streamed, 0, 1},
		{"keyed", o.Keyed, 0, 1},
		{"non-idempotent", o.NonIdempotent, 0, 1 - o.Keyed},
	} {
		if !(b.value >= b.least && b.value <= b.top) {
			return &UsageError{Option: b.option, Problem: fmt.Sprintf("%g is not within %g to %g", b.value, b.least, b.top)}
		}
	}
	return nil
}

// checkURL refuses what isn't a loopback IP number: a load is for one's own
// machine.
func checkURL(s string) error {
	u, err := url.Parse(s)
	if err != nil {
		return &UsageError{Option: "url", Problem: err.Error()}
	}
	if u.Scheme != "http" {
		return &UsageError{Option: "url", Problem: "want http://IP:PORT"}
	}
	if ip := net.ParseIP(u.Hostname()); ip == nil || !ip.IsLoopback() {
		return &UsageError{Option: "url", Problem: u.Hostname() + " is not a loopback IP number"}
	}
	return nil
}

// newClient returns a client that goes straight to the address: no proxy from
// the environment, no redirects.
func newClient(connections int) *http.Client {
	return &http.Client{
		Transport:     &http.Transport{MaxIdleConns: connections, MaxIdleConnsPerHost: connections},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}
