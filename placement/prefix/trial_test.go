package prefix_test

import (
	"context"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/greengagegate/greengagegate/placement"
	"github.com/greengagegate/greengagegate/placement/hash"
	"github.com/greengagegate/greengagegate/placement/leastloaded"
	"github.com/greengagegate/greengagegate/placement/prefix"
	"github.com/greengagegate/greengagegate/placement/probeall"
)

var trialSeconds = flag.Float64("trial", 0, "seconds of the offline trial of placement policies; 0 skips it")

const (
	blockTokens, cacheBlocks, storeBlocks = 2000, 120, 800
	engineRate, storeRate                 = 25_000.0, 150_000.0
	idleSeconds, wantSeconds              = 8.0, 20.0
)

// shape is a workload: prompts of rules, family and document levels and an own part.
type shape struct {
	name                          string
	engines, rules, family        int
	documents, docMin, docMax     int
	resent, window, rate, shuffle float64
	zipf                          float64
}

var shapes = []shape{
	{"limon", 20, 4, 0, 60, 4, 8, 0.3, 10, 30, 20, 1.1},
	{"letak", 10, 6, 3, 40, 4, 10, 0.5, 20, 11, 30, 1.1},
	{"hot", 60, 4, 0, 60, 4, 8, 0.3, 10, 90, 20, 2.0},
}

var shares = []float64{.48, .25, .14, .08, .05}

// lru is a cache of blocks by the time of last use.
type lru map[uint64]float64

func (c lru) put(hashes []uint64, at float64, limit int) {
	for _, h := range hashes {
		c[h] = at
	}
	for len(c) > limit {
		oldest, when := uint64(0), math.Inf(1)
		for h, used := range c {
			if used < when || used == when && h < oldest {
				oldest, when = h, used
			}
		}
		delete(c, oldest)
	}
}

func (c lru) leading(hashes []uint64, now, idle float64) int {
	for i, h := range hashes {
		if used, ok := c[h]; !ok || now-used > idle {
			return i
		}
	}
	return len(hashes)
}

// trial models engines that compute serially, without lost events: a means to
// compare choices quickly, not a measurement.
type trial struct {
	shape
	rnd              *rand.Rand
	now              float64
	caches           []lru
	freeAt           []float64
	store, wanted    lru
	storeFree        float64
	asked            int
	recent           [5][]sent
	ttfts            []float64
	total, hit, need float64
}

type sent struct {
	at     float64
	hashes []uint64
}

func (s *trial) Probe(_ context.Context, r placement.Request, order []int, width int) []placement.Answer {
	var answers []placement.Answer
	for _, e := range order[:min(width, len(order))] {
		s.asked++
		cached := s.caches[e].leading(r.Hashes, s.now, idleSeconds)
		stored := float64(max(0, s.store.leading(r.Hashes, s.now, math.Inf(1))-cached)) * blockTokens
		answers = append(answers, placement.Answer{
			Upstream: e, Answered: true, CachedTokens: int64(cached * blockTokens), PrefillRate: engineRate,
			Wait:             time.Duration(max(0, s.freeAt[e]-s.now) * 1e9),
			ImportableTokens: int64(stored),
			ImportRate:       stored / (max(0, s.storeFree-s.now) + stored/storeRate + 1e-9),
		})
	}
	return answers
}

// serve runs a request on the engine chosen and returns its blocks found in a cache and its ttft.
func (s *trial) serve(hashes []uint64, choice placement.Choice) (cached int, ttft float64) {
	e, ready := choice.Upstream, s.now
	cached = s.caches[e].leading(hashes, s.now, idleSeconds)
	if stored := s.store.leading(hashes, s.now, math.Inf(1)); choice.Import && stored > cached {
		s.storeFree = max(s.storeFree, s.now) + float64((stored-cached)*blockTokens)/storeRate
		ready, cached = s.storeFree+0.005, stored
	}
	s.freeAt[e] = max(s.freeAt[e], ready) + float64(len(hashes)-cached)*blockTokens/engineRate
	s.caches[e].put(hashes, s.freeAt[e], cacheBlocks)
	s.export(hashes)
	return cached, s.freeAt[e] - s.now
}

// export copies blocks that are wanted again within a short time.
func (s *trial) export(hashes []uint64) {
	again := s.wanted.leading(hashes, s.now, wantSeconds)
	s.wanted.put(hashes, s.now, math.MaxInt)
	for _, h := range hashes[:again] {
		if _, stored := s.store[h]; !stored {
			if s.storeFree > s.now+0.05 {
				return
			}
			s.storeFree = max(s.storeFree, s.now) + blockTokens/storeRate
		}
		s.store.put([]uint64{h}, s.now, storeBlocks)
	}
}

