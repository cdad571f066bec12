package enginesim

import (
	"context"
	"time"

	"github.com/greengagegate/greengagegate/internal/engine"
	"github.com/greengagegate/greengagegate/internal/standin/answer"
)

// finishLength is the finish reason of every run, since a run always generates its
// maximum number of tokens.
const finishLength = "length"

// decodeLoop generates tokens until ctx ends. Each step generates one token for each
// decoding job; its duration grows with their number. A job in prefill gets none.
func (e *instance) decodeLoop(ctx context.Context) {
	for {
		batch := e.decodingJobs()
		if len(batch) == 0 {
			select {
			case <-e.wakeDecode:
				continue
			case <-ctx.Done():
				return
			}
		}
		step := e.options.DecodeBase + time.Duration(len(batch))*e.options.DecodePerStream
		if !sleepUnlessDone(ctx, ctx, step) {
			return
		}
		for _, j := range batch {
			e.decodeStep(j)
		}
	}
}

// decodingJobs returns the decoding jobs that are not cancelled. It removes the cancelled
// ones and frees their batch slots.
func (e *instance) decodingJobs() []*job {
	e.mu.Lock()
	var cancelled []*job
	batch := make([]*job, 0, len(e.decoding))
	for _, j := range e.decoding {
		if j.ctx.Err() != nil {
			cancelled = append(cancelled, j)
			continue
		}
		batch = append(batch, j)
	}
	e.mu.Unlock()
	for _, j := range cancelled {
		e.removeDecoding(j)
		e.releaseSlot(j)
	}
	return batch
}

// decodeStep generates the next token of a job and completes the job after its last one.
func (e *instance) decodeStep(j *job) {
	if !e.emitToken(j) {
		return
	}
	e.removeDecoding(j)
	e.completeJob(j)
}

// removeDecoding removes a job from the decoding jobs.
func (e *instance) removeDecoding(j *job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i, other := range e.decoding {
		if other == j {
			e.decoding = append(e.decoding[:i], e.decoding[i+1:]...)
			return
		}
	}
}

// emitToken emits the next token, if one is left, and reports whether the job has all its
// tokens. It crashes the engine when the job reaches crashAfter, and returns false then.
func (e *instance) emitToken(j *job) bool {
	if j.generated >= j.request.MaxTokens {
		return true
	}
	var text [answer.BytesPerToken]byte
	j.events <- engine.RunEvent{
		Type:      engine.EventTokens,
		RequestID: j.request.RequestID,
		Offset:    j.generated,
		Count:     1,
		Text:      string(answer.AppendTokens(text[:0], j.digest, j.generated, 1)),
	}
	j.generated++
	if j.generated >= j.crashAfter {
		e.crashOnPoison(j)
		return false
	}
	return j.generated >= j.request.MaxTokens
}

// completeJob emits the end event, marks the prompt's blocks as used and frees the job's
// batch slot.
func (e *instance) completeJob(j *job) {
	promptTokens := answer.Tokens(j.request.Prompt)
	e.stats.addCompleted(promptTokens, j.cached, j.generated)
	j.events <- engine.RunEvent{
		Type:             engine.EventEnd,
		RequestID:        j.request.RequestID,
		PromptTokens:     promptTokens,
		CachedTokens:     j.cached,
		CompletionTokens: j.generated,
		FinishReason:     finishLength,
		Incarnation:      e.incarnation,
	}
	e.mu.Lock()
	e.cache.touch(j.hashes, time.Now())
	e.mu.Unlock()
	e.releaseSlot(j)
}

// releaseSlot frees the job's batch slot and wakes the prefill loop.
func (e *instance) releaseSlot(j *job) {
	e.mu.Lock()
	e.admittedCount--
	e.forgetJob(j)
	e.mu.Unlock()
	wake(e.wakePrefill)
}

// forgetJob removes the job from e.jobs, unless a later job with the same request ID
// replaced it there. It must be called with e.mu held.
func (e *instance) forgetJob(j *job) {
	if e.jobs[j.request.RequestID] == j {
		delete(e.jobs, j.request.RequestID)
	}
}

// wake wakes the loop that waits on ch, which has a buffer of one. It does not block.
func wake(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// sleepUnlessDone blocks for wait or until either context ends. It reports whether wait
// passed first.
func sleepUnlessDone(a, b context.Context, wait time.Duration) bool {
	if wait <= 0 {
		return a.Err() == nil && b.Err() == nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-a.Done():
		return false
	case <-b.Done():
		return false
	}
}
