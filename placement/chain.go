package placement

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// ChainRoot returns the hash that starts the chains of one customer, model and weights
// version. Chains with different roots have no hash in common, so their cached
// blocks are never shared.
func ChainRoot(customer, model, weights string) uint64 {
	digest := xxhash.New()
	for _, part := range []string{customer, model, weights} {
		// The length prefix keeps ("am", "") and ("a", "m") apart.
		var length [8]byte
		binary.LittleEndian.PutUint64(length[:], uint64(len(part)))
		_, _ = digest.Write(length[:])
		_, _ = digest.WriteString(part)
	}
	return digest.Sum64()
}

// BlockHashes returns one hash for each whole block of prompt; a shorter last block is
// left out. Each hash covers the root and all bytes up to the end of its block.
// BlockHashes returns nil if blockBytes is not positive.
func BlockHashes(root uint64, prompt []byte, blockBytes int) []uint64 {
	if blockBytes <= 0 {
		return nil
	}
	hashes := make([]uint64, 0, len(prompt)/blockBytes)
	previous := root
	digest := xxhash.New()
	for len(prompt) >= blockBytes {
		var previousBytes [8]byte
		binary.LittleEndian.PutUint64(previousBytes[:], previous)
		digest.Reset()
		_, _ = digest.Write(previousBytes[:])
		_, _ = digest.Write(prompt[:blockBytes])
		previous = digest.Sum64()
		hashes = append(hashes, previous)
		prompt = prompt[blockBytes:]
	}
	return hashes
}
