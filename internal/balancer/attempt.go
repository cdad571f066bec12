package balancer

import (
	"time"

	"github.com/greengagegate/greengagegate/internal/enginerate"
)

// Attempt is one try of a request at one upstream. It is safe for concurrent use.
type Attempt struct {
	balancer *Balancer
	state    *upstreamState
	// backlogTokens is the number of tokens of this attempt that are in the backlog of
	// the upstream.
	backlogTokens int64
	priority      int
	done          bool
	upstreamID    string
	// startedMillis is the start time of the incarnation that the request was sent to.
	startedMillis int64
	salt          string
	parts         []Part
	prefill       enginerate.Start
	metered       meteredAttempt
}

// RecordFirstResponse records that the upstream has prefilled the prompt, so that other
// engines can copy its parts, and adds a cache report for other gateways if the request
// has parts. It must be called before Done, at most once.
func (a *Attempt) RecordFirstResponse() {
	a.balancer.mu.Lock()
	defer a.balancer.mu.Unlock()
	a.state.meanLoad.update(a.state.running, a.state.backlogTokens, a.balancer.now())
	a.prefill.FirstResponse(a.balancer.now())
	a.endBacklog()
	a.state.startDelay.observe(a, a.balancer.now())
	a.metered.firstResponseAt = a.balancer.now()
	if len(a.parts) == 0 {
		return
	}
	now := a.balancer.now()
	ids := make([]string, len(a.parts))
	for i, part := range a.parts {
		ids[i] = part.ID
		key := a.salt + part.ID
		if _, ok := a.state.parts[key]; ok {
			a.state.parts[key] = cachedPart{usedAt: now, insertedTokensAtUse: a.state.insertedTokens, prefilled: true}
		}
	}
	a.balancer.addCacheReport(CacheReport{Upstream: a.upstreamID, Salt: a.salt, Parts: ids})
}

// endBacklog removes the attempt's tokens from the backlog of the upstream.
func (a *Attempt) endBacklog() {
	a.state.backlogTokens -= a.backlogTokens
	a.state.backlogByPriority.add(a.priority, -a.backlogTokens)
	a.backlogTokens = 0
}

// Done records the end of the attempt. Calls after the first one have no effect.
func (a *Attempt) Done() {
	a.balancer.mu.Lock()
	defer a.balancer.mu.Unlock()
	if a.done {
		return
	}
	a.done = true
	a.state.meanLoad.update(a.state.running, a.state.backlogTokens, a.balancer.now())
	a.state.running--
	a.endBacklog()
	a.state.startDelay.forget(a)
	a.metered.end(a.balancer.now())
}

// RecordSuccess records a valid answer of the upstream and marks the upstream as
// reachable.
func (a *Attempt) RecordSuccess() {
	a.balancer.mu.Lock()
	defer a.balancer.mu.Unlock()
	a.state.recordOutcome(false, a.balancer.now())
	a.state.unreachable = false
}

// RecordFailure records that the answer was lost or that the upstream failed.
func (a *Attempt) RecordFailure() {
	a.balancer.mu.Lock()
	defer a.balancer.mu.Unlock()
	a.state.recordOutcome(true, a.balancer.now())
}

// MarkUnreachable records that the upstream could not be reached, and reports whether the
// upstream was not marked as unreachable before. The upstream gets no requests until
// Balancer.MarkReachable is called, another attempt succeeds or SyncUpstreams lists a new
// incarnation. The call has no effect when another incarnation is listed than the one that the
// request was sent to.
func (a *Attempt) MarkUnreachable() bool {
	a.balancer.mu.Lock()
	defer a.balancer.mu.Unlock()
	if a.startedMillis != a.state.startedMillis {
		return false
	}
	wasUnreachable := a.state.unreachable
	a.state.unreachable = true
	return !wasUnreachable
}

// MarkReplaced records that another incarnation answered at the address of the upstream,
// and reports whether the upstream was not marked as replaced before. The upstream gets
// no requests until SyncUpstreams lists a new start time or address for it. The call has no
// effect when another incarnation is listed than the one that the request was sent to.
func (a *Attempt) MarkReplaced() bool {
	a.balancer.mu.Lock()
	defer a.balancer.mu.Unlock()
	if a.startedMillis != a.state.startedMillis {
		return false
	}
	wasReplaced := a.state.replaced
	a.state.replaced = true
	return !wasReplaced
}

// RecordRefusal records that the upstream refused the request. It gets no new requests
// for the duration of backoff.
func (a *Attempt) RecordRefusal(backoff time.Duration) {
	a.balancer.mu.Lock()
	defer a.balancer.mu.Unlock()
	a.state.backoffUntil = max(a.state.backoffUntil, a.balancer.now().Add(backoff))
}
