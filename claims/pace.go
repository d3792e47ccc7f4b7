package claims

import (
	"context"
	"crypto/rand"
	"fmt"
	"sync"
	"time"

	"greengageferry/record"
)

const (
	// paceSamples is how many claims in a row must have taken longer than a caller has,
	// so that one slow claim has no other refused.
	paceSamples = 3
	// paceTTL is how long the newest claim's duration says something about the next
	// one's. It is longer than a probe takes.
	paceTTL = 10 * time.Second
	// claimShare is the largest share of a caller's time that a claim may take. The
	// request has yet to run after it.
	claimShare = 0.9
)

// SlowError reports that a claim was not tried, because recent claims took longer than
// its caller has. The request did not run.
type SlowError struct {
	Least time.Duration // of the recent claims, the shortest
	Left  time.Duration // until the caller's deadline
}

// Error implements error.
func (e *SlowError) Error() string {
	return fmt.Sprintf("recent claims took %v or more, %v are left", e.Least, e.Left)
}

// pace keeps how long the newest claims on any shard took, which depends on the log
// more than on the shard. It is safe for concurrent use.
type pace struct {
	mu        sync.Mutex
	samples   []paceSample // the newest, oldest first; at most paceSamples
	nextProbe time.Time
}

// paceSample is the duration of one claim, or of a claim without a standing until its
// deadline passed.
type paceSample struct {
	at       time.Time
	duration time.Duration
}

// record adds a claim's duration.
func (p *pace) record(now time.Time, d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.samples = append(p.samples, paceSample{at: now, duration: d})
	if len(p.samples) > paceSamples {
		p.samples = p.samples[1:]
	}
}

// check returns a *SlowError if each of the newest claims took longer than a caller
// has who has that much time left.
func (p *pace) check(now time.Time, left time.Duration) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.samples) < paceSamples || now.Sub(p.samples[paceSamples-1].at) > paceTTL {
		return nil
	}
	least := p.samples[0].duration
	for _, s := range p.samples[1:] {
		least = min(least, s.duration)
	}
	if least.Seconds() < claimShare*left.Seconds() {
		return nil
	}
	return &SlowError{Least: least, Left: left}
}

// probeDue reports whether it is time for a probe, and if so sets the time of the next.
func (p *pace) probeDue(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Before(p.nextProbe) {
		return false
	}
	p.nextProbe = now.Add(probeInterval)
	return true
}

// checkPace returns a *SlowError if a claim on the shard can't be expected before ctx's
// deadline. A probe then finds out when claims are quick again, without a caller that
// waits for it.
func (c *Client) checkPace(ctx context.Context, shard uint32) error {
	deadline, _ := ctx.Deadline() // Claim always sets one
	now := time.Now()
	err := c.pace.check(now, deadline.Sub(now))
	if err == nil || !c.pace.probeDue(now) {
		return err
	}
	select {
	case c.probes <- shard:
	default: // a probe is under way
	}
	return err
}

// runProbes probes the shards that are asked for until ctx ends. It returns nil.
func (c *Client) runProbes(ctx context.Context) error {
	for {
		select {
		case shard := <-c.probes:
			c.probe(ctx, shard)
		case <-ctx.Done():
			return nil
		}
	}
}

// probe sends a record without effect the way of a claim, which records its duration.
func (c *Client) probe(ctx context.Context, shard uint32) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	key := randomKey(shard)
	result := &record.ClaimResult{Key: key, Attempt: "probe", Outcome: record.ClaimResult_NOT_RUN}
	_, _, _ = c.requestStanding(ctx, key, &record.Record{Body: &record.Record_ClaimResult{ClaimResult: result}}) // logged there
}

// randomKey returns a key of the shard that no caller has.
func randomKey(shard uint32) []byte {
	key := make([]byte, 32)
	for {
		_, _ = rand.Read(key) // never fails
		if ShardOf(key) == shard {
			return key
		}
	}
}
