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

var trialSeconds = flag.Float64("trial", 0, "simulated seconds for which placement policies are compared; 0 skips the simulation")

const (
	// blockTokens is the number of tokens in a block. The capacities of one engine's
	// cache and of the cache store are in blocks.
	blockTokens, engineCacheBlocks, cacheStoreBlocks = 2000, 120, 800
	// Rates are in tokens per second.
	enginePrefillRate, cacheStoreRate = 25_000.0, 150_000.0
	// An engine reports a block as cached only for maxIdleSeconds after its last use. A
	// block is exported if it is requested again within exportWindowSeconds.
	maxIdleSeconds, exportWindowSeconds = 8.0, 20.0
)

// workload describes simulated prompts. The blocks of each prompt belong to three
// levels: the customer's rules, a document and a question. If familyBlocks is positive,
// the levels are the customer's rules, a family of documents of familyBlocks blocks, and
// a document. Documents or families are drawn with Zipf-distributed popularity.
type workload struct {
	name string
	// engines is the number of engines. rulesBlocks and familyBlocks are the lengths of
	// these levels in blocks.
	engines, rulesBlocks, familyBlocks int
	// documents is the number of documents, or of families, of a customer.
	// minDocumentBlocks and maxDocumentBlocks are the bounds of a document's length.
	documents, minDocumentBlocks, maxDocumentBlocks int
	// resendProbability is the probability that a prompt of the last
	// resendWindowSeconds is sent again. Popularity is reassigned to documents each
	// reshuffleSeconds.
	resendProbability, resendWindowSeconds, requestsPerSecond, reshuffleSeconds float64
	zipfExponent                                                                float64
}

var workloads = []workload{
	{"limon", 20, 4, 0, 60, 4, 8, 0.3, 10, 30, 20, 1.1},
	{"letak", 10, 6, 3, 40, 4, 10, 0.5, 20, 11, 30, 1.1},
	{"hot", 60, 4, 0, 60, 4, 8, 0.3, 10, 90, 20, 2.0},
}

// customerShares are the customers' shares of the requests.
var customerShares = []float64{.48, .25, .14, .08, .05}

// lru maps the blocks of a cache to the time of their last use in seconds.
type lru map[uint64]float64

// put marks blocks as used and evicts the least recently used blocks above limit.
func (c lru) put(hashes []uint64, usedAt float64, limit int) {
	for _, h := range hashes {
		c[h] = usedAt
	}
	for len(c) > limit {
		oldest, oldestUse := uint64(0), math.Inf(1)
		for h, lastUse := range c {
			if lastUse < oldestUse || lastUse == oldestUse && h < oldest {
				oldest, oldestUse = h, lastUse
			}
		}
		delete(c, oldest)
	}
}

// leadingBlocks returns how many leading blocks are cached and were used within
// the last maxIdle seconds.
func (c lru) leadingBlocks(hashes []uint64, now, maxIdle float64) int {
	for i, h := range hashes {
		if lastUse, ok := c[h]; !ok || now-lastUse > maxIdle {
			return i
		}
	}
	return len(hashes)
}

// simulation models engines that prefill one request at a time and probes that
// always see the current cache contents. It compares policies quickly and does not
// replace a measurement.
type simulation struct {
	workload
	rnd *rand.Rand
	// now, engineFreeAt and storeFreeAt are in seconds from the start.
	now                   float64
	engineCaches          []lru
	engineFreeAt          []float64
	cacheStore, requested lru
	storeFreeAt           float64
	probes                int
	recentPrompts         [5][]sentPrompt
	ttftsMillis           []float64
	// coldBlocks counts the blocks that even one unlimited cache for all engines would
	// miss.
	requestedBlocks, cachedBlocks, coldBlocks float64
}

type sentPrompt struct {
	sentAt float64
	hashes []uint64
}

