package enginesim

import (
	"context"
	"sync"
	"time"

	"github.com/greengagegate/greengagegate/internal/engine"
	"github.com/greengagegate/greengagegate/internal/standin/answer"
)

const (
	loadSampleInterval = 100 * time.Millisecond
	// maxLoadedVersions is the number of weight versions that an engine keeps loaded.
	// Loading another one unloads the oldest.
	maxLoadedVersions = 2
)

// loadSample is a load report and the time at which it was taken.
type loadSample struct {
	sampledAt time.Time
	load      engine.Load
}

// loadHistory delays load reports by lag: it keeps the samples of that period and reports
// the oldest.
type loadHistory struct {
	mu      sync.Mutex
	lag     time.Duration
	samples []loadSample
}

func (h *loadHistory) add(load engine.Load) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	h.samples = append(h.samples, loadSample{sampledAt: now, load: load})
	for len(h.samples) > 1 && now.Sub(h.samples[1].sampledAt) >= h.lag {
		h.samples = h.samples[1:]
	}
}

// report returns the oldest sample with its age. The age is about h.lag as soon as samples
// cover that period. Without any sample it returns an empty report.
func (h *loadHistory) report() engine.Load {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.samples) == 0 {
		return engine.Load{}
	}
	load := h.samples[0].load
	load.AgeMillis = time.Since(h.samples[0].sampledAt).Milliseconds()
	return load
}

// sampleLoadLoop adds a sample to history every loadSampleInterval until ctx ends.
func (e *instance) sampleLoadLoop(ctx context.Context, history *loadHistory) {
	ticker := time.NewTicker(loadSampleInterval)
	defer ticker.Stop()
	for {
		history.add(e.currentLoad())
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// currentLoad returns the engine's current load report.
func (e *instance) currentLoad() engine.Load {
	weights, loading := e.weights.state()
	e.mu.Lock()
	defer e.mu.Unlock()
	return engine.Load{
		Incarnation:   e.incarnation,
		Weights:       weights,
		Loading:       loading,
		Running:       e.admittedCount,
		Waiting:       len(e.waiting),
		BatchLimit:    e.options.BatchLimit,
		CachedBlocks:  e.cache.len(),
		CacheBlocks:   e.options.CacheBlocks,
		BlockTokens:   e.options.BlockTokens,
		BytesPerToken: answer.BytesPerToken,
		PrefillRate:   e.options.PrefillRate,
	}
}

// WeightStore is the rate-limited store that engines load weights from. A load takes
// LoadTime if, including itself, at most FullSpeedLoads loads run when it starts;
// otherwise it takes longer in proportion to their number. It is safe for concurrent use.
type WeightStore struct {
	LoadTime       time.Duration
	FullSpeedLoads int

	mu      sync.Mutex
	loading int
	peak    int
}

// Peak returns the largest number of concurrent loads so far.
func (w *WeightStore) Peak() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.peak
}

// waitForWeights blocks for the duration of a load of weights and reports whether it
// finished before ctx ended.
func (w *WeightStore) waitForWeights(ctx context.Context) bool {
	w.mu.Lock()
	w.loading++
	w.peak = max(w.peak, w.loading)
	slowdown := max(1, float64(w.loading)/float64(max(1, w.FullSpeedLoads)))
	w.mu.Unlock()
	finished := sleepUnlessDone(ctx, ctx, time.Duration(float64(w.LoadTime)*slowdown))
	w.mu.Lock()
	defer w.mu.Unlock()
	w.loading--
	return finished
}

// weightSet holds the state that orders change: the weights that an instance has loaded,
// the highest fencing token of its orders and the ordered role. It is safe for concurrent use.
type weightSet struct {
	store *WeightStore

	mu           sync.Mutex
	loaded       []string // in order of loading
	loading      string   // name of the weights being loaded, empty for none
	fencingToken uint64
	role         string
}

// state returns the loaded weights, the newest last, and the weights being loaded.
func (s *weightSet) state() (loaded []string, loading string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.loaded...), s.loading
}

// has reports whether the weights are loaded. An empty name matches any loaded weights.
func (s *weightSet) has(weights string) bool {
	loaded, _ := s.state()
	for _, name := range loaded {
		if name == weights || weights == "" {
			return true
		}
	}
	return false
}

// loadWeights loads weights and blocks until they are loaded or ctx ends. It does
// nothing if the name is empty or the weights are loaded already.
func (s *weightSet) loadWeights(ctx context.Context, weights string) {
	if weights == "" || s.has(weights) {
		return
	}
	s.setLoading(weights)
	finished := s.store == nil || s.store.waitForWeights(ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.loading == weights {
		s.loading = ""
	}
	if !finished {
		return
	}
	s.loaded = append(s.loaded, weights)
	if len(s.loaded) > maxLoadedVersions {
		s.loaded = s.loaded[1:]
	}
}

func (s *weightSet) setLoading(weights string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loading = weights
}

// unload removes weights from the loaded ones.
func (s *weightSet) unload(weights string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	kept := s.loaded[:0]
	for _, name := range s.loaded {
		if name != weights {
			kept = append(kept, name)
		}
	}
	s.loaded = kept
}

// applyOrder records the fencing token of an order, and its role if it sets one. When
// checkToken is true, it returns engine.ErrStaleFence for a token below the highest one
// seen and records nothing.
func (s *weightSet) applyOrder(order engine.Order, checkToken bool) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if checkToken && order.Fence < s.fencingToken {
		return engine.ErrStaleFence
	}
	s.fencingToken = max(s.fencingToken, order.Fence)
	if order.Kind == engine.OrderRole {
		s.role = order.Role
	}
	return nil
}

// highestFencingToken returns the highest fencing token of the orders applied so far.
func (s *weightSet) highestFencingToken() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fencingToken
}
