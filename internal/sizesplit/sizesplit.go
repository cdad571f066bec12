// Package sizesplit divides the engines of a pool between short and long prompts, in
// proportion to the measured work of both. In the literature this is size-interval task
// assignment (SITA) with dynamic sizes.
//
// Load pattern: an engine prefills prompts in the order of their admission, so a short
// prompt waits for the long ones ahead of it, and each decode step takes as long as a chunk
// of a long prompt. A few long prompts at an engine make all short ones there late, although
// the engines have enough capacity for both: balancing the load does not help, since what
// matters is which requests are mixed. The mix of sizes changes within seconds.
//
// All gateways divide the engines alike without messages, because they measure about the
// same work and take the engines in the same order. Functions and types of this package have
// no locks, goroutines or clocks; the caller passes the time.
package sizesplit

import (
	"math"
	"time"
)

// Class is the size class of a request.
type Class uint8

const (
	// Short requests delay others by less than limitFraction of the shortest objective.
	Short Class = iota
	// Long is the class of all other requests.
	Long
	// ClassCount is the number of classes.
	ClassCount
)

// String returns the name of the class in metrics.
func (c Class) String() string {
	if c == Long {
		return "long"
	}
	return "short"
}

// Part is the part of a pool to which an engine belongs.
type Part uint8

const (
	// PartShared engines take prompts of both classes alike.
	PartShared Part = iota
	// PartShort engines take short prompts, and long ones only if the delay that these cause
	// is worth it.
	PartShort
	// PartLong engines take long prompts, and short ones only if these would wait longer
	// elsewhere.
	PartLong
	// PartCount is the number of parts.
	PartCount
)

// String returns the name of the part in metrics.
func (p Part) String() string {
	switch p {
	case PartShort:
		return "short"
	case PartLong:
		return "long"
	default:
		return "shared"
	}
}

// limitFraction is the part of the shortest objective that the prefill of one short prompt
// may take: a prompt that arrives behind a few short ones still meets its objective.
const limitFraction = 0.125

// maxLimitLog2 is the binary logarithm of the largest limit that LimitTokens returns.
const maxLimitLog2 = 40

// LimitTokens returns the number of prompt tokens from which a request is long, or
// math.MaxInt64 if no objective is known. It is a power of two, so that gateways whose rates
// differ slightly agree on the class of nearly all requests.
func LimitTokens(shortestObjective time.Duration, tokensPerMS float64) int64 {
	tokens := limitFraction * milliseconds(shortestObjective) * tokensPerMS
	if tokens < 1 {
		return math.MaxInt64
	}
	return 1 << min(int64(math.Round(math.Log2(tokens))), maxLimitLog2)
}

// ClassOf returns the class of a request by all its prompt tokens, cached or not. Were
// cached tokens left out, the class would differ by engine and over time, and a prefix that
// is prefilled as part of a long prompt would be looked for among the engines of short ones.
func ClassOf(promptTokens, limitTokens int64) Class {
	if promptTokens >= limitTokens {
		return Long
	}
	return Short
}

// milliseconds returns d in milliseconds.
func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
