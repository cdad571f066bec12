package enginesim

import (
	"bytes"
	"math"
)

// neverCrash is the token at which a harmless run crashes its engine.
const neverCrash = math.MaxInt64

// crashAt returns the number of tokens after which a prompt crashes the engine:
// the one that follows the marker in the prompt, 0 without a number.
func (in *instance) crashAt(prompt []byte) int64 {
	if in.options.PoisonMarker == "" {
		return neverCrash
	}
	_, rest, found := bytes.Cut(prompt, []byte(in.options.PoisonMarker))
	if !found {
		return neverCrash
	}
	var tokens int64
	for _, digit := range rest {
		if digit < '0' || digit > '9' {
			break
		}
		tokens = 10*tokens + int64(digit-'0')
	}
	return tokens
}

// crashUnder ends the engine's life because of a run, once.
func (in *instance) crashUnder(j *job) {
	if in.crashed.Swap(true) {
		return
	}
	in.stats.poisonedBy(j.request.RequestID)
	in.poisoned()
}
