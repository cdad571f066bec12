// Package answer computes the text that the engine stand-in generates. The text is a
// function of the prompt, so that a client that knows the prompt can verify the
// answer.
package answer

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// BytesPerToken is the size of a token in prompts and answers, in bytes.
const BytesPerToken = 4

const (
	// letters[n] is the letter for the value n of bitsPerLetter bits.
	letters       = "abcdefghijklmnopqrstuvwxyz234567"
	bitsPerLetter = 5
	letterMask    = 1<<bitsPerLetter - 1
)

// Digest returns the digest of a prompt. It does not depend on the customer or the
// weights.
func Digest(prompt []byte) uint64 {
	return xxhash.Sum64(prompt)
}

// Tokens returns the number of tokens in a text. A partial last token counts as one.
func Tokens(text []byte) int64 {
	return int64((len(text) + BytesPerToken - 1) / BytesPerToken)
}

// AppendTokens appends to b count tokens of the answer to the prompt with the given
// digest, starting with the token at index firstToken.
func AppendTokens(b []byte, digest uint64, firstToken, count int64) []byte {
	for i := firstToken; i < firstToken+count; i++ {
		b = appendToken(b, digest, i)
	}
	return b
}

// Text returns the first count tokens of the answer to prompt.
func Text(prompt []byte, count int64) string {
	return string(AppendTokens(nil, Digest(prompt), 0, count))
}

func appendToken(b []byte, digest uint64, index int64) []byte {
	var seed [16]byte
	binary.LittleEndian.PutUint64(seed[:8], digest)
	binary.LittleEndian.PutUint64(seed[8:], uint64(index))
	sum := xxhash.Sum64(seed[:])
	for range BytesPerToken {
		b = append(b, letters[sum&letterMask])
		sum >>= bitsPerLetter
	}
	return b
}
