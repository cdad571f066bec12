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
	maxLoadedWeights   = 2
)

type loadSample struct {
	at   time.Time
	load engine.Load
}

// loadHistory keeps the reports that are not old enough to be shown.
type loadHistory struct {
	mu      sync.Mutex
	lag     time.Duration
	samples []loadSample
}

func (h *loadHistory) add(load engine.Load) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	h.samples = append(h.samples, loadSample{at: now, load: load})
	for len(h.samples) > 1 && now.Sub(h.samples[1].at) >= h.lag {
		h.samples = h.samples[1:]
	}
}

// report returns the oldest report kept, which is as old as the lag once there was time.
func (h *loadHistory) report() engine.Load {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.samples) == 0 {
		return engine.Load{}
	}
	load := h.samples[0].load
	load.AgeMillis = time.Since(h.samples[0].at).Milliseconds()
	return load
}

func (in *instance) sampleLoop(ctx context.Context, history *loadHistory) {
	ticker := time.NewTicker(loadSampleInterval)
	defer ticker.Stop()
	for {
		history.add(in.load())
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// load returns the engine's state at this moment.
func (in *instance) load() engine.Load {
	weights, loading := in.weights.state()
	in.mu.Lock()
	defer in.mu.Unlock()
	return engine.Load{
		Incarnation:   in.incarnation,
		Weights:       weights,
		Loading:       loading,
		Running:       in.admitted,
		Waiting:       len(in.waiting),
		BatchLimit:    in.options.BatchLimit,
		CachedBlocks:  in.cache.len(),
		CacheBlocks:   in.options.CacheBlocks,
		BlockTokens:   in.options.BlockTokens,
		BytesPerToken: answer.BytesPerToken,
		PrefillRate:   in.options.PrefillRate,
	}
}

// WeightStore is the rate-limited store that engines load weights from. More
// than AtOnce loads together take longer, each in proportion.
type WeightStore struct {
	LoadTime time.Duration
	AtOnce   int

	mu      sync.Mutex
	loading int
	peak    int
}

// Peak returns the largest number of loads at once so far.
func (w *WeightStore) Peak() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.peak
}

func (w *WeightStore) load(ctx context.Context) bool {
	w.mu.Lock()
	w.loading++
	w.peak = max(w.peak, w.loading)
	share := max(1, float64(w.loading)/float64(max(1, w.AtOnce)))
	w.mu.Unlock()
	done := sleepEither(ctx, ctx, time.Duration(float64(w.LoadTime)*share))
	w.mu.Lock()
	defer w.mu.Unlock()
	w.loading--
	return done
}

// weightSet is the weights that an instance has loaded, the newest last.
type weightSet struct {
	store *WeightStore

	mu      sync.Mutex
	loaded  []string
	loading string
	fence   uint64
	role    string
}

func (s *weightSet) state() (loaded []string, loading string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.loaded...), s.loading
}

// has reports whether the weights are loaded. No name stands for any.
func (s *weightSet) has(weights string) bool {
	loaded, _ := s.state()
	for _, name := range loaded {
		if name == weights || weights == "" {
			return true
		}
	}
	return false
}

// load loads weights and returns when they are ready or ctx ends.
func (s *weightSet) load(ctx context.Context, weights string) {
	if weights == "" || s.has(weights) {
		return
	}
	s.setLoading(weights)
	ready := s.store == nil || s.store.load(ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.loading == weights {
		s.loading = ""
	}
	if !ready {
		return
	}
	s.loaded = append(s.loaded, weights)
	if len(s.loaded) > maxLoadedWeights {
		s.loaded = s.loaded[1:]
	}
}

func (s *weightSet) setLoading(weights string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loading = weights
}

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

// obey checks the fencing number when asked to and records the order.
func (s *weightSet) obey(order engine.Order, checks bool) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if checks && order.Fence < s.fence {
		return engine.ErrStaleFence
	}
	s.fence = max(s.fence, order.Fence)
	if order.Kind == engine.OrderRole {
		s.role = order.Role
	}
	return nil
}

func (s *weightSet) highestFence() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fence
}
