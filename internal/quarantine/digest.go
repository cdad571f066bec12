package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
)

// Digest names a content given in parts, among them its customer. Callers can't
// find another content with the same digest, so that none can bring a content of
// another customer into quarantine.
func Digest(parts ...[]byte) uint64 {
	hash := sha256.New()
	for _, part := range parts {
		var length [8]byte
		binary.LittleEndian.PutUint64(length[:], uint64(len(part)))
		hash.Write(length[:])
		hash.Write(part)
	}
	return binary.LittleEndian.Uint64(hash.Sum(nil))
}
