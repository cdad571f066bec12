package placement

import (
	"cmp"
	"slices"
	"time"
)

const (
	// DefaultPrefillRate, in tokens per second, is assumed for an upstream that
	// does not report its rate.
	DefaultPrefillRate = 20_000.0

	// importSetupTime is the fixed part of the time that an import takes, which is
	// the copying of blocks from the cache store to the engine.
	importSetupTime = 10 * time.Millisecond
	// decodeTimePerRunningRequest is the time that each running request adds to the
	// wait, because its decode steps take engine time. The value is the default decode
	// time per stream of the stand-in engines.
	decodeTimePerRunningRequest = 400 * time.Microsecond
)

// CostModel estimates the time to first token on an upstream, and its cost, by which
// upstreams are compared. The cost is the same time with the prefill time multiplied
// by RecomputeFactor.
type CostModel struct {
	// RecomputeFactor multiplies the time to compute missing blocks. The value 1
	// counts only the delay of this request. A higher value also counts the delay
	// that this work causes to later requests.
	RecomputeFactor float64
	// AllowImport permits copying blocks from the cache store.
	AllowImport bool
}

// Estimate returns the expected time to first token of a request on the probed
// upstream, the cost by which upstreams are compared, and whether both values
// assume an import from the cache store.
func (c CostModel) Estimate(request Request, result ProbeResult, roundTrip time.Duration) (expectedTTFT, cost time.Duration, useImport bool) {
	rate := result.PrefillRate
	if rate <= 0 {
		rate = DefaultPrefillRate
	}
	missingTokens := max(0, request.PromptTokens-result.CachedTokens)
	prefill := durationAtRate(missingTokens, rate)
	wait := result.QueueDelay + roundTrip + result.Penalty + time.Duration(result.RunningRequests)*decodeTimePerRunningRequest
	expectedTTFT = wait + prefill
	cost = wait + time.Duration(float64(prefill)*c.RecomputeFactor)
	if !c.AllowImport || result.ImportableTokens <= 0 || result.ImportRate <= 0 {
		return expectedTTFT, cost, false
	}
	importedTokens := min(missingTokens, result.ImportableTokens)
	remainingPrefill := durationAtRate(missingTokens-importedTokens, rate)
	importTime := importSetupTime + durationAtRate(importedTokens, result.ImportRate)
	// The import runs while the request waits in the queue.
	ttftWithImport := max(wait, importTime) + remainingPrefill
	costWithImport := max(wait, importTime) + time.Duration(float64(remainingPrefill)*c.RecomputeFactor)
	if ttftWithImport < expectedTTFT {
		return ttftWithImport, costWithImport, true
	}
	return expectedTTFT, cost, false
}

// durationAtRate returns the time to prefill or import tokens at a rate in tokens per
// second.
func durationAtRate(tokens int64, rate float64) time.Duration {
	return time.Duration(float64(tokens) / rate * float64(time.Second))
}

// RankResults returns a choice for each upstream that can serve the request,
// lowest cost first. It omits upstreams that are unavailable or did not answer.
func (c CostModel) RankResults(upstreams []Upstream, request Request, results []ProbeResult) []Choice {
	type rankedChoice struct {
		choice Choice
		cost   time.Duration
	}
	ranked := make([]rankedChoice, 0, len(results))
	for _, result := range results {
		if !result.Answered || result.Unavailable {
			continue
		}
		expectedTTFT, cost, useImport := c.Estimate(request, result, upstreams[result.UpstreamIndex].RoundTrip)
		ranked = append(ranked, rankedChoice{
			choice: Choice{
				UpstreamIndex: result.UpstreamIndex,
				Incarnation:   result.Incarnation,
				CachedTokens:  result.CachedTokens,
				Import:        useImport,
				ExpectedTTFT:  expectedTTFT,
			},
			cost: cost,
		})
	}
	slices.SortStableFunc(ranked, func(a, b rankedChoice) int { return cmp.Compare(a.cost, b.cost) })
	choices := make([]Choice, len(ranked))
	for i := range ranked {
		choices[i] = ranked[i].choice
	}
	return choices
}
