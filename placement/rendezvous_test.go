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

func TestRankEqualsASortByWeight(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		upstreams := testUpstreams(rapid.IntRange(0, 40).Draw(t, "upstreams"))
		key := rapid.Uint64().Draw(t, "key")
		count := rapid.IntRange(0, 8).Draw(t, "count")
		var held []int
		if len(upstreams) > 0 && rapid.Bool().Draw(t, "held") {
			held = append(held, rapid.IntRange(0, len(upstreams)-1).Draw(t, "holds"))
		}
		sorted := make([]int, 0, len(upstreams))
		for i := range upstreams {
			if !slices.Contains(held, i) {
				sorted = append(sorted, i)
			}
		}
		slices.SortStableFunc(sorted, func(a, b int) int {
			if weigh(key, upstreams[a].ID) > weigh(key, upstreams[b].ID) {
				return -1
			}
			return 1
		})
		want := append(slices.Clone(held), sorted[:min(count, len(sorted))]...)
		if got := Rank(upstreams, key, count, held); !slices.Equal(got, want) {
			t.Fatalf("got %v, want %v", got, want)
		}
	})
}

func TestRankSpreadsKeysAndMovesFewWhenAnUpstreamLeaves(t *testing.T) {
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
			t.Fatalf("upstream %d has %d keys, mean %d", i, count, mean)
		}
	}
}

func TestCostsPreferCacheUntilTheWaitOutweighsIt(t *testing.T) {
	upstreams := testUpstreams(3)
	request := Request{PromptTokens: 20_000}
	answer := func(upstream int, cached int64, wait time.Duration) Answer {
		return Answer{Upstream: upstream, Answered: true, CachedTokens: cached, Wait: wait, PrefillRate: 20_000}
	}
	for _, test := range []struct {
		name    string
		costs   Costs
		answers []Answer
		want    []int
	}{
		{"cache wins", Costs{Recompute: 1}, []Answer{answer(0, 0, 0), answer(1, 20_000, 900*time.Millisecond)}, []int{1, 0}},
		{"wait wins", Costs{Recompute: 1}, []Answer{answer(0, 0, 0), answer(1, 20_000, 1100*time.Millisecond)}, []int{0, 1}},
		{"recompute counts double", Costs{Recompute: 2}, []Answer{answer(0, 0, 0), answer(1, 20_000, 1100*time.Millisecond)}, []int{1, 0}},
		{"silent and unavailable are left out", Costs{Recompute: 1}, []Answer{{Upstream: 0}, {Upstream: 1, Answered: true, Unavailable: true}, answer(2, 0, time.Second)}, []int{2}},
		{"penalty counts", Costs{Recompute: 1}, []Answer{{Upstream: 0, Answered: true, CachedTokens: 20_000, Penalty: 2 * time.Second}, answer(1, 0, 0)}, []int{1, 0}},
	} {
		var got []int
		for _, choice := range test.costs.Order(upstreams, request, test.answers) {
			got = append(got, choice.Upstream)
		}
		if !slices.Equal(got, test.want) {
			t.Errorf("%s: got %v, want %v", test.name, got, test.want)
		}
	}
}

func TestImportOnlyWhenFasterThanRecomputing(t *testing.T) {
	request := Request{PromptTokens: 20_000}
	answer := Answer{Answered: true, ImportableTokens: 10_000, PrefillRate: 20_000, ImportRate: 100_000}
	expected, _, imports := Costs{Recompute: 1, Import: true}.Estimate(request, answer, 0)
	if !imports || expected != 610*time.Millisecond {
		t.Fatalf("fast import: %v, %v", imports, expected)
	}
	answer.ImportRate = 10_000
	if _, _, imports = (Costs{Recompute: 1, Import: true}).Estimate(request, answer, 0); imports {
		t.Fatal("slow import chosen")
	}
	answer.ImportRate = 100_000
	if _, _, imports = (Costs{Recompute: 1}).Estimate(request, answer, 0); imports {
		t.Fatal("import chosen although switched off")
	}
}
