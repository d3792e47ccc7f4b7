package replay

import (
	"slices"

	"greengageferry/infra"
	"greengageferry/quarantine"
	"greengageferry/record"
)

// ClaimKey is the SHA-256 hash of partner, caller and idempotency key.
type ClaimKey [32]byte

// KeyClaim is one claim on a key.
type KeyClaim struct {
	Offset      infra.Offset
	Fingerprint quarantine.Fingerprint
	Instance    string
	Attempt     string
	Request     string
	Outcome     record.ClaimResult_Outcome
}

// Claims is the state machine of one shard of claims. Of the claims on a key that
// are neither expired nor released, the oldest holds the key, and only its
// request may run. A NOT_RUN result of the claim's own attempt releases it.
//
// Claims expire by ClaimExpiry records on the log, not by the reader's clock. If
// one reader expired a claim earlier than another, the two would disagree on
// which later claim holds the key, and each could let a different request run.
//
// The holder of a key depends only on the records since the last expiry, so a
// reader that starts in the middle of the stream agrees with the others as soon
// as it is Complete. As a consequence, a claim that lost holds the key once the
// earlier one is released or expires, although its request never ran. A losing
// claimant therefore appends a NOT_RUN result, and a key that is known to be
// held isn't claimed at all.
//
// Duplicate records aren't dropped, because a reader that started later can't
// recognize them. A claim that is read twice is stored twice, and a NOT_RUN
// result of its attempt releases both.
//
// The machine stores at most the claims that the shard's stream receives within
// the claim window. Len lets the writer refuse new claims before there are too
// many.
type Claims struct {
	machineBase
	claims        map[ClaimKey][]*KeyClaim // neither expired nor released, oldest first
	expiryQueue   []claimRef               // claims not yet expired, oldest first; includes released ones
	start         infra.Offset             // first offset read
	expiredBefore infra.Offset             // claims below this offset are expired
}

// claimRef refers to a claim in the expiry queue.
type claimRef struct {
	key    ClaimKey
	offset infra.Offset
}

// NewClaims returns the machine of a shard whose stream is read from offset start;
// 0 and 1 both mean the beginning of the stream.
func NewClaims(start infra.Offset) *Claims {
	return &Claims{machineBase: newMachineBase(), claims: map[ClaimKey][]*KeyClaim{}, start: max(start, 1), expiredBefore: 1}
}

// Apply implements Machine.
func (c *Claims) Apply(offset infra.Offset, r *record.Record) {
	if !c.advance(offset) {
		return
	}
	switch body := r.GetBody().(type) {
	case *record.Record_Claim:
		c.countRecord(r, c.addClaim(offset, body.Claim))
	case *record.Record_ClaimResult:
		c.countRecord(r, c.recordResult(body.ClaimResult))
	case *record.Record_ClaimExpiry:
		c.countRecord(r, c.expire(offset, infra.Offset(body.ClaimExpiry.GetBefore())))
	default:
		c.countRecord(r, unexpected)
	}
}

// addClaim adds a claim behind the earlier ones on its key.
func (c *Claims) addClaim(offset infra.Offset, r *record.Claim) applyResult {
	key, ok := parseClaimKey(r.GetKey())
	if !ok || r.GetAttempt() == "" {
		return noEffect
	}
	fingerprint, _ := parseFingerprint(r.GetFingerprint())
	claim := &KeyClaim{
		Offset:      offset,
		Fingerprint: fingerprint,
		Instance:    r.GetInstance(),
		Attempt:     r.GetAttempt(),
		Request:     r.GetRequest(),
	}
	c.claims[key] = append(c.claims[key], claim)
	c.expiryQueue = append(c.expiryQueue, claimRef{key: key, offset: offset})
	return applied
}

// recordResult stores the outcome of an attempt, or releases its claims if the
// attempt did not run.
func (c *Claims) recordResult(r *record.ClaimResult) applyResult {
	key, ok := parseClaimKey(r.GetKey())
	sameAttempt := func(o *KeyClaim) bool { return o.Attempt == r.GetAttempt() }
	if !ok || !slices.ContainsFunc(c.claims[key], sameAttempt) {
		return noEffect
	}
	if r.GetOutcome() == record.ClaimResult_NOT_RUN {
		c.setClaims(key, slices.DeleteFunc(c.claims[key], sameAttempt))
		return applied
	}
	for _, claim := range c.claims[key] {
		if sameAttempt(claim) {
			claim.Outcome = r.GetOutcome()
		}
	}
	return applied
}

// setClaims replaces the claims on a key.
func (c *Claims) setClaims(key ClaimKey, left []*KeyClaim) {
	c.claims[key] = left
	if len(left) == 0 {
		delete(c.claims, key)
	}
}

// expire removes all claims below offset before.
func (c *Claims) expire(offset, before infra.Offset) applyResult {
	if before <= c.expiredBefore || before > offset {
		return noEffect
	}
	c.expiredBefore = before
	n := 0
	for n < len(c.expiryQueue) && c.expiryQueue[n].offset < before {
		ref := c.expiryQueue[n]
		if onKey := c.claims[ref.key]; len(onKey) > 0 && onKey[0].Offset == ref.offset {
			c.setClaims(ref.key, onKey[1:])
		}
		n++
	}
	c.expiryQueue = slices.Clone(c.expiryQueue[n:])
	return applied
}

// Standing returns the claim that holds the key, or false if there is none.
func (c *Claims) Standing(key ClaimKey) (KeyClaim, bool) {
	if onKey := c.claims[key]; len(onKey) > 0 {
		return *onKey[0], true
	}
	return KeyClaim{}, false
}

// Complete reports whether the machine has read every claim that isn't expired. A
// reader that isn't complete must not grant claims.
func (c *Claims) Complete() bool { return c.start <= c.expiredBefore }

// ExpiredBefore returns the offset below which all claims are expired.
func (c *Claims) ExpiredBefore() infra.Offset { return c.expiredBefore }

// Len returns the number of claims that aren't expired, including released ones.
func (c *Claims) Len() int { return len(c.expiryQueue) }

// Checkpoint implements Machine. It returns nil: claims expire long before the log
// drops their records, so they need no checkpoints.
func (c *Claims) Checkpoint() *record.Checkpoint { return nil }

// Restore implements Machine. It always returns an error, because claims have no
// checkpoints.
func (c *Claims) Restore(cp *record.Checkpoint) error {
	return c.checkRestore(cp, false)
}

// parseClaimKey returns b as a key, or false if b has the wrong length.
func parseClaimKey(b []byte) (ClaimKey, bool) {
	f, ok := parseFingerprint(b)
	return ClaimKey(f), ok
}
