// Package evaluate computes a run's figures from its plan, what the callers were
// told and what the stand-ins counted. It relies on nothing that the measured
// processes say of themselves.
package evaluate

import (
	"sort"
	"time"

	"github.com/greengagegate/greengagegate/internal/load/client"
)

// Quantiles of a set of durations, in milliseconds.
type Quantiles struct {
	P50 float64 `json:"p50_ms"`
	P95 float64 `json:"p95_ms"`
	P99 float64 `json:"p99_ms"`
}

// QuantilesOf sorts the durations and returns their quantiles.
func QuantilesOf(durations []time.Duration) Quantiles {
	sort.Slice(durations, func(i, j int) bool { return durations[i] < durations[j] })
	return Quantiles{
		P50: milliseconds(quantile(durations, 0.50)),
		P95: milliseconds(quantile(durations, 0.95)),
		P99: milliseconds(quantile(durations, 0.99)),
	}
}

// quantile returns the nearest-rank quantile of sorted durations.
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

// times returns the time to the first token of each prompt. Those that were
// refused or failed count as the longest of all.
func times(results []client.PromptResult) []time.Duration {
	longest := longestTime(results)
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

// longestTime returns the longest time that any caller waited, for a first token or in vain.
func longestTime(results []client.PromptResult) time.Duration {
	var longest time.Duration
	for _, r := range results {
		longest = max(longest, r.TTFT(), r.Ended-r.Prompt.At)
	}
	return longest
}
