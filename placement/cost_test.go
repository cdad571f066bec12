package placement

import (
	"slices"
	"testing"
	"time"
)

// TestRankResultsWeighsCacheAgainstDelay checks that a cached prompt wins until
// the queue delay or the penalty exceeds the weighted prefill time that it saves.
func TestRankResultsWeighsCacheAgainstDelay(t *testing.T) {
	upstreams := testUpstreams(3)
	request := Request{PromptTokens: 20_000}
	result := func(upstreamIndex int, cachedTokens int64, queueDelay time.Duration) ProbeResult {
		return ProbeResult{UpstreamIndex: upstreamIndex, Answered: true, CachedTokens: cachedTokens, QueueDelay: queueDelay, PrefillRate: 20_000}
	}
	for _, test := range []struct {
		name    string
		model   CostModel
		results []ProbeResult
		want    []int
	}{
		{"cached prompt outweighs shorter delay", CostModel{RecomputeFactor: 1}, []ProbeResult{result(0, 0, 0), result(1, 20_000, 900*time.Millisecond)}, []int{1, 0}},
		{"longer delay outweighs cached prompt", CostModel{RecomputeFactor: 1}, []ProbeResult{result(0, 0, 0), result(1, 20_000, 1100*time.Millisecond)}, []int{0, 1}},
		{"recompute factor doubles prefill time", CostModel{RecomputeFactor: 2}, []ProbeResult{result(0, 0, 0), result(1, 20_000, 1100*time.Millisecond)}, []int{1, 0}},
		{"unanswered and unavailable are omitted", CostModel{RecomputeFactor: 1}, []ProbeResult{{UpstreamIndex: 0}, {UpstreamIndex: 1, Answered: true, Unavailable: true}, result(2, 0, time.Second)}, []int{2}},
		{"penalty is added", CostModel{RecomputeFactor: 1}, []ProbeResult{{UpstreamIndex: 0, Answered: true, CachedTokens: 20_000, Penalty: 2 * time.Second}, result(1, 0, 0)}, []int{1, 0}},
	} {
		var got []int
		for _, choice := range test.model.RankResults(upstreams, request, test.results) {
			got = append(got, choice.UpstreamIndex)
		}
		if !slices.Equal(got, test.want) {
			t.Errorf("%s: got %v, want %v", test.name, got, test.want)
		}
	}
}

// TestImportOnlyWhenFasterThanRecomputing guards against an import that delays the
// first token, and against an import although the model does not allow it.
func TestImportOnlyWhenFasterThanRecomputing(t *testing.T) {
	request := Request{PromptTokens: 20_000}
	result := ProbeResult{Answered: true, ImportableTokens: 10_000, PrefillRate: 20_000, ImportRate: 100_000}
	expectedTTFT, _, useImport := CostModel{RecomputeFactor: 1, AllowImport: true}.Estimate(request, result, 0)
	if !useImport || expectedTTFT != 610*time.Millisecond {
		t.Fatalf("fast import: import %v, expected time to first token %v; want an import and 610ms", useImport, expectedTTFT)
	}
	result.ImportRate = 10_000
	if _, _, useImport = (CostModel{RecomputeFactor: 1, AllowImport: true}).Estimate(request, result, 0); useImport {
		t.Fatal("import chosen although recomputing is faster")
	}
	result.ImportRate = 100_000
	if _, _, useImport = (CostModel{RecomputeFactor: 1}).Estimate(request, result, 0); useImport {
		t.Fatal("import chosen although it is not allowed")
	}
}
