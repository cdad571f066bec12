package prefix_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/greengagegate/greengagegate/placement"
	"github.com/greengagegate/greengagegate/placement/prefix"
)

// scripted answers with what it is told of upstreams, idle and empty by default.
type scripted struct {
	answers map[int]placement.Answer
	asked   []int
}

func (s *scripted) Probe(_ context.Context, _ placement.Request, order []int, width int) []placement.Answer {
	width = min(width, len(order))
	answers := make([]placement.Answer, 0, width)
	for _, upstream := range order[:width] {
		s.asked = append(s.asked, upstream)
		answer, ok := s.answers[upstream]
		if !ok {
			answer = placement.Answer{PrefillRate: 25_000}
		}
		answer.Upstream, answer.Answered = upstream, true
		answers = append(answers, answer)
	}
	return answers
}

func fleet(n int) []placement.Upstream {
	upstreams := make([]placement.Upstream, n)
	for i := range upstreams {
		name := fmt.Sprintf("engine-%03d", i)
		upstreams[i] = placement.Upstream{Name: name, ID: placement.UpstreamID(name)}
	}
	return upstreams
}

func request(document, own uint64) placement.Request {
	chain := placement.Root("a", "m", "v")
	var hashes []uint64
	for i := range 12 {
		part := document
		if i >= 9 {
			part = own
		}
		block := fmt.Appendf(nil, "%08d%08d", part, i)
		chain = placement.Chain(chain, block, len(block))[0]
		hashes = append(hashes, chain)
	}
	return placement.Request{Customer: "a", Hashes: hashes, PromptTokens: 24_000}
}

func TestPromptsOfOneDocumentAskTheSameHomes(t *testing.T) {
	p, upstreams := prefix.New(prefix.DefaultOptions()), fleet(20)
	first, second := new(scripted), new(scripted)
	p.Choose(t.Context(), upstreams, request(1, 100), first)
	p.Choose(t.Context(), upstreams, request(1, 200), second)
	if fmt.Sprint(first.asked) != fmt.Sprint(second.asked) || len(first.asked) != prefix.DefaultOptions().Homes {
		t.Fatalf("asked %v and %v", first.asked, second.asked)
	}
}

func TestBusyHomesWidenWithinTheBound(t *testing.T) {
	o := prefix.DefaultOptions()
	p, upstreams := prefix.New(o), fleet(20)
	homes := placement.Rank(upstreams, placement.Key(request(1, 100), o.Depth), o.Homes, nil)
	prober := &scripted{answers: make(map[int]placement.Answer)}
	for _, home := range homes {
		prober.answers[home] = placement.Answer{PrefillRate: 25_000, CachedTokens: 18_000, Wait: 10 * time.Second}
	}
	choices := p.Choose(t.Context(), upstreams, request(1, 100), prober)
	if len(prober.asked) != o.MaxAsked {
		t.Fatalf("asked %v, want %d", prober.asked, o.MaxAsked)
	}
	for _, home := range homes {
		if choices[0].Upstream == home {
			t.Fatal("request kept behind 10 s of work although another upstream is idle")
		}
	}
}

func TestUnavailableHomesAreReplaced(t *testing.T) {
	o := prefix.DefaultOptions()
	p, upstreams := prefix.New(o), fleet(20)
	prober := &scripted{answers: make(map[int]placement.Answer)}
	for _, home := range placement.Rank(upstreams, placement.Key(request(1, 100), o.Depth), o.Homes, nil) {
		prober.answers[home] = placement.Answer{Unavailable: true}
	}
	if choices := p.Choose(t.Context(), upstreams, request(1, 100), prober); len(choices) == 0 {
		t.Fatal("no choice although 17 upstreams serve")
	}
	if choices := p.Choose(t.Context(), nil, request(1, 100), prober); len(choices) != 0 {
		t.Fatalf("choices %v from an empty pool", choices)
	}
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{10, 100, 600} {
		b.Run(fmt.Sprintf("upstreams=%d", n), func(b *testing.B) {
			p, upstreams, prober := prefix.New(prefix.DefaultOptions()), fleet(n), new(scripted)
			r := request(1, 100)
			b.ReportAllocs()
			for b.Loop() {
				prober.asked = prober.asked[:0]
				p.Choose(context.Background(), upstreams, r, prober)
			}
		})
	}
}
