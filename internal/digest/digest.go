// Package digest computes digests that identify contents made of several parts.
package digest

import (
	"crypto/sha256"
	"encoding/binary"
)

// Sum returns the SHA-256 of the parts. The length of each part is hashed before
// the part, so that the same bytes divided differently have another digest.
func Sum(parts ...[]byte) [sha256.Size]byte {
	hash := sha256.New()
	for _, part := range parts {
		var length [8]byte
		binary.LittleEndian.PutUint64(length[:], uint64(len(part)))
		hash.Write(length[:])
		hash.Write(part)
	}
	return [sha256.Size]byte(hash.Sum(nil))
}
