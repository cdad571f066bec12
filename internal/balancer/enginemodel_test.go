package balancer

import (
	"slices"
	"time"

	"github.com/greengagegate/greengagegate/internal/bootclock"
)

// The figures of the modelled engines. Tokens are multiplied by tokenScale, so that an engine
// with the prefill rate that the balancer assumes takes as long for a prompt as one with
// modelTokensPerMS.
const (
	modelTokensPerMS = 38.7
	tokenScale       = prefillTokensPerMS / modelTokensPerMS
	modelChunk       = 2048 * tokenScale
	modelMemory      = 96_117 * tokenScale
	modelSlots       = 48
	modelDecodeStep  = 6 * time.Millisecond
	// modelCacheTokens is the memory for cached parts of ended requests.
	modelCacheTokens = 0.3 * modelMemory
)

// modelRequest is a request at a modelled engine.
type modelRequest struct {
	priority int
	// missing is the number of tokens left to prefill, output that of tokens left to decode.
	missing, memory, output float64
	onFirst, onDone         func()
}

// modelEngine prefills the prompts that it has admitted in the order of their admission, in
// chunks between the decode steps of the others. It admits requests by priority.
type modelEngine struct {
	f                 *fleetSimulation
	waiting           []*modelRequest
	prefilling        []*modelRequest
	decoding          []*modelRequest
	memory            float64
	isStepping, isOff bool
	// cache holds the cached parts in the order of their last use.
	cache       []string
	cacheTokens map[string]float64
	cachedTotal float64
}

// add hands a request to the engine.
func (e *modelEngine) add(r *modelRequest) {
	if e.isOff {
		return
	}
	i, _ := slices.BinarySearchFunc(e.waiting, r, func(a, b *modelRequest) int {
		if a.priority <= b.priority {
			return -1
		}
		return 1
	})
	e.waiting = slices.Insert(e.waiting, i, r)
	if !e.isStepping {
		e.step()
	}
}

// step admits what fits and runs one chunk and one decode step.
func (e *modelEngine) step() {
	for len(e.waiting) > 0 && e.memory+e.waiting[0].memory <= modelMemory && len(e.prefilling)+len(e.decoding) < modelSlots {
		e.memory += e.waiting[0].memory
		e.prefilling, e.waiting = append(e.prefilling, e.waiting[0]), e.waiting[1:]
	}
	e.isStepping = !e.isOff && len(e.prefilling)+len(e.decoding) > 0
	if !e.isStepping {
		return
	}
	chunk, ready := 0.0, 0
	for ready < len(e.prefilling) && chunk < modelChunk {
		r := e.prefilling[ready]
		tokens := min(r.missing, modelChunk-chunk)
		chunk += tokens
		if r.missing -= tokens; r.missing > 0 {
			break
		}
		ready++
	}
	duration := time.Duration(chunk / prefillTokensPerMS * float64(time.Millisecond))
	if len(e.decoding) > 0 {
		duration += modelDecodeStep
	}
	e.f.after(duration, func() { e.finishStep(ready) })
}

// finishStep ends a step in which the given number of prompts was prefilled.
func (e *modelEngine) finishStep(ready int) {
	if e.isOff {
		return
	}
	e.decoding = slices.DeleteFunc(e.decoding, func(r *modelRequest) bool {
		r.output--
		if r.output > 0 {
			return false
		}
		e.memory -= r.memory
		r.onDone()
		return true
	})
	for _, r := range e.prefilling[:ready] {
		r.onFirst()
	}
	e.decoding = append(e.decoding, e.prefilling[:ready]...)
	e.prefilling = e.prefilling[ready:]
	e.step()
}

// stop loses all requests and cached parts.
func (e *modelEngine) stop() {
	for _, r := range slices.Concat(e.waiting, e.prefilling, e.decoding) {
		r.onDone()
	}
	*e = modelEngine{f: e.f, isOff: true, cacheTokens: make(map[string]float64)}
}

// use returns the number of leading prompt tokens that are cached, and caches all shared
// parts.
func (e *modelEngine) use(r *Request) (cached float64) {
	isLeading := true
	for _, part := range r.sharedParts() {
		tokens, ok := e.cacheTokens[part.ID]
		if isLeading = isLeading && ok; isLeading {
			cached += tokens
		}
		if ok {
			e.cache = slices.DeleteFunc(e.cache, func(id string) bool { return id == part.ID })
		} else {
			e.cacheTokens[part.ID] = float64(part.Tokens)
			e.cachedTotal += float64(part.Tokens)
		}
		e.cache = append(e.cache, part.ID)
	}
	for e.cachedTotal > modelCacheTokens {
		e.cachedTotal -= e.cacheTokens[e.cache[0]]
		delete(e.cacheTokens, e.cache[0])
		e.cache = e.cache[1:]
	}
	return cached
}

// modelStart is the time at which simulations begin.
const modelStart = bootclock.Instant(1_000_000_000_000)