// prompt draws the next request's customer and blocks.
func (s *trial) prompt() (int, []uint64) {
	c := draw(s.rnd, len(shares), func(i int) float64 { return shares[i] })
	s.recent[c] = slices.DeleteFunc(s.recent[c], func(r sent) bool { return r.at < s.now-s.window })
	if n := len(s.recent[c]); n > 0 && s.rnd.Float64() < s.resent {
		return c, s.recent[c][s.rnd.IntN(n)].hashes
	}
	doc := draw(s.rnd, s.documents, func(i int) float64 { return math.Pow(float64(i+1), -s.zipf) })
	doc = rand.New(rand.NewPCG(uint64(s.now/s.shuffle), uint64(c))).Perm(s.documents)[doc]
	span := s.docMax - s.docMin + 1
	levels := [][2]uint64{{uint64(s.rules), 0}, {uint64(s.docMin + doc%span), uint64(doc)}, {uint64(1 + s.rnd.IntN(3)), s.rnd.Uint64()}}
	if s.family > 0 {
		levels[1][0], levels[2][0] = uint64(s.family), uint64(s.docMin+s.rnd.IntN(span))
	}
	chain := placement.Root(fmt.Sprint(c), "m", "v")
	var hashes []uint64
	for _, level := range levels {
		for i := range level[0] {
			block := fmt.Append(nil, i, level[1])
			chain = placement.Chain(chain, block, len(block))[0]
			hashes = append(hashes, chain)
		}
	}
	s.recent[c] = append(s.recent[c], sent{s.now, hashes})
	return c, hashes
}

func draw(rnd *rand.Rand, n int, weight func(int) float64) int {
	total := 0.0
	for i := range n {
		total += weight(i)
	}
	u := rnd.Float64() * total
	for i := range n - 1 {
		if u -= weight(i); u < 0 {
			return i
		}
	}
	return n - 1
}

func run(sh shape, policy placement.Policy, seconds float64) string {
	s := &trial{shape: sh, rnd: rand.New(rand.NewPCG(1, 2)), store: lru{}, wanted: lru{}, freeAt: make([]float64, sh.engines)}
	for range sh.engines {
		s.caches = append(s.caches, lru{})
	}
	upstreams, endless := fleet(sh.engines), lru{}
	for s.now < seconds {
		s.now += s.rnd.ExpFloat64() / s.rate
		customer, hashes := s.prompt()
		request := placement.Request{Customer: fmt.Sprint(customer), Hashes: hashes, PromptTokens: int64(len(hashes) * blockTokens)}
		cached, ttft := s.serve(hashes, policy.Choose(context.Background(), upstreams, request, s)[0])
		s.total += float64(len(hashes))
		s.hit += float64(cached)
		s.need += float64(len(hashes) - endless.leading(hashes, s.now, math.Inf(1)))
		endless.put(hashes, s.now, math.MaxInt)
		s.ttfts = append(s.ttfts, ttft*1000)
	}
	slices.Sort(s.ttfts)
	at := func(q float64) float64 { return s.ttfts[int(q*float64(len(s.ttfts)))] }
	return fmt.Sprintf("hit %.3f  ttft p50 %4.0f p95 %4.0f p99 %4.0f ms  recomputed beyond need %.2f  asked %.2f",
		s.hit/s.total, at(.5), at(.95), at(.99), (s.total-s.hit)/s.need-1, float64(s.asked)/float64(len(s.ttfts)))
}

// TestTrial prints what policies reach in the model, under -trial.
func TestTrial(t *testing.T) {
	if *trialSeconds == 0 {
		t.Skip("needs -trial")
	}
	with := func(change func(*prefix.Options)) placement.Policy {
		o := prefix.DefaultOptions()
		change(&o)
		return prefix.New(o)
	}
	for _, sh := range shapes {
		for _, entry := range []struct {
			name   string
			policy placement.Policy
		}{
			{"least-loaded", leastloaded.New()},
			{"hash", hash.New(hash.DefaultDepth)},
			{"probe-all", probeall.New(prefix.DefaultOptions().Costs)},
			{"prefix", with(func(*prefix.Options) {})},
			{"prefix, no import", with(func(o *prefix.Options) { o.Costs.Import = false })},
			{"prefix, recompute 1", with(func(o *prefix.Options) { o.Costs.Recompute = 1 })},
			{"prefix, 2 homes", with(func(o *prefix.Options) { o.Homes = 2 })},
			{"prefix, depth 12", with(func(o *prefix.Options) { o.Depth = 12 })},
		} {
			t.Logf("%s %-20s %s", sh.name, entry.name, run(sh, entry.policy, *trialSeconds))
		}
	}
}
