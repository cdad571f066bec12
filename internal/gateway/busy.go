package gateway

import (
	"math/rand/v2"
	"time"
)

const (
	// busyFactor is the expected time to the first event, in terms of the route's
	// objective, above which a request is refused.
	busyFactor = 1
	// maxBusyRetry bounds what callers are told to wait.
	maxBusyRetry = 1500 * time.Millisecond
)

// busyWait decides on a request whose first event is expected after a time. One
// that would be late, and would only make others late too, is refused before it
// is sent; wait is then when the caller should come back: after the work that is
// ahead of it, spread over an objective so that callers do not return together.
// It is 0 for a request that may go.
//
// Load pattern: a burst, or a third of the engines gone, while new weights make
// all prefixes cold. Engines share their time among all prompts, so that without
// a bound all are late and callers repeat them.
func busyWait(expected, objective time.Duration) (wait time.Duration) {
	limit := busyFactor * objective
	if objective <= 0 || expected <= limit {
		return 0
	}
	spread := time.Duration(rand.Int64N(int64(objective)))
	return min(expected-limit+spread+1, maxBusyRetry)
}
