package gateway

import (
	"math/rand/v2"
	"time"
)

const (
	// overloadFactor bounds the expected time to the first event, as a multiple of the
	// route's objective. Requests with a longer expected time are refused.
	overloadFactor = 1
	// maxOverloadRetryAfter bounds the retry time that callers are given.
	maxOverloadRetryAfter = 1500 * time.Millisecond
)

// overloadRetryAfter returns 0 if a request whose first event is expected after the
// given time may be sent. Otherwise the request must be refused before it is sent,
// because it would be late and would delay others. The result is then the time after
// which the caller should retry: the amount by which the expected time exceeds the bound,
// plus a random part of the objective, so that callers do not retry together. It is at
// most maxOverloadRetryAfter.
//
// Overload occurs for example when requests arrive in a burst, or a third of the engines
// fail, just after new weights have emptied all caches of prompt parts. An engine divides
// its time among all its prompts, so without a bound all requests are late and callers
// repeat them.
func overloadRetryAfter(expected, objective time.Duration) (retryAfter time.Duration) {
	limit := overloadFactor * objective
	if objective <= 0 || expected <= limit {
		return 0
	}
	spread := time.Duration(rand.Int64N(int64(objective)))
	return min(expected-limit+spread+1, maxOverloadRetryAfter)
}
