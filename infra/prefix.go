package infra

import "github.com/cespare/xxhash/v2"

// PrefixBytes is how much of a prompt's beginning names it in prefix caches:
// long enough to hold a system prompt's distinct part, short enough to hash in
// under a microsecond.
const PrefixBytes = 512

// PrefixHash returns the hash of the prompt's first PrefixBytes bytes.
func PrefixHash(prompt string) uint64 {
	if len(prompt) > PrefixBytes {
		prompt = prompt[:PrefixBytes]
	}
	return xxhash.Sum64String(prompt)
}
