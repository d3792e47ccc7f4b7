package topology

import (
	"crypto/sha256"
	"iter"
	"maps"
	"strconv"

	"github.com/cockroachdb/errors"
)

// KeyDigest is the SHA-256 digest of an API key. Keys are kept and compared only as
// digests. The zero KeyDigest stands for no key.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of an API key, which must not be empty.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// Account is a client account: whose requests carry one of its API keys.
type Account struct {
	Name      string
	Keys      []KeyDigest // empty: the account can send no requests
	Rank      int         // where HasRank: priority of its requests instead of their routes' Rank
	HasRank   bool
	Allowance Allowance
}

// Allowance limits what a client account's requests use, over all instances together.
type Allowance struct {
	PerSecond float64 // units per second; 0: unlimited
	Burst     float64 // units that may be used at once in addition
	Unit      AllowanceUnit
	// DefaultTokens is what a request counts that doesn't state its tokens, with UnitTokens.
	DefaultTokens float64
}

// Limited reports whether there is a limit.
func (a *Allowance) Limited() bool { return a.PerSecond > 0 }

// AllowanceUnit is what an allowance counts.
type AllowanceUnit int

// The units of allowances.
const (
	UnitRequests AllowanceUnit = iota
	UnitTokens                 // tokens of the prompt and the most tokens of the answer
)

// Accounts holds the client accounts of a configuration. It is immutable.
type Accounts struct {
	byKey   map[KeyDigest]*Account
	byName  map[string]*Account
	limited bool // any has an allowance
}

// AccountError reports a client account that can't be used.
type AccountError struct {
	Account string // its name
	Reason  string
}

// Error implements error.
func (e *AccountError) Error() string {
	return "client account " + strconv.Quote(e.Account) + ": " + e.Reason
}

// NewAccounts checks and indexes client accounts. The error is an *AccountError.
func NewAccounts(accounts []Account) (*Accounts, error) {
	x := &Accounts{byKey: make(map[KeyDigest]*Account, len(accounts)), byName: make(map[string]*Account, len(accounts))}
	for i := range accounts {
		if err := x.add(&accounts[i]); err != nil {
			return nil, errors.WithStack(err)
		}
	}
	return x, nil
}

func (x *Accounts) add(a *Account) error {
	switch {
	case a.Name == "":
		return &AccountError{a.Name, "it has no name"}
	case x.byName[a.Name] != nil:
		return &AccountError{a.Name, "it is declared twice"}
	case a.Allowance.PerSecond < 0 || a.Allowance.Burst < 0 || a.Allowance.DefaultTokens < 0:
		return &AccountError{a.Name, "its allowance is negative"}
	}
	x.byName[a.Name] = a
	x.limited = x.limited || a.Allowance.Limited()
	for _, key := range a.Keys {
		if other := x.byKey[key]; other != nil && other != a {
			return &AccountError{a.Name, "one of its keys belongs to account " + strconv.Quote(other.Name) + " too"}
		}
		x.byKey[key] = a
	}
	return nil
}

// ByKey returns the account that the key belongs to, or nil. The lookup is by digest, so
// its duration depends on no key's characters.
func (x *Accounts) ByKey(key KeyDigest) *Account { return x.byKey[key] }

// ByName returns the account with that name, or nil. x may be nil.
func (x *Accounts) ByName(name string) *Account {
	if x == nil {
		return nil
	}
	return x.byName[name]
}

// HasLimits reports whether any account's allowance is limited. x may be nil.
func (x *Accounts) HasLimits() bool { return x != nil && x.limited }

// Weights returns the weights, with a mean of 1, by which accounts share contended servers, by account
// name. They are proportional to the allowances if all accounts have one in the same unit, else
// equal. It is nil if there are no accounts. x may be nil.
func (x *Accounts) Weights() map[string]float64 {
	if x.Len() == 0 {
		return nil
	}
	out := make(map[string]float64, len(x.byName))
	sum := 0.0
	for name, a := range x.byName {
		out[name] = a.Allowance.PerSecond
		sum += a.Allowance.PerSecond
	}
	if !x.comparable() {
		for name := range out {
			out[name] = 1
		}
		return out
	}
	for name := range out {
		out[name] *= float64(len(out)) / sum
	}
	return out
}

// comparable reports whether all accounts have an allowance in the same unit.
func (x *Accounts) comparable() bool {
	units := map[AllowanceUnit]bool{}
	for _, a := range x.byName {
		if !a.Allowance.Limited() {
			return false
		}
		units[a.Allowance.Unit] = true
	}
	return len(units) == 1
}

// Len returns the number of accounts. x may be nil.
func (x *Accounts) Len() int {
	if x == nil {
		return 0
	}
	return len(x.byName)
}

// All yields the accounts, in no particular order. x may be nil.
func (x *Accounts) All() iter.Seq[*Account] {
	if x == nil {
		return func(func(*Account) bool) {}
	}
	return maps.Values(x.byName)
}
