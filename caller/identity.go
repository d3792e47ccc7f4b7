package caller

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"
	"sync/atomic"

	"greengageferry/caller/api"
	"greengageferry/config"
)

// identity is the authenticated sender of a request.
type identity struct {
	caller  string // the client account's name in the configuration
	partner string // the partner that owns the account
}

type callerKey struct {
	digest [sha256.Size]byte
	sender identity
}

// keyring holds the key digests of the client accounts of one configuration.
type keyring struct {
	cfg  *config.Config
	keys []callerKey
}

// keyrings caches the keyring of the newest configuration.
type keyrings struct{ current atomic.Pointer[keyring] }

func (k *keyrings) get(c *config.Config) *keyring {
	if r := k.current.Load(); r != nil && r.cfg == c {
		return r
	}
	r := &keyring{cfg: c}
	for name, caller := range c.Callers {
		digest, err := hex.DecodeString(caller.KeySHA256)
		if err != nil || len(digest) != sha256.Size {
			continue // such an account has no valid key
		}
		r.keys = append(r.keys, callerKey{[sha256.Size]byte(digest), identity{name, caller.Owner}})
	}
	k.current.Store(r)
	return r
}

// find returns the identity that the key belongs to. It compares the key with
// every known one in constant time, so that timing reveals nothing about keys.
func (r *keyring) find(key string) (identity, bool) {
	digest := sha256.Sum256([]byte(key))
	found := -1
	for i := range r.keys {
		if subtle.ConstantTimeCompare(digest[:], r.keys[i].digest[:]) == 1 {
			found = i
		}
	}
	if found < 0 {
		return identity{}, false
	}
	return r.keys[found].sender, true
}

// authenticate returns the identity of the request's sender.
func (s *Server) authenticate(r *http.Request) (identity, *api.Problem) {
	cfg := s.opts.Directory.Config()
	if cfg == nil || s.table.Load() == nil {
		return identity{}, unavailable(CodeNotReady, "the instance doesn't know the configuration yet", shortRetryAfter)
	}
	scheme, key, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") || key == "" {
		return identity{}, authProblem(CodeNoKey, "the header Authorization: Bearer with a key is missing")
	}
	sender, ok := s.keyrings.get(cfg).find(strings.TrimSpace(key))
	if !ok {
		return identity{}, authProblem(CodeWrongKey, "the key is not known")
	}
	return sender, nil
}

func authProblem(code, message string) *api.Problem {
	return &api.Problem{
		Status:  http.StatusUnauthorized,
		Type:    api.TypeAuth,
		Code:    code,
		Message: message,
		Outcome: api.OutcomeNotRun,
	}
}
