package replay

import (
	"slices"

	"greengageferry/infra"
	"greengageferry/record"
)

// ClaimKey is the SHA-256 of partner, caller and idempotency key.
type ClaimKey [32]byte

// Claimed is the claim that stands on a key.
type Claimed struct {
	Offset      infra.Offset
	Fingerprint Fingerprint
	Instance    string
	Attempt     string
	Request     string
	Outcome     record.ClaimResult_Outcome
}

// Claims is the machine of one shard of claims. Of the claims on a key that are
// neither expired nor freed, the first stands; a claim may run only if it
// stands. A claim is freed when its own attempt says that it did not run, and
// expires by a ClaimExpiry on the log, not by the reader's own clock: a reader
// that forgot a claim earlier than another would let a second one stand that
// the other had found void, and each could then let another third one run.
//
// What stands is a function of the records since the expiry alone, so that a
// reader which began in the middle of the stream agrees with the others as soon
// as it is Complete. The price: a claim that lost against another one stands
// once that one is freed or expires, though it never ran. So its claimant says
// that it did not run, and a key that is seen to be taken isn't claimed at all.
//
// Repeats aren't dropped, since a reader that began later would not know them: a
// claim that is read twice is kept twice, and its attempt's word frees both.
//
// The machine remembers at most what the shard's stream holds within a window;
// Len lets the writer of claims refuse new ones before that is too much.
type Claims struct {
	base
	claims  map[ClaimKey][]*Claimed // neither expired nor freed, oldest first
	order   []keyAt                 // oldest first; bears claims that were freed since
	from    infra.Offset            // where the reading began
	expired infra.Offset            // everything before it is forgotten
}

type keyAt struct {
	key    ClaimKey
	offset infra.Offset
}

// NewClaims returns the machine of a shard that is read from the offset on: 0
// or 1 is the stream's beginning.
func NewClaims(from infra.Offset) *Claims {
	return &Claims{base: newBase(), claims: map[ClaimKey][]*Claimed{}, from: max(from, 1), expired: 1}
}

// Apply implements Machine.
func (c *Claims) Apply(offset infra.Offset, r *record.Record) {
	if !c.advance(offset) {
		return
	}
	switch body := r.GetBody().(type) {
	case *record.Record_Claim:
		c.count(r, c.claim(offset, body.Claim))
	case *record.Record_ClaimResult:
		c.count(r, c.result(body.ClaimResult))
	case *record.Record_ClaimExpiry:
		c.count(r, c.expire(offset, infra.Offset(body.ClaimExpiry.GetBefore())))
	default:
		c.count(r, foreign)
	}
}

func (c *Claims) claim(offset infra.Offset, r *record.Claim) verdict {
	key, ok := claimKeyOf(r.GetKey())
	if !ok || r.GetAttempt() == "" {
		return void
	}
	fingerprint, _ := fingerprintOf(r.GetFingerprint())
	claimed := &Claimed{
		Offset:      offset,
		Fingerprint: fingerprint,
		Instance:    r.GetInstance(),
		Attempt:     r.GetAttempt(),
		Request:     r.GetRequest(),
	}
	c.claims[key] = append(c.claims[key], claimed)
	c.order = append(c.order, keyAt{key: key, offset: offset})
	return applied
}

// result notes how an attempt ended.
func (c *Claims) result(r *record.ClaimResult) verdict {
	key, ok := claimKeyOf(r.GetKey())
	own := func(o *Claimed) bool { return o.Attempt == r.GetAttempt() }
	if !ok || !slices.ContainsFunc(c.claims[key], own) {
		return void
	}
	if r.GetOutcome() == record.ClaimResult_NOT_RUN {
		c.keep(key, slices.DeleteFunc(c.claims[key], own))
		return applied
	}
	for _, claimed := range c.claims[key] {
		if own(claimed) {
			claimed.Outcome = r.GetOutcome()
		}
	}
	return applied
}

// keep replaces the claims on a key.
func (c *Claims) keep(key ClaimKey, left []*Claimed) {
	c.claims[key] = left
	if len(left) == 0 {
		delete(c.claims, key)
	}
}

func (c *Claims) expire(offset, before infra.Offset) verdict {
	if before <= c.expired || before > offset {
		return void
	}
	c.expired = before
	done := 0
	for done < len(c.order) && c.order[done].offset < before {
		at := c.order[done]
		if own := c.claims[at.key]; len(own) > 0 && own[0].Offset == at.offset {
			c.keep(at.key, own[1:])
		}
		done++
	}
	c.order = slices.Clone(c.order[done:])
	return applied
}

// Standing returns the claim that stands on the key.
func (c *Claims) Standing(key ClaimKey) (Claimed, bool) {
	if own := c.claims[key]; len(own) > 0 {
		return *own[0], true
	}
	return Claimed{}, false
}

// Complete says whether the machine has read every claim that isn't expired. A
// reader that isn't complete grants nothing.
func (c *Claims) Complete() bool { return c.from <= c.expired }

// Expired returns the offset before which every claim is forgotten.
func (c *Claims) Expired() infra.Offset { return c.expired }

// Len returns the number of claims remembered, with those that were freed and
// aren't expired yet.
func (c *Claims) Len() int { return len(c.order) }

// Checkpoint implements Machine: claims expire long before the log drops them.
func (c *Claims) Checkpoint() *record.Checkpoint { return nil }

// Restore implements Machine: there are no checkpoints of claims.
func (c *Claims) Restore(cp *record.Checkpoint) error {
	return c.admissible(cp, false)
}

func claimKeyOf(b []byte) (ClaimKey, bool) {
	f, ok := fingerprintOf(b)
	return ClaimKey(f), ok
}
