// Package evaluate computes the figures of a run from its plan, the results that
// callers received and the counters of the stand-ins. It does not use any figure
// that the measured processes report about themselves.
package evaluate

import (
	"sort"
	"time"

	"github.com/greengagegate/greengagegate/internal/load/client"
)

// Quantiles holds quantiles of a set of durations, in milliseconds.
type Quantiles struct {
	P50 float64 `json:"p50_ms"`
	P95 float64 `json:"p95_ms"`
	P99 float64 `json:"p99_ms"`
}

// QuantilesOf sorts durations in place and returns their quantiles, zeros if there
// are none.
func QuantilesOf(durations []time.Duration) Quantiles {
	sort.Slice(durations, func(i, j int) bool { return durations[i] < durations[j] })
	return Quantiles{
		P50: milliseconds(quantile(durations, 0.50)),
		P95: milliseconds(quantile(durations, 0.95)),
		P99: milliseconds(quantile(durations, 0.99)),
	}
}

// quantile returns the nearest-rank quantile of sorted durations, 0 if there are
// none.
func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	rank := int(q*float64(len(sorted))+0.999999) - 1
	return sorted[max(0, min(rank, len(sorted)-1))]
}

func milliseconds(d time.Duration) float64 {
	return float64(d.Microseconds()) / 1000
}

// firstTokenTimes returns the time to the first token of each prompt. A prompt that
// did not complete counts with the longest wait of any prompt in results.
func firstTokenTimes(results []client.PromptResult) []time.Duration {
	longest := longestWait(results)
	durations := make([]time.Duration, 0, len(results))
	for _, r := range results {
		if r.Outcome == client.Complete {
			durations = append(durations, r.TTFT())
			continue
		}
		durations = append(durations, longest)
	}
	return durations
}

// longestWait returns the longest time that any caller waited for a first token or
// for the end of its request.
func longestWait(results []client.PromptResult) time.Duration {
	var longest time.Duration
	for _, r := range results {
		longest = max(longest, r.TTFT(), r.Ended-r.Prompt.At)
	}
	return longest
}