// Probe implements placement.Prober.
func (s *simulation) Probe(_ context.Context, r placement.Request, order []int, width int) []placement.ProbeResult {
	var results []placement.ProbeResult
	for _, engine := range order[:min(width, len(order))] {
		s.probes++
		cached := s.engineCaches[engine].leadingBlocks(r.Hashes, s.now, maxIdleSeconds)
		importable := float64(max(0, s.cacheStore.leadingBlocks(r.Hashes, s.now, math.Inf(1))-cached)) * blockTokens
		results = append(results, placement.ProbeResult{
			UpstreamIndex: engine, Answered: true, CachedTokens: int64(cached * blockTokens), PrefillRate: enginePrefillRate,
			QueueDelay:       time.Duration(max(0, s.engineFreeAt[engine]-s.now) * 1e9),
			ImportableTokens: int64(importable),
			ImportRate:       importable / (max(0, s.storeFreeAt-s.now) + importable/cacheStoreRate + 1e-9),
		})
	}
	return results
}

// serve runs a request on the chosen engine. It returns the number of blocks that
// were cached or imported, and the time to first token in seconds.
func (s *simulation) serve(hashes []uint64, choice placement.Choice) (cached int, ttft float64) {
	engine, readyAt := choice.UpstreamIndex, s.now
	cached = s.engineCaches[engine].leadingBlocks(hashes, s.now, maxIdleSeconds)
	if stored := s.cacheStore.leadingBlocks(hashes, s.now, math.Inf(1)); choice.Import && stored > cached {
		s.storeFreeAt = max(s.storeFreeAt, s.now) + float64((stored-cached)*blockTokens)/cacheStoreRate
		// An import takes 5 ms in addition to the transfer.
		readyAt, cached = s.storeFreeAt+0.005, stored
	}
	s.engineFreeAt[engine] = max(s.engineFreeAt[engine], readyAt) + float64(len(hashes)-cached)*blockTokens/enginePrefillRate
	s.engineCaches[engine].put(hashes, s.engineFreeAt[engine], engineCacheBlocks)
	s.export(hashes)
	return cached, s.engineFreeAt[engine] - s.now
}

// export copies the leading blocks that were already requested within
// exportWindowSeconds to the cache store. It stops at a block that is not stored
// yet while the cache store has more than 50 ms of transfers left.
func (s *simulation) export(hashes []uint64) {
	requestedAgain := s.requested.leadingBlocks(hashes, s.now, exportWindowSeconds)
	s.requested.put(hashes, s.now, math.MaxInt)
	for _, h := range hashes[:requestedAgain] {
		if _, stored := s.cacheStore[h]; !stored {
			if s.storeFreeAt > s.now+0.05 {
				return
			}
			s.storeFreeAt = max(s.storeFreeAt, s.now) + blockTokens/cacheStoreRate
		}
		s.cacheStore.put([]uint64{h}, s.now, cacheStoreBlocks)
	}
}

// nextPrompt draws the customer and the block hashes of the next request.
func (s *simulation) nextPrompt() (int, []uint64) {
	customer := drawWeighted(s.rnd, len(customerShares), func(i int) float64 { return customerShares[i] })
	s.recentPrompts[customer] = slices.DeleteFunc(s.recentPrompts[customer], func(p sentPrompt) bool { return p.sentAt < s.now-s.resendWindowSeconds })
	if n := len(s.recentPrompts[customer]); n > 0 && s.rnd.Float64() < s.resendProbability {
		return customer, s.recentPrompts[customer][s.rnd.IntN(n)].hashes
	}
	document := drawWeighted(s.rnd, s.documents, func(i int) float64 { return math.Pow(float64(i+1), -s.zipfExponent) })
	document = rand.New(rand.NewPCG(uint64(s.now/s.reshuffleSeconds), uint64(customer))).Perm(s.documents)[document]
	lengths := s.maxDocumentBlocks - s.minDocumentBlocks + 1
	// Each level is a number of blocks and a value that identifies their content.
	levels := [][2]uint64{{uint64(s.rulesBlocks), 0}, {uint64(s.minDocumentBlocks + document%lengths), uint64(document)}, {uint64(1 + s.rnd.IntN(3)), s.rnd.Uint64()}}
	if s.familyBlocks > 0 {
		levels[1][0], levels[2][0] = uint64(s.familyBlocks), uint64(s.minDocumentBlocks+s.rnd.IntN(lengths))
	}
	chain := placement.ChainRoot(fmt.Sprint(customer), "m", "v")
	var hashes []uint64
	for _, level := range levels {
		for i := range level[0] {
			block := fmt.Append(nil, i, level[1])
			chain = placement.BlockHashes(chain, block, len(block))[0]
			hashes = append(hashes, chain)
		}
	}
	s.recentPrompts[customer] = append(s.recentPrompts[customer], sentPrompt{s.now, hashes})
	return customer, hashes
}

