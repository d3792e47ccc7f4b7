// Package load is a load generator for a greengageferry entry instance on a
// loopback address. It measures latencies as HDR histogram percentiles, the
// share of requests that met their deadline, and the reported outcomes.
//
// Run generates the requests that Options describe, sends them through a Client
// from concurrent workers, and collects each Answer in a Report. A Client can
// also be used alone. The nth request depends only on the options and their
// seed, so it is the same in each run.
package load

import (
	"fmt"
	"net"
	"net/http"
	"net/url"
	"time"

	"greengageferry/netconn"
)

// Upper bounds of the options, so that a typing mistake can't keep a machine
// busy for hours.
const (
	MaxRate        = 20_000 // requests per second
	MaxConcurrency = 4096   // requests in flight
	MaxRequests    = 5_000_000
	MaxDuration    = time.Hour
	MaxPromptBytes = 1 << 20
)

// Defaults of the options.
const (
	DefaultConcurrency         = 8
	DefaultOpenLoopConcurrency = 512 // requests in flight at most, if a rate is set
	DefaultRequests            = 10_000
	DefaultDuration            = 10 * time.Second
	DefaultMaxTokens           = 64
	DefaultTimeout             = 10 * time.Second
	DefaultPromptMin           = 200
	DefaultPromptMax           = 2000
	DefaultPrefixes            = 8
)

// Options describe a load.
//
// With a Rate the load is open-loop: requests are scheduled at random times with
// exponential gaps, however long the answers take. Concurrency bounds the
// requests in flight, and latencies count from a request's scheduled time.
//
// Without a Rate the load is closed-loop: Concurrency workers each send one
// request after the other.
type Options struct {
	URL           string        // base URL of the entry instance, such as http://127.0.0.1:8080
	Key           string        // the caller's API key
	Models        []string      // requested with equal probability
	Rate          float64       // requests per second; 0: closed-loop
	Concurrency   int           // requests in flight at most
	Requests      int           // number of requests after which the load ends
	Duration      time.Duration // time after which no more requests are sent
	PromptMin     int           // shortest prompt, in bytes
	PromptMax     int           // longest prompt, in bytes
	Prefixes      int           // number of distinct prompt prefixes that requests share
	MaxTokens     int           // tokens of an answer at most
	Timeout       time.Duration // deadline of each request, sent as Greengageferry-Timeout-Ms
	Streamed      float64       // share of requests whose answer is streamed, 0 to 1
	Keyed         float64       // share of non-idempotent requests with an Idempotency-Key, 0 to 1
	NonIdempotent float64       // share of non-idempotent requests without a key, 0 to 1
	Seed          uint64
	Progress      func(Progress) // called about once per second; nil: never
}

// UsageError reports an option with an invalid value.
type UsageError struct {
	Option  string
	Problem string
}

// Error implements error.
func (e *UsageError) Error() string { return e.Option + ": " + e.Problem }

// WithDefaults returns the options with zero values replaced by defaults. The
// shares, the rate and the seed have no default.
func (o Options) WithDefaults() Options {
	if o.Concurrency == 0 {
		o.Concurrency = DefaultConcurrency
		if o.Rate > 0 {
			o.Concurrency = DefaultOpenLoopConcurrency
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

// setDefault sets *p to value if *p is the zero value.
func setDefault[T comparable](p *T, value T) {
	var zero T
	if *p == zero {
		*p = value
	}
}

// check returns a *UsageError for the first invalid option.
func (o Options) check() error {
	if err := checkURL(o.URL); err != nil {
		return err
	}
	if len(o.Models) == 0 {
		return &UsageError{Option: "models", Problem: "name at least one"}
	}
	for _, b := range []struct {
		option       string
		value        float64
		lower, upper float64
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
		if !(b.value >= b.lower && b.value <= b.upper) {
			return &UsageError{Option: b.option, Problem: fmt.Sprintf("%g is not within %g to %g", b.value, b.lower, b.upper)}
		}
	}
	return nil
}

// checkURL returns a *UsageError unless the URL is http with a loopback IP
// address as host: a load may only be sent to the local machine.
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

// newHTTPClient returns a client that connects directly: it uses no proxy from
// the environment and follows no redirects. connections is the number of idle
// connections kept.
func newHTTPClient(connections int) *http.Client {
	return &http.Client{
		Transport:     netconn.SendOnce(&http.Transport{MaxIdleConns: connections, MaxIdleConnsPerHost: connections}),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}
