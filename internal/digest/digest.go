// Package digest names contents that consist of parts.
package digest

import (
	"crypto/sha256"
	"encoding/binary"
)

// Sum returns the SHA-256 of the parts, each with its length before it, so that
// no other division into parts has the same sum.
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
