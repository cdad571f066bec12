package enginesim

import (
	"context"
	"time"

	"github.com/greengagegate/greengagegate/internal/engine"
	"github.com/greengagegate/greengagegate/internal/standin/answer"
)

// finishLength is the reason with which each run ends: it generates all that it may.
const finishLength = "length"

// decodeLoop generates one token a step for each stream in the batch.
func (in *instance) decodeLoop(ctx context.Context) {
	for {
		batch := in.batch()
		if len(batch) == 0 {
			select {
			case <-in.wakeDecode:
				continue
			case <-ctx.Done():
				return
			}
		}
		step := in.options.DecodeBase + time.Duration(len(batch))*in.options.DecodePerStream
		if !sleepEither(ctx, ctx, step) {
			return
		}
		for _, j := range batch {
			in.step(j)
		}
	}
}

// batch returns the runs that decode, without those that were cancelled.
func (in *instance) batch() []*job {
	in.mu.Lock()
	var cancelled []*job
	batch := make([]*job, 0, len(in.decoding))
	for _, j := range in.decoding {
		if j.ctx.Err() != nil {
			cancelled = append(cancelled, j)
			continue
		}
		batch = append(batch, j)
	}
	in.mu.Unlock()
	for _, j := range cancelled {
		in.removeDecoding(j)
		in.release(j)
	}
	return batch
}

func (in *instance) step(j *job) {
	if !in.generate(j) {
		return
	}
	in.removeDecoding(j)
	in.complete(j)
}

func (in *instance) removeDecoding(j *job) {
	in.mu.Lock()
	defer in.mu.Unlock()
	for i, other := range in.decoding {
		if other == j {
			in.decoding = append(in.decoding[:i], in.decoding[i+1:]...)
			return
		}
	}
}

// generate emits the next token and reports whether the run has all its tokens.
func (in *instance) generate(j *job) bool {
	if j.generated >= j.request.MaxTokens {
		return true
	}
	var text [answer.BytesPerToken]byte
	j.events <- engine.RunEvent{
		Type:      engine.EventTokens,
		RequestID: j.request.RequestID,
		Offset:    j.generated,
		Count:     1,
		Text:      string(answer.Append(text[:0], j.digest, j.generated, 1)),
	}
	j.generated++
	if j.generated >= j.crashAt {
		in.crashUnder(j)
		return false
	}
	return j.generated >= j.request.MaxTokens
}

// complete emits the end mark and frees the run's place.
func (in *instance) complete(j *job) {
	promptTokens := answer.Tokens(j.request.Prompt)
	in.stats.complete(promptTokens, j.cached, j.generated)
	j.events <- engine.RunEvent{
		Type:             engine.EventEnd,
		RequestID:        j.request.RequestID,
		PromptTokens:     promptTokens,
		CachedTokens:     j.cached,
		CompletionTokens: j.generated,
		FinishReason:     finishLength,
		Incarnation:      in.incarnation,
	}
	in.mu.Lock()
	in.cache.touch(j.hashes, time.Now())
	in.mu.Unlock()
	in.release(j)
}

// release frees the run's place in the batch.
func (in *instance) release(j *job) {
	in.mu.Lock()
	in.admitted--
	in.forget(j)
	in.mu.Unlock()
	wake(in.wakePrefill)
}

// forget drops the run's entry; in.mu is held.
func (in *instance) forget(j *job) {
	if in.jobs[j.request.RequestID] == j {
		delete(in.jobs, j.request.RequestID)
	}
}

func wake(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// sleepEither reports whether the wait passed before either context ended.
func sleepEither(a, b context.Context, wait time.Duration) bool {
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
