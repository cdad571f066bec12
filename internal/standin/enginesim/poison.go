package enginesim

import (
	"bytes"
	"math"
)

// neverCrash is the crash token count of a prompt that does not crash the engine.
const neverCrash = math.MaxInt64

// crashTokenCount returns the number of generated tokens after which a prompt crashes the
// engine: the number that follows the poison marker in the prompt, 0 if no number
// follows, and neverCrash if the prompt has no marker.
func (e *instance) crashTokenCount(prompt []byte) int64 {
	if e.options.PoisonMarker == "" {
		return neverCrash
	}
	_, rest, found := bytes.Cut(prompt, []byte(e.options.PoisonMarker))
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

// crashOnPoison crashes the engine because of a poisoned prompt and records the request.
// Only the first call on an instance has an effect.
func (e *instance) crashOnPoison(j *job) {
	if e.crashedByPoison.Swap(true) {
		return
	}
	e.stats.addPoisoned(j.request.RequestID)
	e.crash()
}
