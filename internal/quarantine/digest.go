package quarantine

import (
	"encoding/binary"

	"github.com/greengagegate/greengagegate/internal/digest"
)

// Digest names a content given in parts, among them its customer. Callers can't
// find another content with the same digest, so that none can bring a content of
// another customer into quarantine.
func Digest(parts ...[]byte) uint64 {
	sum := digest.Sum(parts...)
	return binary.LittleEndian.Uint64(sum[:])
}
