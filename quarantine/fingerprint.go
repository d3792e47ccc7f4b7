package quarantine

import (
	"encoding/hex"

	"greengageferry/internal/digest"
)

// Fingerprint identifies a request over all its attempts, whichever instance they arrive
// at: the SHA-256 of what its caller sends again.
type Fingerprint [32]byte

// shortBytes is how many bytes String shows: enough to tell the requests of a day apart.
const shortBytes = 8

// NewFingerprint returns the fingerprint of a request that the parts describe.
func NewFingerprint(parts ...[]byte) Fingerprint { return digest.Sum(parts...) }

// String returns the beginning of the fingerprint in hexadecimal, for logs.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:shortBytes]) }
