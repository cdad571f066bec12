package enginesim

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/greengagegate/greengagegate/internal/engine"
	"github.com/greengagegate/greengagegate/internal/standin/answer"
)

// idleCheckInterval is the interval between evictions of idle blocks.
const idleCheckInterval = 250 * time.Millisecond

// job is a run that the engine accepted.
type job struct {
	ctx        context.Context
	cancel     context.CancelFunc
	request    engine.RunRequest
	hashes     []uint64 // of the prompt's complete blocks
	digest     uint64   // of the prompt; determines the generated text
	submission uint64   // position in the order of submission
	generated  int64    // tokens generated so far, including those of an earlier engine
	cached     int64    // prompt tokens found in the cache
	crashAfter int64    // the engine crashes when this many tokens are generated; neverCrash for none
	events     chan engine.RunEvent
}

// instance is one incarnation of an engine, from its start to a crash or stop.
type instance struct {
	options         Options
	incarnation     uint64
	stats           *stats
	crash           func()      // crashes the engine
	crashedByPoison atomic.Bool // whether a poisoned prompt crashed this instance
	events          *eventLog
	weights         *weightSet

	mu            sync.Mutex
	cache         *cache
	jobs          map[string]*job // by request ID
	waiting       []*job          // by descending priority, then in order of submission
	admittedCount int             // jobs in the batch, in prefill or decoding
	decoding      []*job
	submissions   uint64 // number of jobs submitted so far

	wakePrefill chan struct{}
	wakeDecode  chan struct{}
}

func newInstance(options Options, incarnation uint64, stats *stats, weights *weightSet, crash func()) *instance {
	return &instance{
		options:     options,
		incarnation: incarnation,
		stats:       stats,
		crash:       crash,
		events:      newEventLog(options, incarnation),
		weights:     weights,
		cache:       newCache(options.CacheBlocks),
		jobs:        make(map[string]*job),
		wakePrefill: make(chan struct{}, 1),
		wakeDecode:  make(chan struct{}, 1),
	}
}

// run processes jobs until ctx ends.
func (e *instance) run(ctx context.Context) {
	var tasks sync.WaitGroup
	tasks.Go(func() { e.prefillLoop(ctx) })
	tasks.Go(func() { e.decodeLoop(ctx) })
	tasks.Go(func() { e.evictLoop(ctx) })
	tasks.Wait()
}

// submit queues a job behind the waiting jobs of the same or a higher priority. It
// returns engine.ErrBusy when Options.MaxWaiting jobs are waiting.
func (e *instance) submit(j *job) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.waiting) >= e.options.MaxWaiting {
		return engine.ErrBusy
	}
	e.submissions++
	j.submission = e.submissions
	e.jobs[j.request.RequestID] = j
	position := len(e.waiting)
	for position > 0 && e.waiting[position-1].request.Priority < j.request.Priority {
		position--
	}
	e.waiting = append(e.waiting[:position], append([]*job{j}, e.waiting[position:]...)...)
	wake(e.wakePrefill)
	return nil
}

// cancelJob cancels the job with the given request ID, if there is one.
func (e *instance) cancelJob(requestID string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if j := e.jobs[requestID]; j != nil {
		j.cancel()
	}
}

// prefillLoop prefills the admitted jobs one at a time until ctx ends.
func (e *instance) prefillLoop(ctx context.Context) {
	for {
		j := e.nextWaiting()
		if j != nil {
			e.prefill(ctx, j)
			continue
		}
		select {
		case <-e.wakePrefill:
		case <-ctx.Done():
			return
		}
	}
}

// nextWaiting admits and returns the first waiting job that is not cancelled. It returns
// nil when there is none or the batch is full.
func (e *instance) nextWaiting() *job {
	e.mu.Lock()
	defer e.mu.Unlock()
	for len(e.waiting) > 0 && e.admittedCount < e.options.BatchLimit {
		j := e.waiting[0]
		e.waiting = e.waiting[1:]
		if j.ctx.Err() != nil {
			e.forgetJob(j)
			continue
		}
		e.admittedCount++
		e.stats.admitted.Add(1)
		return j
	}
	return nil
}

// prefill computes the part of the prompt that is not cached, adds its blocks to the
// cache and emits the first token. Then it moves the job to decoding, unless it is
// complete.
func (e *instance) prefill(ctx context.Context, j *job) {
	j.crashAfter = e.crashTokenCount(j.request.Prompt)
	if j.generated >= j.crashAfter {
		e.crashOnPoison(j)
		return
	}
	promptTokens := answer.Tokens(j.request.Prompt)
	uncached := e.startPrefill(j, promptTokens)
	prefillTime := time.Duration(float64(uncached) / e.options.PrefillRate * float64(time.Second))
	if !sleepUnlessDone(ctx, j.ctx, prefillTime) {
		e.releaseSlot(j)
		return
	}
	e.stats.computedTokens.Add(uncached)
	e.mu.Lock()
	e.addToCache(j.request.Salt, j.hashes)
	e.mu.Unlock()
	if e.emitToken(j) {
		e.completeJob(j)
		return
	}
	e.mu.Lock()
	e.decoding = append(e.decoding, j)
	e.mu.Unlock()
	wake(e.wakeDecode)
}

// startPrefill looks up the prompt in the cache and emits the start event. It returns the
// number of tokens to compute, including those that an earlier engine generated.
func (e *instance) startPrefill(j *job, promptTokens int64) int64 {
	e.mu.Lock()
	cachedBlocks := e.cache.countLeading(j.hashes)
	e.cache.touch(j.hashes[:cachedBlocks], time.Now())
	e.mu.Unlock()
	j.cached = min(int64(cachedBlocks*e.options.BlockTokens), promptTokens)
	j.events <- engine.RunEvent{
		Type:         engine.EventStart,
		RequestID:    j.request.RequestID,
		PromptTokens: promptTokens,
		CachedTokens: j.cached,
		Incarnation:  e.incarnation,
	}
	return promptTokens - j.cached + j.request.ResumeOffset
}

// addToCache adds blocks to the cache and logs the cache events. It must be called with
// e.mu held.
func (e *instance) addToCache(salt uint64, hashes []uint64) {
	stored, evicted := e.cache.insert(salt, hashes, time.Now())
	if len(stored) > 0 {
		e.events.add(engine.CacheStored, salt, stored)
	}
	e.logEvictions(evicted)
}

// logEvictions logs an event for each evicted block. It must be called with e.mu held.
func (e *instance) logEvictions(evicted []block) {
	for _, b := range evicted {
		e.events.add(engine.CacheEvicted, b.salt, []uint64{b.hash})
	}
}

// evictLoop evicts idle blocks until ctx ends.
func (e *instance) evictLoop(ctx context.Context) {
	ticker := time.NewTicker(idleCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			e.mu.Lock()
			e.logEvictions(e.cache.evictIdle(now.Add(-e.options.IdleEviction)))
			e.mu.Unlock()
		case <-ctx.Done():
			return
		}
	}
}
