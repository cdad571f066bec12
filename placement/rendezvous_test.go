package placement

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func testUpstreams(n int) []Upstream {
	upstreams := make([]Upstream, n)
	for i := range upstreams {
		name := fmt.Sprintf("engine-%03d", i)
		upstreams[i] = Upstream{Name: name, ID: UpstreamID(name)}
	}
	return upstreams
}

// TestRankMatchesSortByWeight compares Rank's insertion into a fixed array with a
// full sort, including an upstream that the order already contains.
func TestRankMatchesSortByWeight(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		upstreams := testUpstreams(rapid.IntRange(0, 40).Draw(t, "upstreams"))
		key := rapid.Uint64().Draw(t, "key")
		count := rapid.IntRange(0, 8).Draw(t, "count")
		var initial []int
		if len(upstreams) > 0 && rapid.Bool().Draw(t, "held") {
			initial = append(initial, rapid.IntRange(0, len(upstreams)-1).Draw(t, "holds"))
		}
		sorted := make([]int, 0, len(upstreams))
		for i := range upstreams {
			if !slices.Contains(initial, i) {
				sorted = append(sorted, i)
			}
		}
		slices.SortStableFunc(sorted, func(a, b int) int {
			if rendezvousWeight(key, upstreams[a].ID) > rendezvousWeight(key, upstreams[b].ID) {
				return -1
			}
			return 1
		})
		want := append(slices.Clone(initial), sorted[:min(count, len(sorted))]...)
		if got := Rank(upstreams, key, count, initial); !slices.Equal(got, want) {
			t.Fatalf("got %v, want %v", got, want)
		}
	})
}

// TestRankBalancesKeysAndKeepsThemWhenAnUpstreamLeaves guards against weights that
// favour some upstreams, and against the loss of cached prefixes when a key moves
// although its upstream has stayed.
func TestRankBalancesKeysAndKeepsThemWhenAnUpstreamLeaves(t *testing.T) {
	const keys = 20_000
	upstreams := testUpstreams(20)
	counts := make([]int, len(upstreams))
	moved := 0
	for k := range uint64(keys) {
		key := k * 0x9E3779B97F4A7C15
		first := Rank(upstreams, key, 1, nil)[0]
		counts[first]++
		if after := Rank(upstreams[:19], key, 1, nil)[0]; after != first && first != 19 {
			moved++
		}
	}
	if moved != 0 {
		t.Fatalf("%d keys moved although their upstream stayed", moved)
	}
	mean := keys / len(upstreams)
	for i, count := range counts {
		if count < mean*8/10 || count > mean*12/10 {
			t.Fatalf("upstream %d has %d keys, want 0.8 to 1.2 times the mean %d", i, count, mean)
		}
	}
}

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
