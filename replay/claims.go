package replay

import (
	"greengageferry/platform"
	"greengageferry/record"
)

// ClaimKey is the SHA-256 of partner, caller and idempotency key.
type ClaimKey [32]byte

// Claimed is the claim that stands on a key.
type Claimed struct {
	Offset      platform.Offset
	Fingerprint Fingerprint
	Instance    string
	Attempt     string
	Request     string
	Outcome     record.ClaimResult_Outcome
}

// Claims is the machine of one shard of claims. The first claim on a key
// stands until its own attempt says that it did not run, or until a
// ClaimExpiry on the log forgets it. Expiry is a record and not the reader's
// own clock: a reader that forgot a claim earlier than another would let a
// second one stand that the other had found void, and each could then let
// another third one run.
//
// The machine remembers at most what the shard's stream holds within a window;
// Len lets the writer of claims refuse new ones before that is too much.
type Claims struct {
	base
	claims  map[ClaimKey]*Claimed
	order   []keyAt // oldest first; bears claims that were freed since
	known   platform.Offset
	expired platform.Offset // everything before it is forgotten
}

type keyAt struct {
	key    ClaimKey
	offset platform.Offset
}

// NewClaims returns the machine of a shard that is read from the offset on.
func NewClaims(from platform.Offset) *Claims {
	return &Claims{base: newBase(), claims: map[ClaimKey]*Claimed{}, known: max(from, 1), expired: 1}
}

// Apply implements Machine.
func (c *Claims) Apply(offset platform.Offset, r *record.Record) {
	if !c.begin(offset, r) {
		return
	}
	switch body := r.GetBody().(type) {
	case *record.Record_Claim:
		c.count(r, c.claim(offset, body.Claim))
	case *record.Record_ClaimResult:
		c.count(r, c.result(body.ClaimResult))
	case *record.Record_ClaimExpiry:
		c.count(r, c.expire(offset, platform.Offset(body.ClaimExpiry.GetBefore())))
	default:
		c.count(r, foreign)
	}
}

func (c *Claims) claim(offset platform.Offset, r *record.Claim) verdict {
	key, ok := claimKeyOf(r.GetKey())
	if !ok || r.GetAttempt() == "" || c.claims[key] != nil {
		return void
	}
	fingerprint, _ := fingerprintOf(r.GetFingerprint())
	c.claims[key] = &Claimed{
		Offset:      offset,
		Fingerprint: fingerprint,
		Instance:    r.GetInstance(),
		Attempt:     r.GetAttempt(),
		Request:     r.GetRequest(),
	}
	c.order = append(c.order, keyAt{key: key, offset: offset})
	return applied
}

// result notes how the standing claim ended. Only its own attempt is believed.
func (c *Claims) result(r *record.ClaimResult) verdict {
	key, ok := claimKeyOf(r.GetKey())
	standing := c.claims[key]
	if !ok || standing == nil || standing.Attempt != r.GetAttempt() {
		return void
	}
	if r.GetOutcome() == record.ClaimResult_NOT_RUN {
		delete(c.claims, key)
		return applied
	}
	ended := *standing
	ended.Outcome = r.GetOutcome()
	c.claims[key] = &ended
	return applied
}

func (c *Claims) expire(offset, before platform.Offset) verdict {
	if before <= c.expired || before > offset {
		return void
	}
	c.expired = before
	done := 0
	for done < len(c.order) && c.order[done].offset < before {
		at := c.order[done]
		if s := c.claims[at.key]; s != nil && s.Offset == at.offset {
			delete(c.claims, at.key)
		}
		done++
	}
	c.order = append([]keyAt(nil), c.order[done:]...)
	return applied
}

// Standing returns the claim that stands on the key.
func (c *Claims) Standing(key ClaimKey) (Claimed, bool) {
	if s := c.claims[key]; s != nil {
		return *s, true
	}
	return Claimed{}, false
}

// Complete says whether the machine has read every claim that isn't expired.
// One that began in the middle of the stream grants nothing before that.
func (c *Claims) Complete() bool { return c.known <= c.expired }

// Expired returns the offset before which every claim is forgotten.
func (c *Claims) Expired() platform.Offset { return c.expired }

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