// drawWeighted returns an index below n, drawn with probability proportional to its weight.
func drawWeighted(rnd *rand.Rand, n int, weight func(int) float64) int {
	total := 0.0
	for i := range n {
		total += weight(i)
	}
	remaining := rnd.Float64() * total
	for i := range n - 1 {
		if remaining -= weight(i); remaining < 0 {
			return i
		}
	}
	return n - 1
}

// simulate runs a workload under a policy and returns a line of results.
func simulate(w workload, policy placement.Policy, seconds float64) string {
	s := &simulation{workload: w, rnd: rand.New(rand.NewPCG(1, 2)), cacheStore: lru{}, requested: lru{}, engineFreeAt: make([]float64, w.engines)}
	for range w.engines {
		s.engineCaches = append(s.engineCaches, lru{})
	}
	upstreams, unlimitedCache := testUpstreams(w.engines), lru{}
	for s.now < seconds {
		s.now += s.rnd.ExpFloat64() / s.requestsPerSecond
		customer, hashes := s.nextPrompt()
		request := placement.Request{Customer: fmt.Sprint(customer), Hashes: hashes, PromptTokens: int64(len(hashes) * blockTokens)}
		cached, ttft := s.serve(hashes, policy.Choose(context.Background(), upstreams, request, s)[0])
		s.requestedBlocks += float64(len(hashes))
		s.cachedBlocks += float64(cached)
		s.coldBlocks += float64(len(hashes) - unlimitedCache.leadingBlocks(hashes, s.now, math.Inf(1)))
		unlimitedCache.put(hashes, s.now, math.MaxInt)
		s.ttftsMillis = append(s.ttftsMillis, ttft*1000)
	}
	slices.Sort(s.ttftsMillis)
	quantile := func(q float64) float64 { return s.ttftsMillis[int(q*float64(len(s.ttftsMillis)))] }
	return fmt.Sprintf("hit rate %.3f  ttft p50 %4.0f p95 %4.0f p99 %4.0f ms  excess recomputation %.2f  probes per request %.2f",
		s.cachedBlocks/s.requestedBlocks, quantile(.5), quantile(.95), quantile(.99), (s.requestedBlocks-s.cachedBlocks)/s.coldBlocks-1, float64(s.probes)/float64(len(s.ttftsMillis)))
}

// TestTrial prints the simulated results of several policies. It runs only with
// -trial. Excess recomputation is the number of blocks computed beyond those that
// even one unlimited cache for all engines would miss, relative to the latter.
func TestTrial(t *testing.T) {
	if *trialSeconds == 0 {
		t.Skip("runs only with -trial SECONDS")
	}
	prefixWith := func(change func(*prefix.Options)) placement.Policy {
		o := prefix.DefaultOptions()
		change(&o)
		return prefix.New(o)
	}
	for _, w := range workloads {
		for _, variant := range []struct {
			name   string
			policy placement.Policy
		}{
			{"least-loaded", leastloaded.New()},
			{"hash", hash.New(hash.DefaultDepth)},
			{"probe-all", probeall.New(prefix.DefaultOptions().CostModel)},
			{"prefix", prefixWith(func(*prefix.Options) {})},
			{"prefix, no import", prefixWith(func(o *prefix.Options) { o.CostModel.AllowImport = false })},
			{"prefix, recompute 1", prefixWith(func(o *prefix.Options) { o.CostModel.RecomputeFactor = 1 })},
			{"prefix, 2 homes", prefixWith(func(o *prefix.Options) { o.HomeCount = 2 })},
			{"prefix, depth 12", prefixWith(func(o *prefix.Options) { o.HomeBlocks = 12 })},
		} {
			t.Logf("%s %-20s %s", w.name, variant.name, simulate(w, variant.policy, *trialSeconds))
		}
	}
}
