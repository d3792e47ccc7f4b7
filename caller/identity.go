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

// identity is who sent a request.
type identity struct {
	caller  string // its name in the configuration
	partner string
}

type knownKey struct {
	digest [sha256.Size]byte
	who    identity
}

// keyring holds the callers' key digests of one configuration.
type keyring struct {
	of   *config.Config
	keys []knownKey
}

// keyrings builds a keyring for each configuration once.
type keyrings struct{ last atomic.Pointer[keyring] }

func (k *keyrings) get(c *config.Config) *keyring {
	if r := k.last.Load(); r != nil && r.of == c {
		return r
	}
	r := &keyring{of: c}
	for name, caller := range c.Callers {
		digest, err := hex.DecodeString(caller.KeySHA256)
		if err != nil || len(digest) != sha256.Size {
			continue // such a caller has no key that opens
		}
		r.keys = append(r.keys, knownKey{[sha256.Size]byte(digest), identity{name, caller.Owner}})
	}
	k.last.Store(r)
	return r
}

// find compares the key with every known one, each in constant time, so that
// the time taken tells nothing about the key.
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
	return r.keys[found].who, true
}

// authenticate returns who sent the request.
func (s *Server) authenticate(r *http.Request) (identity, *api.Problem) {
	cfg := s.opts.Directory.Config()
	if cfg == nil || s.table.Load() == nil {
		return identity{}, notRunYet(CodeNotReady, "the instance doesn't know the configuration yet", soon)
	}
	scheme, key, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") || key == "" {
		return identity{}, authProblem(CodeNoKey, "the header Authorization: Bearer with a key is missing")
	}
	who, ok := s.keyrings.get(cfg).find(strings.TrimSpace(key))
	if !ok {
		return identity{}, authProblem(CodeWrongKey, "the key is not known")
	}
	return who, nil
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
