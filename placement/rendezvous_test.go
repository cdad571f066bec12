package placement

import (
	"fmt"
	"slices"
	"testing"

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

// TestRankMatchesSortByScore compares Rank's insertion into a fixed array with a
// full sort, including an upstream that the order already contains.
func TestRankMatchesSortByScore(t *testing.T) {
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
			if rendezvousScore(key, upstreams[a].ID) > rendezvousScore(key, upstreams[b].ID) {
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

// TestRankBalancesKeysAndKeepsThemWhenAnUpstreamLeaves guards against scores that
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
