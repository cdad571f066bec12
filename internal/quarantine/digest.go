package quarantine

import (
	"encoding/binary"

	"github.com/greengagegate/greengagegate/internal/digest"
)

// Digest returns the digest that identifies a request's content, given in parts.
// The parts must include the customer. A caller can't construct a second content
// with a given digest, and so can't bring another customer's content into
// quarantine.
func Digest(parts ...[]byte) uint64 {
	sum := digest.Sum(parts...)
	return binary.LittleEndian.Uint64(sum[:])
}
