package enginesim

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/greengagegate/greengagegate/internal/engine"
	"github.com/greengagegate/greengagegate/internal/standin/answer"
)

// idleCheckInterval is how often idle blocks are looked for.
const idleCheckInterval = 250 * time.Millisecond

// job is one accepted run.
type job struct {
	ctx       context.Context
	cancel    context.CancelFunc
	request   engine.RunRequest
	hashes    []uint64
	digest    uint64
	order     uint64
	generated int64 // tokens generated so far, those of an earlier engine included
	cached    int64
	crashAt   int64 // crashes the engine when so many tokens are generated; neverCrash for a harmless run
	events    chan engine.RunEvent
}

// instance is one life of an engine, from its start to a crash or stop.
type instance struct {
	options     Options
	incarnation uint64
	stats       *stats
	poisoned    func()
	crashed     atomic.Bool
	events      *eventLog
	weights     *weightSet

	mu       sync.Mutex
	cache    *cache
	jobs     map[string]*job
	waiting  []*job
	admitted int
	decoding []*job
	orders   uint64

	wakePrefill chan struct{}
	wakeDecode  chan struct{}
}

func newInstance(options Options, incarnation uint64, stats *stats, weights *weightSet, poisoned func()) *instance {
	return &instance{
		options:     options,
		incarnation: incarnation,
		stats:       stats,
		poisoned:    poisoned,
		events:      newEventLog(options, incarnation),
		weights:     weights,
		cache:       newCache(options.CacheBlocks),
		jobs:        make(map[string]*job),
		wakePrefill: make(chan struct{}, 1),
		wakeDecode:  make(chan struct{}, 1),
	}
}

// run works until ctx ends.
func (in *instance) run(ctx context.Context) {
	var tasks sync.WaitGroup
	tasks.Go(func() { in.prefillLoop(ctx) })
	tasks.Go(func() { in.decodeLoop(ctx) })
	tasks.Go(func() { in.evictLoop(ctx) })
	tasks.Wait()
}

// submit queues a run, or returns engine.ErrBusy.
func (in *instance) submit(j *job) error {
	in.mu.Lock()
	defer in.mu.Unlock()
	if len(in.waiting) >= in.options.MaxWaiting {
		return engine.ErrBusy
	}
	in.orders++
	j.order = in.orders
	in.jobs[j.request.RequestID] = j
	at := len(in.waiting)
	for at > 0 && in.waiting[at-1].request.Priority < j.request.Priority {
		at--
	}
	in.waiting = append(in.waiting[:at], append([]*job{j}, in.waiting[at:]...)...)
	wake(in.wakePrefill)
	return nil
}

// cancelJob stops the run with the given id, when there is one.
func (in *instance) cancelJob(requestID string) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if j := in.jobs[requestID]; j != nil {
		j.cancel()
	}
}

func (in *instance) prefillLoop(ctx context.Context) {
	for {
		j := in.nextWaiting()
		if j != nil {
			in.prefill(ctx, j)
			continue
		}
		select {
		case <-in.wakePrefill:
		case <-ctx.Done():
			return
		}
	}
}

// nextWaiting admits the first waiting run that is not cancelled, while the batch has room.
func (in *instance) nextWaiting() *job {
	in.mu.Lock()
	defer in.mu.Unlock()
	for len(in.waiting) > 0 && in.admitted < in.options.BatchLimit {
		j := in.waiting[0]
		in.waiting = in.waiting[1:]
		if j.ctx.Err() != nil {
			in.forget(j)
			continue
		}
		in.admitted++
		in.stats.admitted.Add(1)
		return j
	}
	return nil
}

// prefill computes what the cache lacks and generates the first token.
func (in *instance) prefill(ctx context.Context, j *job) {
	j.crashAt = in.crashAt(j.request.Prompt)
	if j.generated >= j.crashAt {
		in.crashUnder(j)
		return
	}
	promptTokens := answer.Tokens(j.request.Prompt)
	missing := in.start(j, promptTokens)
	computed := time.Duration(float64(missing) / in.options.PrefillRate * float64(time.Second))
	if !sleepEither(ctx, j.ctx, computed) {
		in.release(j)
		return
	}
	in.stats.computed.Add(missing)
	in.mu.Lock()
	in.store(j.request.Salt, j.hashes)
	in.mu.Unlock()
	if in.generate(j) {
		in.complete(j)
		return
	}
	in.mu.Lock()
	in.decoding = append(in.decoding, j)
	in.mu.Unlock()
	wake(in.wakeDecode)
}

// start looks the prompt up in the cache and returns the number of tokens to compute.
func (in *instance) start(j *job, promptTokens int64) int64 {
	in.mu.Lock()
	held := in.cache.leading(j.hashes)
	in.cache.touch(j.hashes[:held], time.Now())
	in.mu.Unlock()
	j.cached = min(int64(held*in.options.BlockTokens), promptTokens)
	j.events <- engine.RunEvent{
		Type:         engine.EventStart,
		RequestID:    j.request.RequestID,
		PromptTokens: promptTokens,
		CachedTokens: j.cached,
		Incarnation:  in.incarnation,
	}
	return promptTokens - j.cached + j.request.ResumeOffset
}

// store adds blocks to the cache and logs the changes; in.mu is held.
func (in *instance) store(salt uint64, hashes []uint64) {
	stored, evicted := in.cache.insert(salt, hashes, time.Now())
	if len(stored) > 0 {
		in.events.add(engine.CacheStored, salt, stored)
	}
	in.logEvicted(evicted)
}

func (in *instance) logEvicted(evicted []block) {
	for _, gone := range evicted {
		in.events.add(engine.CacheEvicted, gone.salt, []uint64{gone.hash})
	}
}

func (in *instance) evictLoop(ctx context.Context) {
	ticker := time.NewTicker(idleCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			in.mu.Lock()
			in.logEvicted(in.cache.evictIdle(now.Add(-in.options.IdleEviction)))
			in.mu.Unlock()
		case <-ctx.Done():
			return
		}
	}
}
