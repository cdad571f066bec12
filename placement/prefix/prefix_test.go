package prefix_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/greengagegate/greengagegate/placement"
	"github.com/greengagegate/greengagegate/placement/prefix"
)

// fakeProber returns the given results by upstream index. Upstreams without an
// entry are idle and have an empty cache. It records the upstreams probed.
type fakeProber struct {
	results map[int]placement.ProbeResult
	probed  []int
}

func (p *fakeProber) Probe(_ context.Context, _ placement.Request, order []int, width int) []placement.ProbeResult {
	width = min(width, len(order))
	results := make([]placement.ProbeResult, 0, width)
	for _, upstreamIndex := range order[:width] {
		p.probed = append(p.probed, upstreamIndex)
		result, ok := p.results[upstreamIndex]
		if !ok {
			result = placement.ProbeResult{PrefillRate: 25_000}
		}
		result.UpstreamIndex, result.Answered = upstreamIndex, true
		results = append(results, result)
	}
	return results
}

func testUpstreams(n int) []placement.Upstream {
	upstreams := make([]placement.Upstream, n)
	for i := range upstreams {
		name := fmt.Sprintf("engine-%03d", i)
		upstreams[i] = placement.Upstream{Name: name, ID: placement.UpstreamID(name)}
	}
	return upstreams
}

// testRequest returns a prompt of 9 blocks of a document and 3 blocks of a question.
func testRequest(document, question uint64) placement.Request {
	chain := placement.ChainRoot("a", "m", "v")
	var hashes []uint64
	for i := range 12 {
		content := document
		if i >= 9 {
			content = question
		}
		block := fmt.Appendf(nil, "%08d%08d", content, i)
		chain = placement.BlockHashes(chain, block, len(block))[0]
		hashes = append(hashes, chain)
	}
	return placement.Request{Customer: "a", Hashes: hashes, PromptTokens: 24_000}
}

// TestPromptsOfOneDocumentProbeTheSameHomes guards against prompts with a common
// prefix being spread over upstreams, each of which would compute the prefix again.
func TestPromptsOfOneDocumentProbeTheSameHomes(t *testing.T) {
	p, upstreams := prefix.New(prefix.DefaultOptions()), testUpstreams(20)
	first, second := new(fakeProber), new(fakeProber)
	p.Choose(t.Context(), upstreams, testRequest(1, 100), first)
	p.Choose(t.Context(), upstreams, testRequest(1, 200), second)
	if fmt.Sprint(first.probed) != fmt.Sprint(second.probed) || len(first.probed) != prefix.DefaultOptions().HomeCount {
		t.Fatalf("probed %v and %v, want the same home upstreams", first.probed, second.probed)
	}
}

// TestBusyHomesCauseFurtherProbesWithinTheLimit guards against requests that wait
// at busy home upstreams, because their prefix is cached there, while another upstream
// is idle.
func TestBusyHomesCauseFurtherProbesWithinTheLimit(t *testing.T) {
	o := prefix.DefaultOptions()
	p, upstreams := prefix.New(o), testUpstreams(20)
	homes := placement.Rank(upstreams, placement.PrefixKey(testRequest(1, 100), o.HomeBlocks), o.HomeCount, nil)
	prober := &fakeProber{results: make(map[int]placement.ProbeResult)}
	for _, home := range homes {
		prober.results[home] = placement.ProbeResult{PrefillRate: 25_000, CachedTokens: 18_000, QueueDelay: 10 * time.Second}
	}
	choices := p.Choose(t.Context(), upstreams, testRequest(1, 100), prober)
	if len(prober.probed) != o.MaxProbes {
		t.Fatalf("probed %v, want %d upstreams", prober.probed, o.MaxProbes)
	}
	for _, home := range homes {
		if choices[0].UpstreamIndex == home {
			t.Fatal("home upstream with a queue delay of 10 s chosen although another upstream is idle")
		}
	}
}

// TestUnavailableHomesAreReplaced guards against requests that fail because all
// their home upstreams are unavailable, and checks that an empty pool gives no choice.
func TestUnavailableHomesAreReplaced(t *testing.T) {
	o := prefix.DefaultOptions()
	p, upstreams := prefix.New(o), testUpstreams(20)
	prober := &fakeProber{results: make(map[int]placement.ProbeResult)}
	for _, home := range placement.Rank(upstreams, placement.PrefixKey(testRequest(1, 100), o.HomeBlocks), o.HomeCount, nil) {
		prober.results[home] = placement.ProbeResult{Unavailable: true}
	}
	if choices := p.Choose(t.Context(), upstreams, testRequest(1, 100), prober); len(choices) == 0 {
		t.Fatal("no choice although 17 upstreams are available")
	}
	if choices := p.Choose(t.Context(), nil, testRequest(1, 100), prober); len(choices) != 0 {
		t.Fatalf("got %v from an empty pool, want no choices", choices)
	}
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{10, 100, 600} {
		b.Run(fmt.Sprintf("upstreams=%d", n), func(b *testing.B) {
			p, upstreams, prober := prefix.New(prefix.DefaultOptions()), testUpstreams(n), new(fakeProber)
			request := testRequest(1, 100)
			b.ReportAllocs()
			for b.Loop() {
				prober.probed = prober.probed[:0]
				p.Choose(context.Background(), upstreams, request, prober)
			}
		})
	}
}
