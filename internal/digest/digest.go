// Package digest hashes lists of byte strings.
package digest

import (
	"crypto/sha256"
	"encoding/binary"
	"hash"
)

// Sum returns the SHA-256 of the parts, each prefixed with its length, so that different
// lists of parts never have the same encoding.
func Sum(parts ...[]byte) [sha256.Size]byte {
	h := sha256.New()
	for _, p := range parts {
		writePart(h, p)
	}
	return [sha256.Size]byte(h.Sum(nil))
}

func writePart(h hash.Hash, p []byte) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(p)))
	h.Write(length[:])
	h.Write(p)
}
