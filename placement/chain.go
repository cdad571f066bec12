// Package placement chooses the upstream that is expected to give a prompt's
// first token soonest, from a few candidates that it asks.
package placement

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Root returns the start of the hash chains of one customer, model and weights
// version. Blocks under different roots are never shared.
func Root(customer, model, weights string) uint64 {
	digest := xxhash.New()
	for _, part := range []string{customer, model, weights} {
		var length [8]byte
		binary.LittleEndian.PutUint64(length[:], uint64(len(part)))
		_, _ = digest.Write(length[:])
		_, _ = digest.WriteString(part)
	}
	return digest.Sum64()
}

// Chain returns one hash for each whole block of prompt. Each hash covers the
// root and all bytes up to the block's end.
func Chain(root uint64, prompt []byte, blockBytes int) []uint64 {
	if blockBytes <= 0 {
		return nil
	}
	hashes := make([]uint64, 0, len(prompt)/blockBytes)
	previous := root
	digest := xxhash.New()
	for len(prompt) >= blockBytes {
		var link [8]byte
		binary.LittleEndian.PutUint64(link[:], previous)
		digest.Reset()
		_, _ = digest.Write(link[:])
		_, _ = digest.Write(prompt[:blockBytes])
		previous = digest.Sum64()
		hashes = append(hashes, previous)
		prompt = prompt[blockBytes:]
	}
	return hashes
}
