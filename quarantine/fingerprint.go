package quarantine

import (
	"encoding/hex"

	"greengageferry/internal/digest"
)

// Fingerprint identifies what servers may crash under: a request over all its attempts,
// whichever instance they arrive at, by the SHA-256 of what its caller sends again; or a part of
// prompts that requests share.
type Fingerprint [32]byte

// shortBytes is how many bytes String shows: enough to tell the requests of a day apart.
const shortBytes = 8

// NewFingerprint returns the fingerprint of a request that the parts describe.
func NewFingerprint(parts ...[]byte) Fingerprint { return digest.Sum(parts...) }

// partMark begins the fingerprints of parts of prompts.
const partMark = "part"

// NewPartFingerprint returns the fingerprint of a part of prompts that requests share.
func NewPartFingerprint(id string) Fingerprint {
	f := digest.Sum([]byte(partMark), []byte(id))
	copy(f[:], partMark)
	return f
}

// IsPart reports whether the fingerprint is that of a part of prompts.
func (f Fingerprint) IsPart() bool { return string(f[:len(partMark)]) == partMark }

// String returns the beginning of the fingerprint in hexadecimal, for logs.
func (f Fingerprint) String() string {
	if f.IsPart() {
		return partMark + "-" + hex.EncodeToString(f[len(partMark):len(partMark)+shortBytes])
	}
	return hex.EncodeToString(f[:shortBytes])
}
