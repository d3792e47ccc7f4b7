package infra

import "github.com/cespare/xxhash/v2"

// PrefixBytes is the length of the start of a prompt that identifies it in prefix caches.
// It is long enough for the distinctive part of a system prompt and short enough to hash in
// under a microsecond.
const PrefixBytes = 512

// PrefixHash returns a hash of the prompt's first PrefixBytes bytes.
func PrefixHash(prompt string) uint64 {
	if len(prompt) > PrefixBytes {
		prompt = prompt[:PrefixBytes]
	}
	return xxhash.Sum64String(prompt)
}
